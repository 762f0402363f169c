package control

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sloeturn/agreement"
	"sloeturn/boot"
	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/ringfile"
	"sloeturn/wire"
)

const (
	// diskStallLimit is how long a write may take before the disk counts as stalled.
	diskStallLimit = 300 * time.Millisecond
	// idlePause is the pause between ticks.
	idlePause = 30 * time.Millisecond
	// diskRetryInterval is how often a failed write is tried again.
	diskRetryInterval = 200 * time.Millisecond
)

// ErrStart wraps each error that keeps a control process from starting.
var ErrStart = merry.Sentinel("control: cannot start")

// DiskConfig is the folder of the on-disk log ring, and the number and size of its files. Without a
// path the process keeps no log and is no voter.
type DiskConfig struct {
	Path  string
	Files int
	Size  int64
}

// Node runs a State: it owns the sockets, the disk and the clock.
type Node struct {
	daemon.EventLoop
	*daemon.DecisionStream
	State *State
	Hub   *wire.Hub
	Log   log.Logger
	// ProcessMetrics are set before the node serves.
	ProcessMetrics daemon.ProcessMetrics
	metricsHandler http.HandlerFunc

	ring *ringfile.Ring
	dir  *ringfile.Dir
	// lock guards calls and diskQueue.
	lock sync.Mutex
	// calls has the channel of each call that waits for an answer, by its token.
	calls       map[uint64]chan any
	token       atomic.Uint64
	ended       chan struct{}
	endOnce     sync.Once
	diskPending chan struct{}
	diskQueue   []agreement.RecordBatch
	copyFile    *ringfile.SnapshotFile
	copyWrites  chan []byte
	// writeStart is the moment at which the write under way began; 0 for none.
	writeStart atomic.Int64
	diskFailed atomic.Bool
	// SyncCount counts the syncs of the log ring; SlowestSync is the longest one in nanoseconds.
	SyncCount   atomic.Uint64
	SlowestSync atomic.Int64
	// WallClock reads the clock by which blackout periods open and close.
	WallClock func() time.Time
	stopClock chan struct{}
}

// NewNode opens the disk and makes a node from what it holds.
func NewNode(config Config, disks DiskConfig, logger log.Logger) (*Node, error) {
	n := &Node{Log: logger, DecisionStream: daemon.NewDecisionStream(config.Decisions, config.Incarnation), calls: map[uint64]chan any{}, ended: make(chan struct{}), diskPending: make(chan struct{}, 1), copyWrites: make(chan []byte, 1), WallClock: time.Now}
	recovered, err := n.openDisk(&config, disks)
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	s, err := New(config, recovered, ident.Now())
	if err != nil {
		n.closeDisk()
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	n.State = s
	n.metricsHandler = daemon.SharedAnswer(daemon.MetricsContentType, n.readMetrics)
	n.Hub = &wire.Hub{Name: string(config.Member), Addr: string(config.Addr), Build: config.Build, Incarnation: uint64(config.Incarnation), Log: logger, Receive: func(f *wire.Frame) { n.Offer(FrameReceived{f}) }}
	n.Step, n.BeforeEffects, n.ApplyEffects, n.TickEvent = s.Step, s.Settle, n.dispatch, Tick{}
	n.TickDelay = func() time.Duration { return idlePause }
	return n, nil
}

// Open starts the node.
func (n *Node) Open() error {
	n.EventLoop.Open()
	if err := n.Hub.Open(); err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	go n.Run()
	if n.ring != nil {
		go n.writeRecords()
		go n.watchDisk()
	}
	if n.copyFile != nil {
		go n.writeCopies()
	}
	return nil
}

// Close stops the node and closes its disk.
func (n *Node) Close() {
	n.Stop()
	n.Hub.Close()
	n.closeDisk()
}

// writeCopies writes the cell copies to the snapshot file.
func (n *Node) writeCopies() {
	for {
		select {
		case <-n.ended:
			return
		case doc := <-n.copyWrites:
			err := n.copyFile.Save(doc)
			if err != nil {
				level.Warn(n.Log).Log("part", "shelf", "msg", "Copies of the cells could not be kept.", "why", err)
			}
			if !n.Put(CopiesSaved{err == nil}) {
				return
			}
		}
	}
}

// Ended is closed once the node has drained.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// writeRecords writes queued records to the on-disk log ring, as many as are there in one sync.
func (n *Node) writeRecords() {
	for range n.diskPending {
		n.lock.Lock()
		batch := n.diskQueue
		n.diskQueue = nil
		n.lock.Unlock()
		if len(batch) == 0 {
			continue
		}
		var records []*wire.Record
		for _, p := range batch {
			records = append(records, p.Records...)
		}
		start := ident.Now()
		n.writeStart.Store(int64(start))
		err := n.ring.Write(records)
		n.writeStart.Store(0)
		if err != nil && !n.retryDisk(err) {
			return
		}
		took := int64(ident.Now().Sub(start))
		n.SlowestSync.Store(max(n.SlowestSync.Load(), took))
		n.SyncCount.Add(1)
		n.Put(DiskSynced{batch[len(batch)-1].Seq, n.ring.UsedRatio(), n.ring.FreeBytes()})
	}
}

// retryDisk tries a failed write until it succeeds; it reports false if the node ends first.
func (n *Node) retryDisk(err error) bool {
	level.Error(n.Log).Log("part", "ring", "msg", "The disk refuses; this voter does not answer until it writes again.", "why", boot.ErrorChain(err))
	n.diskFailed.Store(true)
	n.Put(DiskState{true})
	for err != nil {
		select {
		case <-n.ended:
			return false
		case <-time.After(diskRetryInterval):
		}
		err = n.ring.Write(nil)
	}
	n.diskFailed.Store(false)
	level.Info(n.Log).Log("part", "ring", "msg", "The disk writes again.")
	return true
}

// watchDisk reports when the disk stalls or fails, and when it has recovered.
func (n *Node) watchDisk() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	ailing := false
	for {
		select {
		case <-n.ended:
			return
		case <-ticker.C:
		}
		start := n.writeStart.Load()
		stalled := n.diskFailed.Load() || start != 0 && ident.Now().Sub(ident.Moment(start)) > diskStallLimit
		if stalled != ailing {
			ailing = stalled
			if !n.Put(DiskState{ailing}) {
				return
			}
		}
	}
}

