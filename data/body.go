package data

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/quota"
)

// bodyRest is the rest of a long body, which is read once and passed on as it arrives.
type bodyRest struct {
	controller *http.ResponseController
	source     io.Reader
	// settle gives back what the kernel was let hold for it.
	settle func()
	// length is that of the whole body, -1 if it isn't known; left is how much may still come.
	length, left int64
	// whole is set once all of it was read, sender while it is passed on.
	whole  atomic.Bool
	sender atomic.Pointer[bodySender]
}

// limitBodyWait bounds the wait for a body that is never read, so that a refusal doesn't wait for it,
// and closes the connection after a request whose end is uncertain.
func limitBodyWait(w http.ResponseWriter, r *http.Request) {
	if !daemon.FramingCertain(r) {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	}
}

const (
	// bodyReadTimeout is how long a client may take to send a body that is held, or pause within a long one.
	bodyReadTimeout = 2 * time.Second
	// shortBodyBytes is the size of the longest body that net/http reads by itself after an answer.
	shortBodyBytes = 256 << 10
)

// requestBody is the body of a request: all of it, or its beginning and the rest that is passed on as it
// arrives.
type requestBody struct {
	payload
	rest *bodyRest
}

// bodyRefusal is why a body was refused.
type bodyRefusal struct {
	status int
	reason string
}

// readBody reads a request's body, or the beginning of a long one.
func readBody(w http.ResponseWriter, r *http.Request, lane *desired.Lane, timeLeft time.Duration, claim *quota.Claim) (requestBody, *bodyRefusal) {
	limit := lane.MaxRequestBody
	if r.ContentLength > limit {
		return requestBody{}, &bodyRefusal{413, "body too large"}
	}
	if r.ContentLength == 0 {
		return requestBody{}, nil
	}
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(min(timeLeft, bodyReadTimeout)))
	reader := payloadReader{claim: claim, limit: limit, wait: maxBodyMemoryWait}
	if !holdsWhole(lane) && (r.ContentLength < 0 || r.ContentLength > heldBytes) {
		reader.hold = heldBytes
	}
	raise := func(bytes int64) func() { return daemon.RaiseReceiveBuffer(r, bytes) }
	source := &raisingReader{Reader: r.Body, raise: raise}
	held, ended, err := payload{}, false, error(nil)
	watchClient(r).during(func() int {
		held, ended, err = reader.readPieces(source, r.ContentLength)
		return int(held.size)
	})
	if err != nil {
		source.settle()
		return requestBody{}, refusalOf(err)
	}
	controller.SetReadDeadline(time.Time{})
	if ended {
		source.settle()
		return requestBody{payload: held}, nil
	}
	if claim.SetLong(); !claim.Grow(transferBufferBytes, maxBodyMemoryWait) {
		source.settle()
		return requestBody{}, refusalOf(errNoMemory)
	}
	controller.EnableFullDuplex()
	return requestBody{held, &bodyRest{controller: controller, source: source, settle: source.settle, length: r.ContentLength, left: limit - held.size}}, nil
}

// refusalOf turns an error from reading a body into a refusal.
func refusalOf(err error) *bodyRefusal {
	switch {
	case errors.Is(err, errTooLong):
		return &bodyRefusal{413, "body too large"}
	case errors.Is(err, errNoMemory):
		return &bodyRefusal{503, "no memory for the body"}
	}
	return &bodyRefusal{408, "body broke off"}
}

// answerEarly answers a request whose body may be unread. net/http reads what is left of a short one.
func answerEarly(w http.ResponseWriter, r *http.Request, write func()) {
	if r.ContentLength >= 0 && r.ContentLength <= shortBodyBytes {
		write()
		return
	}
	daemon.PrepareEarlyAnswer(w)
	write()
	daemon.DrainBody(w, r)
}

// prepareEarlyAnswer lets a request be answered whose body may not have been read whole.
func (pending *call) prepareEarlyAnswer(w http.ResponseWriter) {
	if !pending.rest.finished() {
		daemon.PrepareEarlyAnswer(w)
	}
}

// zeroReader is an endless source of bytes.
type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) { return len(b), nil }

// setRestLength sets the length of a body that is passed on as it arrives. The bytes of the request's body
// are never sent: only its head is encoded.
func (pending *call) setRestLength(req *http.Request) {
	req.ContentLength = pending.rest.length
	size := pending.rest.length
	if size < 0 {
		size = shortBodyBytes
	}
	req.Body = io.NopCloser(io.LimitReader(zeroReader{}, size))
}

// retryAfterMemory is the Retry-After of a refusal of a body; 0 but for a lack of memory.
func retryAfterMemory(status int) time.Duration {
	if status == 503 {
		return memoryRetryAfter
	}
	return 0
}

