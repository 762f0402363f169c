package forward

import (
	"time"

	"sloeturn/admission"
	"sloeturn/ident"
)

// Ended records how an attempt that was sent ended, and the status of its answer if it had one. While
// its partner in a hedged request is open, a failure ends this attempt alone; a success cancels the partner.
func (s *State) Ended(id ident.RequestID, attempt int, ending Ending, status int, now ident.Moment) {
	req := s.requests[id]
	if req == nil || req.Phase != Sent || req.Attempt != attempt {
		return
	}
	s.Counters["ended "+ending.String()]++
	req.bodySpent = req.SingleUse
	delete(s.slow, req.ID)
	req.slowSince, req.revokedAt = 0, 0
	s.observe(req, ending, status, now)
	if partner := s.partner(req); partner != nil {
		if ending != Complete || status >= 500 || req.isGatewayStatus(status) {
			partner.MayHaveRun = partner.MayHaveRun || ending != Rejected && ending != Misdirected
			s.finish(req, Answer{Reason: ending.String() + "; the attempt beside it goes on"})
			return
		}
		defer s.abandon(partner, "the attempt beside it was answered", now)
	}
	switch ending {
	case Complete:
		s.handleComplete(req, status, now)
	case Rejected, Misdirected:
		s.handleRejected(req, ending, now)
	case Canceled:
		s.finish(req, Answer{Reason: "canceled"})
	case TimedOut:
		s.finish(req, Answer{Status: 504, Ran: RanUnknown, Reason: "no answer in time"})
	case Unread:
		s.finishUnanswered(req, Answer{Status: 502, Ran: RanUnknown, Reason: "no memory for the answer"})
	case Unfinished:
		s.finish(req, Answer{Status: status, Ran: RanUnknown, Reason: "the body was not sent whole"})
	case Malformed:
		s.handleLost(req, "the backend's answer was garbled", now)
	default:
		s.handleLost(req, "connection broke after sending", now)
	}
}

// handleComplete delivers a complete answer. A repeatable request that the backend itself failed is
// retried; the answer is kept as the fallback.
func (s *State) handleComplete(req *Request, status int, now ident.Moment) {
	if len(req.Arrival.Key) > 0 {
		s.emit(Outcome{req, status})
	}
	req.HoldsClaim = false
	isBackendStatus := !req.isGatewayStatus(status)
	if req.Rule.Repeatable && status >= 500 && status < 504 {
		req.MayHaveRun = true
		if isBackendStatus {
			req.FallbackAttempt = req.Attempt
		}
		if s.retryWithFreshWait(req, now) {
			return
		}
	}
	if isBackendStatus {
		s.deliver(req, req.Attempt)
		return
	}
	s.finishUnanswered(req, Answer{Status: 502, Ran: RanUnknown, Reason: "backend answered as a gateway would", Known: uint32(status)})
}

// handleRejected retries a request of which the backend states that it did not run it. The statement is
// kept as the fallback, to be delivered if no other backend takes the request.
func (s *State) handleRejected(req *Request, ending Ending, now ident.Moment) {
	if ending == Misdirected {
		s.State.Eject(req.Backend.Addr)
		s.emit(Eject{req.Backend.Addr, false})
	}
	fallback := req.FallbackAttempt
	if ending == Rejected && !req.MayHaveRun {
		req.FallbackAttempt = req.Attempt
	}
	if s.retryWithFreshWait(req, now) {
		req.FallbackAttempt = fallback
		return
	}
	s.refuse(req, "turned away by the backend")
}

// handleLost handles an attempt that may have run and brought no answer: a repeatable request is retried.
func (s *State) handleLost(req *Request, reason string, now ident.Moment) {
	req.MayHaveRun = true
	if req.Rule.Repeatable && s.retryWithFreshWait(req, now) {
		return
	}
	s.finishUnanswered(req, Answer{Status: 502, Ran: RanUnknown, Reason: reason})
}