// dispatch carries out the state's outputs.
func (n *Node) dispatch(now ident.Moment) {
	for _, e := range n.State.Take() {
		switch e := e.(type) {
		case wire.Send:
			n.Hub.Send(e.To, e.Frame)
		case agreement.RecordBatch:
			n.lock.Lock()
			n.diskQueue = append(n.diskQueue, e)
			n.lock.Unlock()
			select {
			case n.diskPending <- struct{}{}:
			default:
			}
		case SaveCopies:
			n.copyWrites <- e.Document
		case AnnounceResult:
			n.deliver(e.Token, e)
		case ChangeResult:
			n.deliver(e.Token, e.Reply)
		case daemon.Decision:
			n.Add(e, now)
		case WatchClock:
			n.runClock(e.On)
		case LogNote:
			level.Info(n.Log).Log("part", "control", "msg", e.Text)
		case Exit:
			n.endOnce.Do(func() { close(n.ended) })
		}
	}
}

// deliver hands an answer to the call that waits for it.
func (n *Node) deliver(token uint64, value any) {
	n.lock.Lock()
	answer := n.calls[token]
	n.lock.Unlock()
	if answer != nil {
		select {
		case answer <- value:
		default:
		}
	}
}

// call puts an event with a fresh token to the state and waits for its answer; nil for none.
func (n *Node) call(done context.Context, newEvent func(token uint64) any) any {
	token := n.token.Add(1)
	answer := make(chan any, 1)
	n.lock.Lock()
	n.calls[token] = answer
	n.lock.Unlock()
	defer func() {
		n.lock.Lock()
		delete(n.calls, token)
		n.lock.Unlock()
	}()
	if !n.Offer(newEvent(token)) {
		return nil
	}
	select {
	case v := <-answer:
		return v
	case <-done.Done():
		return nil
	}
}

// runClock reads the wall clock for as long as there is a calendar.
func (n *Node) runClock(on bool) {
	if n.stopClock != nil {
		close(n.stopClock)
		n.stopClock = nil
	}
	if !on {
		return
	}
	end := make(chan struct{})
	n.stopClock = end
	go func() {
		t := time.NewTicker(ClockInterval)
		defer t.Stop()
		for {
			if !n.Offer(ClockReading{n.WallClock().UnixMilli(), ident.Now()}) {
				level.Warn(n.Log).Log("part", "calendar", "msg", "A reading of the wall clock was dropped; this process is too busy.")
			}
			select {
			case <-end:
				return
			case <-n.Stopped():
				return
			case <-t.C:
			}
		}
	}()
}

// Change proposes a change for the replicated log and waits for its outcome.
func (n *Node) Change(done context.Context, change *wire.Change, wait time.Duration) *wire.ProposeReply {
	if d := change.GetSetDesired(); d != nil && bytes.Contains(d.Doc, []byte("blackouts")) {
		d.TodayMs = n.WallClock().UnixMilli()
	}
	v := n.call(done, func(t uint64) any { return Change{t, change, wait} })
	if v == nil {
		return &wire.ProposeReply{Code: uint32(ledger.Lost)}
	}
	return v.(*wire.ProposeReply)
}

// Announce takes a backend's announcement and waits until the holder of its cell has answered.
func (n *Node) Announce(done context.Context, announcement *wire.Announce) AnnounceResult {
	v := n.call(done, func(t uint64) any { return Announce{t, announcement} })
	if v == nil {
		return AnnounceResult{0, 503, "the cell's holder did not answer"}
	}
	return v.(AnnounceResult)
}

// Query reads the state by a function that runs between two events.
func (n *Node) Query(f func(s *State, now ident.Moment) any) (any, error) {
	answer := make(chan any, 1)
	if !n.Offer(Query{func(s *State, now ident.Moment) { answer <- f(s, now) }}) {
		return nil, fmt.Errorf("busy")
	}
	select {
	case v := <-answer:
		return v, nil
	case <-time.After(2 * time.Second):
		return nil, fmt.Errorf("no answer in time")
	}
}
