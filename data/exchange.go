package data

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"sloeturn/daemon"
	"sloeturn/forward"
	"sloeturn/ident"
)

// clientLeft is the reason why a request is not written if its client has left.
const clientLeft = "client left"

// write sends a request and reads its answer. It releases the connection's slot in every case.
func (n *Node) write(order forward.Write) {
	pending := n.findCall(order.Request)
	if pending == nil || pending.conn == nil {
		n.Put(NotWritten{order.Request, order.Attempt, "no connection"})
		return
	}
	connection := pending.conn
	if pending.primary != nil && !pending.claim.Grow(exchangeBytes, 0) {
		n.finishAttempt(pending, connection, true, false, NotWritten{order.Request, order.Attempt, "no memory for an answer"})
		return
	}
	pending.incarnation = connection.incarnation
	request := pending.backendRequest(connection.key.Addr, order.AnswerBy)
	encoded, err := pending.encode(request)
	if err != nil {
		n.finishAttempt(pending, connection, true, false, NotWritten{order.Request, order.Attempt, "visit could not be put in words"})
		return
	}
	connection.SetDeadline(time.Now().Add(order.Until.Sub(ident.Now())))
	if !connection.silent() {
		n.finishAttempt(pending, connection, false, true, nil)
		n.Put(NotWritten{order.Request, order.Attempt, "connection spoke or ended before the first byte"})
		return
	}
	if reason := n.writeObstacle(pending, order); reason != "" {
		n.finishAttempt(pending, connection, true, false, NotWritten{order.Request, order.Attempt, reason})
		return
	}
	sent, err := encoded.writeTo(connection)
	if err != nil && sent == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		n.finishAttempt(pending, connection, false, true, nil)
		n.Put(NotWritten{order.Request, order.Attempt, "connection broke before the first byte"})
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n.finishAttempt(pending, connection, false, true, AttemptEnded{order.Request, order.Attempt, forward.Broken, 0})
		return
	}
	sender := n.startSender(pending, connection, order, err)
	pending.passOn = func(resp *http.Response, first payload, rest io.Reader) error {
		return n.passOn(pending, connection, order, &transfer{resp: resp, first: first}, rest)
	}
	resp, body, keep, ending := pending.readAnswer(connection, request)
	if err != nil {
		keep = false
		if ending != forward.Complete && ending != forward.Rejected && ending != forward.Misdirected {
			ending = forward.Broken
		}
	}
	status := 0
	if resp != nil {
		status, connection.keepAlive = resp.StatusCode, keepAliveTimeout(resp.Header)
	}
	if sent := sender.stop(); sent != nil {
		keep = false
		if ending == forward.Broken && sent.refusal != 0 {
			ending, status = forward.Unfinished, sent.refusal
		}
	}
	if resp != nil && (ending == forward.Complete || ending == forward.Rejected) {
		n.setBackendAnswer(pending, order.Attempt, backendAnswer{resp: resp, body: body})
	}
	n.finishAttempt(pending, connection, keep && (ending == forward.Complete || ending == forward.Rejected), ending == forward.Broken, AttemptEnded{order.Request, order.Attempt, ending, status})
}

// setBackendAnswer keeps the answer to an attempt until the reducer has it delivered. One that was handed
// over while it was read stays.
func (n *Node) setBackendAnswer(pending *call, attempt int, answer backendAnswer) {
	if pending.backendAnswers == nil {
		pending.backendAnswers = map[int]backendAnswer{}
	}
	if pending.backendAnswers[attempt].transfer == nil {
		pending.backendAnswers[attempt] = answer
	}
}

// writeObstacle returns why a request must not be written now although its connection is good, or ""
// if it may be.
func (n *Node) writeObstacle(pending *call, order forward.Write) (reason string) {
	switch {
	case ident.Now().After(order.NotAfter):
		return "lease ran out before writing"
	case daemon.ClientGone(pending.req):
		n.Put(ClientLeft{pending.original().id})
		return clientLeft
	case !n.startWriting(pending):
		return "given up before writing"
	}
	return ""
}

// original returns the call that the client's goroutine waits for: the request itself, also for its
// hedge.
func (pending *call) original() *call {
	if pending.primary != nil {
		return pending.primary
	}
	return pending
}

// startWriting decides between writing and giving up, for a request and its hedge together: once it
// returned true for one of them, the request is no longer refused as not run. It is false for a
// canceled attempt.
func (n *Node) startWriting(pending *call) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	if pending.canceled.Load() {
		return false
	}
	dispatch := &pending.original().dispatch
	pending.started = dispatch.CompareAndSwap(dispatchUndecided, dispatchStarted) || dispatch.Load() == dispatchStarted
	return pending.started
}

// finishAttempt ends an attempt's use of a connection, which becomes idle if it can be reused. The
// event that reports the attempt's end, if any, precedes the one that releases the slot.
func (n *Node) finishAttempt(pending *call, connection *conn, keep, eject bool, end any) {
	n.lock.Lock()
	pending.conn = nil
	canceled := pending.canceled.Load() && pending.started
	pending.started, pending.reclaimed = false, false
	n.lock.Unlock()
	if canceled {
		keep, eject, end = false, false, canceledEnd(end)
	}
	if end != nil {
		n.Put(end)
	}
	if keep {
		n.putIdle(connection)
	} else {
		connection.Close()
	}
	n.Put(ConnectionFreed{connection.key, keep, eject})
	n.forget(pending.id)
}

