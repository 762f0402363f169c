package data

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sloeturn/daemon"
	"sloeturn/forward"
	"sloeturn/ident"
)

const (
	// heldBytes is how much of a body or of an answer is held before it is passed on.
	heldBytes = 64 << 10
	// transferBuffers of transferBufferBytes each pass on what follows.
	transferBuffers     = 2
	transferBufferBytes = 32 << 10
	// transferStall is how long a backend may pause within an answer that is being passed on.
	transferStall = 30 * time.Second
	// maxDroppedBytes is how much is read of the answer to a canceled attempt before its connection is reset.
	maxDroppedBytes = 256 << 10
)

var (
	// errDropped ends the reading of an answer that nobody waits for.
	errDropped = errors.New("nobody waits for the answer")
	// droppedAnswers counts the answers that were read and dropped because nobody waited for them.
	droppedAnswers atomic.Uint64
)

// transfer passes a long answer on to its client while it is read. The memory that it takes doesn't depend
// on the answer's length.
type transfer struct {
	resp  *http.Response
	first payload
	// free are the buffers to read into, filled those to write to the client.
	free, filled chan []byte
	// dropped is closed once nobody waits for the answer.
	dropped  chan struct{}
	dropOnce sync.Once
	// err is why the answer ended early. It is set before filled is closed.
	err error
}

// drop stops passing the answer on; the rest of it is read and dropped.
func (t *transfer) drop() { t.dropOnce.Do(func() { close(t.dropped) }) }

// mayPassOn reports whether an answer may be passed on before all of it was read: it is this request's, its
// head says all that is to be checked, and the reducer will not send the request again for it.
func (pending *call) mayPassOn(resp *http.Response) bool {
	if !framingCertain(resp) || resp.StatusCode >= 500 || pending.notRunEnding(resp) != forward.Complete {
		return false
	}
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	if pending.HeaderNames != nil {
		return pending.verified(resp)
	}
	return resp.Header.Get("Content-Encoding") == "" && !mayBeJSON(resp)
}

// readOrPassOn reads a short answer, or passes a long one on.
func (pending *call) readOrPassOn(resp *http.Response, source io.Reader, reader payloadReader) (payload, error) {
	if resp.ContentLength >= 0 && resp.ContentLength <= heldBytes {
		return reader.readWhole(source, resp.ContentLength)
	}
	reader.hold = heldBytes
	first, ended, err := reader.readPieces(source, resp.ContentLength)
	if err != nil || ended {
		return first, err
	}
	if pending.claim.SetLong(); !pending.claim.Grow(transferBuffers*transferBufferBytes, maxAnswerMemoryWait) {
		first.release(pending.claim)
		return payload{}, errNoMemory
	}
	return payload{}, pending.passOn(resp, first, source)
}

// passOn hands an answer over to the reducer, which has it delivered or dropped, and reads the rest of it.
func (n *Node) passOn(pending *call, connection *conn, order forward.Write, t *transfer, rest io.Reader) error {
	t.free, t.filled, t.dropped = make(chan []byte, transferBuffers), make(chan []byte, transferBuffers), make(chan struct{})
	for range transferBuffers {
		t.free <- make([]byte, transferBufferBytes)
	}
	n.setBackendAnswer(pending, order.Attempt, backendAnswer{resp: t.resp, transfer: t})
	n.Put(AnswerBegun{order.Request, order.Attempt, t.resp.StatusCode})
	source := &answerRest{Reader: rest, node: n, pending: pending, connection: connection, until: order.Until, left: pending.lane.MaxResponseBody - t.first.size}
	t.err = t.run(pending, connection, source)
	close(t.filled)
	return t.err
}

// run reads the rest of an answer into free buffers until it ends.
func (t *transfer) run(pending *call, connection *conn, source io.Reader) error {
	left := t.resp.ContentLength - t.first.size
	for {
		var buffer []byte
		select {
		case <-t.dropped:
			return pending.dropRest(source, pending.lane.MaxResponseBody)
		case <-pending.original().ended:
			return pending.dropRest(source, pending.lane.MaxResponseBody)
		case buffer = <-t.free:
		}
		count, err := source.Read(buffer[:transferBufferBytes])
		left -= int64(count)
		ended := errors.Is(err, io.EOF) || err == nil && left == 0
		if err != nil && !ended {
			return err
		}
		if ended && pending.surplusBytes(connection) {
			return errSurplus
		}
		t.filled <- buffer[:count]
		if ended {
			return nil
		}
	}
}

// errSurplus ends an answer that bytes follow which belong to no request.
var errSurplus = errors.New("bytes follow the answer")

// writeTo writes an answer to its client as it comes.
func (t *transfer) writeTo(w http.ResponseWriter, watch *slowWatch) error {
	write := func(piece []byte) (err error) {
		watch.during(func() (written int) {
			if written, err = w.Write(piece); err == nil && len(t.filled) == 0 {
				err = http.NewResponseController(w).Flush()
			}
			return written
		})
		return err
	}
	for _, piece := range t.first.pieces {
		if err := write(piece); err != nil {
			return err
		}
	}
	for piece := range t.filled {
		if err := write(piece); err != nil {
			return err
		}
		t.free <- piece
	}
	return t.err
}

// answerRest reads the rest of an answer that is being passed on. Its backend may take longer than an
// answer may take to begin, as long as it doesn't pause.
type answerRest struct {
	io.Reader
	node       *Node
	pending    *call
	connection *conn
	until      ident.Moment
	left       int64
}

func (r *answerRest) Read(b []byte) (int, error) {
	if r.left < 0 {
		return 0, errTooLong
	}
	r.node.extendReading(r.pending, r.connection, max(r.until, ident.Now().Add(transferStall)))
	count, err := r.Reader.Read(b)
	r.left -= int64(count)
	return count, err
}

// extendReading sets how long an answer may be read, unless its slot is being reclaimed.
func (n *Node) extendReading(pending *call, connection *conn, until ident.Moment) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if !pending.reclaimed {
		connection.SetReadDeadline(time.Now().Add(until.Sub(ident.Now())))
	}
}

// unwanted reports whether nobody waits for the answer to an attempt any more.
func (pending *call) unwanted() bool {
	if pending.canceled.Load() {
		return true
	}
	select {
	case <-pending.original().ended:
		return true
	default:
		return false
	}
}

// dropRest reads and drops the rest of an answer that nobody waits for. The end of work that must not be
// repeated is waited for; that of a canceled attempt isn't if its backend goes on sending.
func (pending *call) dropRest(source io.Reader, limit int64) error {
	droppedAnswers.Add(1)
	buffer := make([]byte, transferBufferBytes)
	for dropped := int64(0); dropped <= limit; {
		count, err := source.Read(buffer)
		dropped += int64(count)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if pending.canceled.Load() && dropped > maxDroppedBytes {
			return errDropped
		}
	}
	return errTooLong
}

// dropAnswer drops the answer of an attempt.
func (n *Node) dropAnswer(id ident.RequestID, attempt int) {
	if pending := n.findCall(id); pending != nil {
		if t := pending.backendAnswers[attempt].transfer; t != nil {
			t.drop()
		}
	}
}

// revoke cuts off the client of a request.
func (n *Node) revoke(id ident.RequestID) {
	if pending := n.findCall(id); pending != nil {
		daemon.ResetClient(pending.req)
	}
}