// holdsWhole reports whether a lane's bodies must be held whole: their digest is part of a claim.
func holdsWhole(lane *desired.Lane) bool { return lane.AtMostOnce }

// finished reports whether no byte of the body is left to be read.
func (b *bodyRest) finished() bool { return b == nil || b.whole.Load() }

// read reads a piece, at most as long as a client may pause.
func (b *bodyRest) read(piece []byte) (int, error) {
	b.controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	count, err := b.source.Read(piece)
	b.left -= int64(count)
	switch {
	case b.left < 0:
		return 0, errTooLong
	case errors.Is(err, io.EOF):
		b.controller.SetReadDeadline(time.Time{})
		b.whole.Store(true)
	}
	return count, err
}

// bodySender passes the rest of a body on to a backend, beside the reading of the answer.
type bodySender struct {
	rest  *bodyRest
	ended chan struct{}
	conn  *conn
	lock  sync.Mutex
	// stopped is set once the backend takes no more of the body, complete once it has all of it; at most one
	// of them is.
	stopped, complete bool
	// refusal is the status for a client that sent no proper body; 0 for none.
	refusal int
}

// sentBody is how far the rest of a body came that was not passed on whole.
type sentBody struct{ refusal int }

// startSender passes the rest of a body on, if there is one and its beginning was written.
func (n *Node) startSender(pending *call, connection *conn, order forward.Write, written error) *bodySender {
	if pending.rest == nil || written != nil {
		return nil
	}
	s := &bodySender{rest: pending.rest, ended: make(chan struct{}), conn: connection}
	pending.rest.sender.Store(s)
	watch := n.watchSlow(pending, order.Request)
	watch.claim = pending.claim
	go func() {
		defer close(s.ended)
		defer watch.finish()
		if s.run(watch) && s.finish() {
			n.Put(BodySent{order.Request, order.Attempt})
		}
	}()
	return s
}

// run returns whether the body was passed on whole. Otherwise the backend is told that no more comes, and
// what the client still sends is dropped when the request ends.
func (s *bodySender) run(watch *slowWatch) bool {
	piece := make([]byte, transferBufferBytes)
	for {
		count, err := 0, error(nil)
		watch.during(func() int {
			count, err = s.rest.read(piece)
			return count
		})
		if s.isStopped() {
			return false
		}
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			s.refuse(err)
			return false
		}
		if s.write(piece[:count], ended) != nil {
			return false
		}
		if ended {
			return true
		}
	}
}

// write writes a piece of the body, as a chunk if its length is not known.
func (s *bodySender) write(piece []byte, last bool) error {
	buffers := net.Buffers{piece}
	if s.rest.length < 0 {
		buffers = chunkOf(piece, last)
	}
	_, err := buffers.WriteTo(s.conn.Conn)
	return err
}

// refuse tells the backend that no more of the body comes.
func (s *bodySender) refuse(reason error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.refusal = http.StatusBadRequest
	if errors.Is(reason, errTooLong) {
		s.refusal = http.StatusRequestEntityTooLarge
	}
	if c, ok := s.conn.Conn.(writeCloser); ok && !s.stopped {
		c.CloseWrite()
	}
}

func (s *bodySender) isStopped() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.stopped
}

// finish records that the body was passed on whole; false if the sending was stopped before.
func (s *bodySender) finish() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.complete = !s.stopped
	return s.complete
}

// stop ends the sending unless it is complete, and returns nil then, or if there is nothing to send.
func (s *bodySender) stop() *sentBody {
	if s == nil {
		return nil
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.complete {
		return nil
	}
	if !s.stopped {
		s.stopped = true
		s.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	return &sentBody{s.refusal}
}

// endBody waits until nothing reads a request's body any more, and drops what its client still sends. The
// request was answered before.
func (pending *call) endBody(w http.ResponseWriter) {
	if pending.rest == nil {
		return
	}
	defer pending.rest.settle()
	pending.awaitSender()
	if !pending.abandoned && !pending.rest.finished() {
		daemon.DrainBody(w, pending.req)
	}
}

// awaitSender stops the sender of a request's body, if there is one, and waits for its end.
func (pending *call) awaitSender() {
	if pending.rest == nil {
		return
	}
	if s := pending.rest.sender.Load(); s != nil {
		s.stop()
		<-s.ended
	}
}

// chunkOf returns a piece of a body as a chunk, and behind the last one the end of the body.
func chunkOf(piece []byte, last bool) (buffers net.Buffers) {
	if len(piece) > 0 {
		buffers = append(buffers, fmt.Appendf(nil, "%x\r\n", len(piece)), piece, []byte("\r\n"))
	}
	if last {
		buffers = append(buffers, []byte("0\r\n\r\n"))
	}
	return buffers
}