// canceledEnd adapts the end of a canceled attempt: a connection that breaks after the cancellation is
// no failure of the backend.
func canceledEnd(end any) any {
	if e, ok := end.(AttemptEnded); ok && (e.Ending == forward.Broken || e.Ending == forward.Malformed) {
		e.Ending = forward.Canceled
		return e
	}
	return end
}

// readAnswer reads the answer to a request and classifies it. It skips informational answers and, on
// routed requests, up to maxSurplusAnswers answers to other requests. An answer must have a known end:
// one that lasts until the connection closes can't be told from a truncated one. A long answer is passed on
// while it is read, once its head has been checked; one that nobody waits for is read and dropped.
func (pending *call) readAnswer(connection *conn, req *http.Request) (*http.Response, payload, bool, forward.Ending) {
	for surplusAnswers := 0; ; {
		resp, err := connection.readHead(req, pending.claim)
		if err != nil {
			return nil, payload{}, false, endingOf(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != 101 {
			continue
		}
		ofOther := pending.HeaderNames != nil && pending.answersOtherRequest(resp) && surplusAnswers < maxSurplusAnswers
		body, err := pending.readAnswerBody(connection, resp, ofOther)
		if err != nil {
			return resp, payload{}, false, endingOf(err)
		}
		closeErr := resp.Body.Close()
		if ofOther {
			if closeErr != nil || resp.Close || req.Method == "HEAD" && resp.ContentLength != 0 {
				return resp, payload{}, false, forward.Malformed
			}
			surplusAnswers++
			continue
		}
		if ending := pending.checkAnswer(connection, resp, body); ending != forward.Complete {
			body.release(pending.claim)
			return resp, payload{}, false, ending
		}
		if connection.reader.Buffered() > 0 {
			resp.Close = true
		}
		return resp, body, !resp.Close && resp.ProtoMinor == 1, pending.notRunEnding(resp)
	}
}

// checkAnswer reports whether an answer that was read may be passed on: forward.Complete if so.
func (pending *call) checkAnswer(connection *conn, resp *http.Response, body payload) forward.Ending {
	if !framingCertain(resp) || pending.surplusBytes(connection) {
		return forward.Malformed
	}
	return pending.checkContent(resp, body)
}

// framingCertain reports whether an answer is final and its end is certain.
func framingCertain(resp *http.Response) bool {
	bodyless := resp.Request.Method == "HEAD" || resp.StatusCode == 204 || resp.StatusCode == 304
	untilClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !bodyless
	return resp.StatusCode >= 200 && !untilClose && resp.ProtoMajor == 1
}

// surplusBytes reports whether bytes follow an answer that must be the last of its connection's.
func (pending *call) surplusBytes(connection *conn) bool {
	return pending.HeaderNames == nil && connection.reader.Buffered() > 0
}

// readAnswerBody reads the body of an answer. What was passed on, or what nobody waits for, is not in the
// payload that it returns.
func (pending *call) readAnswerBody(connection *conn, resp *http.Response, ofOther bool) (payload, error) {
	raise := func(bytes int64) func() { return connection.raiseBuffer(pending.claim, bytes) }
	source := &raisingReader{Reader: resp.Body, raise: raise}
	defer source.settle()
	maxBytes := pending.lane.MaxResponseBody
	reader := payloadReader{claim: pending.claim, limit: maxBytes, wait: maxAnswerMemoryWait}
	switch {
	case resp.Body == http.NoBody:
		return payload{}, nil
	case resp.ContentLength > maxBytes:
		return payload{}, errTooLong
	case ofOther || pending.unwanted():
		return payload{}, pending.dropRest(resp.Body, maxBytes)
	case pending.passOn != nil && pending.mayPassOn(resp):
		return pending.readOrPassOn(resp, source, reader)
	case resp.ContentLength >= 0:
		return reader.readWhole(source, resp.ContentLength)
	}
	body, _, err := reader.readPieces(source, -1)
	return body, err
}

// checkContent checks the content of an answer. Uncompressed JSON is checked for completeness.
func (pending *call) checkContent(resp *http.Response, body payload) forward.Ending {
	if pending.HeaderNames != nil {
		if !pending.verified(resp) {
			return forward.Malformed
		}
		return forward.Complete
	}
	if body.size == 0 {
		return forward.Complete
	}
	if resp.Header.Get("Content-Encoding") != "" {
		return forward.Malformed
	}
	if !mayBeJSON(resp) {
		return forward.Complete
	}
	text, ok := body.joined(pending.claim)
	switch {
	case !ok:
		return forward.Unread
	case !json.Valid(text):
		return forward.Malformed
	}
	return forward.Complete
}

// mayBeJSON reports whether the content of an answer is checked as JSON.
func mayBeJSON(resp *http.Response) bool {
	contentType := resp.Header.Get("Content-Type")
	return contentType == "" || strings.Contains(contentType, "json")
}

// endingOf classifies an error from reading an answer.
func endingOf(err error) forward.Ending {
	var opErr *net.OpError
	switch {
	case errors.Is(err, errNoMemory):
		return forward.Unread
	case errors.Is(err, os.ErrDeadlineExceeded):
		return forward.TimedOut
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &opErr):
		return forward.Broken
	}
	return forward.Malformed
}
