package forward

import (
	"sloeturn/ident"
)

// ClientLeft records that a client closed its connection before it was answered: nothing more is sent for
// it, and a repeatable attempt that was sent is canceled.
func (s *State) ClientLeft(id ident.RequestID, now ident.Moment) {
	if s.requests[id] != nil || s.requests[id+hedgeSuffix] != nil {
		s.Counters["client left"]++
	}
	for _, attempt := range []*Request{s.requests[id], s.requests[id+hedgeSuffix]} {
		if attempt != nil {
			s.abandon(attempt, "client left", now)
		}
	}
	s.applyAdmission(now)
}

// Canceled counts the attempts that were canceled and whose backends have not closed the connection yet.
func (s *State) Canceled() int {
	count := 0
	for _, req := range s.requests {
		if req.canceled {
			count++
		}
	}
	return count
}

// abandon stops waiting for an attempt's answer: an unsent attempt is withdrawn, a sent one canceled.
func (s *State) abandon(req *Request, reason string, now ident.Moment) {
	req.Done = true
	if req.Phase < Sent {
		s.withdraw(req, reason, req.Phase >= Connected, now)
		return
	}
	if req.begun {
		req.begun, req.timedOut = false, true
		req.ReclaimAt = max(req.ReclaimAt, now.Add(req.Rule.RequestTimeout))
	}
	s.cancel(req, now)
}

// cancel asks a backend to stop work whose answer nobody waits for. Work that must not be repeated runs
// to its end: if it were interrupted, its outcome would be unknown.
func (s *State) cancel(req *Request, now ident.Moment) {
	if req.Phase != Sent || req.canceled || !req.Rule.Repeatable {
		return
	}
	if !req.timedOut {
		s.State.ObserveCanceled(req.Backend.Addr, req.Backend.Incarnation, req.latencyKind(), now.Sub(req.sentAt), now)
	}
	req.canceled = true
	s.emit(Cancel{req.ID})
}
