package boot

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// maxQueuedLogBytes bounds the lines of the log that wait to be written.
	maxQueuedLogBytes = 256 << 10
	// flushTimeout bounds how long the end of a process waits for its last lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// levelOption returns the filter for the name of a log level, or nil for an unknown name.
func levelOption(name string) level.Option {
	switch name {
	case "debug":
		return level.AllowDebug()
	case "info":
		return level.AllowInfo()
	case "warn":
		return level.AllowWarn()
	case "error":
		return level.AllowError()
	}
	return nil
}

// Logger writes logfmt lines and lets its level change at run time. It never blocks its callers: lines
// are dropped and counted while the writer takes none.
type Logger struct {
	base  log.Logger
	swap  log.SwapLogger
	lines *lineQueue
}

// NewLogger returns a logger whose lines contain the time and the name of the member.
func NewLogger(w io.Writer, levelName, name string) *Logger {
	lines := newLineQueue(w)
	logger := &Logger{base: log.With(log.NewLogfmtLogger(lines), "ts", log.DefaultTimestampUTC, "member", name), lines: lines}
	logger.SetLevel(levelName)
	return logger
}

// SetLevel sets the least level of the lines that are written; the name must be valid.
func (l *Logger) SetLevel(name string) { l.swap.Swap(level.NewFilter(l.base, levelOption(name))) }

// Log queues a line.
func (l *Logger) Log(keyvals ...any) error { return l.swap.Log(keyvals...) }

// Flush waits for the queued lines to be written, at most flushTimeout.
func (l *Logger) Flush() { l.lines.flush(flushTimeout) }

// DroppedLines returns how many lines were dropped or could not be written.
func (l *Logger) DroppedLines() uint64 { return l.lines.droppedLines() }

// lineQueue writes lines in a goroutine of its own. Each call of Write is one line.
type lineQueue struct {
	out io.Writer

	lock sync.Mutex
	// changed is signalled when a line is queued and when the queue has been written.
	changed *sync.Cond
	queue   []byte
	// queuedLines is the number of lines in the queue.
	queuedLines uint64
	writing     bool
	dropped     uint64
	// reported is how many of the dropped lines the log itself has reported.
	reported uint64
}

func newLineQueue(out io.Writer) *lineQueue {
	q := &lineQueue{out: out}
	q.changed = sync.NewCond(&q.lock)
	go q.run()
	return q
}

// Write queues a line, or drops it if there is no room.
func (q *lineQueue) Write(line []byte) (int, error) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if len(q.queue)+len(line) > maxQueuedLogBytes {
		q.dropped++
		return len(line), nil
	}
	q.queue = append(q.queue, line...)
	q.queuedLines++
	q.changed.Broadcast()
	return len(line), nil
}

func (q *lineQueue) run() {
	for {
		lines, count, reported := q.take()
		_, err := q.out.Write(lines)
		q.lock.Lock()
		q.writing = false
		if err != nil {
			q.dropped += count
		} else {
			q.reported = reported
		}
		q.changed.Broadcast()
		q.lock.Unlock()
	}
}

// take waits for queued lines and returns them with their number. A line that says how many lines were
// dropped comes first, if any were; reported is their number in total.
func (q *lineQueue) take() (lines []byte, count, reported uint64) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for len(q.queue) == 0 {
		q.changed.Wait()
	}
	if q.dropped > q.reported {
		lines = fmt.Appendf(nil, "level=warn part=log msg=\"Lines of the log were lost.\" lines=%d\n", q.dropped-q.reported)
	}
	lines, count = append(lines, q.queue...), q.queuedLines
	q.queue, q.queuedLines, q.writing = q.queue[:0], 0, true
	return lines, count, q.dropped
}

// flush waits until everything queued is written, at most for the limit.
func (q *lineQueue) flush(limit time.Duration) {
	q.lock.Lock()
	defer q.lock.Unlock()
	expired := false
	timer := time.AfterFunc(limit, func() {
		q.lock.Lock()
		expired = true
		q.changed.Broadcast()
		q.lock.Unlock()
	})
	defer timer.Stop()
	for (len(q.queue) > 0 || q.writing) && !expired {
		q.changed.Wait()
	}
}

func (q *lineQueue) droppedLines() uint64 {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.dropped
}