// refuse ends a request whose present attempt was not sent: with the answer of an earlier attempt, or
// with an answer that guarantees that it has not run.
func (s *State) refuse(req *Request, reason string) {
	if req.HoldsClaim {
		s.releaseClaim(req)
	}
	if req.Phase == Waiting && req.Attempt > 1 {
		s.refundRetry(req.Rule.Service)
	}
	if req.hedge {
		s.emit(ReturnConnection{req.ID})
	}
	switch {
	case req.Done || s.partner(req) != nil:
		s.finish(req, Answer{Reason: reason})
		return
	case req.FallbackAttempt > 0:
		s.deliver(req, req.FallbackAttempt)
		return
	case req.MayHaveRun:
		s.finish(req, Answer{Status: 502, Ran: RanUnknown, Reason: "an earlier attempt may have run; no further one: " + reason})
		return
	}
	s.Counters["refused"]++
	s.finish(req, Answer{Status: 503, Ran: RanNo, Reason: reason, RetryAfter: s.retryAfter(req, reason)})
}

// releaseClaim gives up the idempotency key that a request has claimed.
func (s *State) releaseClaim(req *Request) {
	req.HoldsClaim = false
	s.emit(Release{req})
}

// retryAfter is the Retry-After of a refusal.
func (s *State) retryAfter(req *Request, reason string) time.Duration {
	if s.RetryAfter != nil {
		if delay := s.RetryAfter(string(req.ID)); delay > 0 {
			return delay
		}
	}
	if req.Rule.TargetLatency > 0 {
		return req.Rule.TargetLatency / 8
	}
	switch admission.Reason(reason) {
	case admission.LaneFull, admission.WaitExpired, admission.QueueFull:
		return time.Second
	}
	return 2 * time.Second
}

// answer emits the answer to the client, unless it was answered before or the partner attempt may still
// be answered.
func (s *State) answer(req *Request, a Answer) {
	if req.Done {
		return
	}
	req.Done = true
	if s.partner(req) != nil {
		return
	}
	a.Request = req.ID
	s.emit(a)
}

// finish removes a request, and answers it if it was not answered before.
func (s *State) finish(req *Request, a Answer) {
	s.answer(req, a)
	s.transition(req, Answered, a.Reason)
	delete(s.requests, req.ID)
	delete(s.slow, req.ID)
}

// withdraw ends an attempt before its first byte is sent. connected tells that it has a connection.
func (s *State) withdraw(req *Request, reason string, connected bool, now ident.Moment) {
	switch req.Phase {
	case Waiting:
		s.State.CancelWait(req.ID, req.Lane)
	case Admitted, Connected, Claimed:
		if len(req.Arrival.Key) > 0 && req.Phase == Connected {
			req.HoldsClaim = true
		}
		if connected {
			s.emit(ReturnConnection{req.ID})
		}
	}
	s.refuse(req, reason)
}

// deliver passes the complete answer of an attempt on to the client.
func (s *State) deliver(req *Request, attempt int) {
	if !req.Done {
		req.Done = true
		s.emit(Deliver{req.ID, attempt})
	}
	s.finish(req, Answer{Reason: "whole"})
}

// finishUnanswered ends a request whose present attempt brought no answer: with the fallback, or with a.
func (s *State) finishUnanswered(req *Request, a Answer) {
	if req.FallbackAttempt > 0 {
		s.deliver(req, req.FallbackAttempt)
		return
	}
	s.finish(req, a)
}

// isGatewayStatus tells whether clients would take a status for one of this gateway's own, so that a
// backend's answer with it must not be passed on.
func (req *Request) isGatewayStatus(status int) bool {
	if req.Rule.Route == "" {
		return status >= 502 && status <= 504
	}
	return status == 408 || status == 421 || status == 429 || status == 503
}

// observe reports the outcome of an attempt to the latency estimates of admission.
func (s *State) observe(req *Request, ending Ending, status int, now ident.Moment) {
	backend := req.Backend
	switch {
	case req.timedOut, req.canceled, req.begun, ending == Unread, ending == Unfinished:
	case ending == Complete && status < 500:
		s.State.ObserveDuration(backend.Addr, backend.Incarnation, req.latencyKind(), now.Sub(req.sentAt), now)
	case ending != Misdirected:
		s.State.ObserveFailure(backend.Addr, backend.Incarnation, now)
	}
}
