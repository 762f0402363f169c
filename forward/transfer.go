package forward

import (
	"time"

	"sloeturn/ident"
)

// revocationTime is how long a client that was cut off counts as one whose slot is about to be free.
const revocationTime = 200 * time.Millisecond

// AnswerBegun records that the beginning of a long answer has been read and checked. If its client still
// waits, the answer is delivered while the rest of it is read; nothing else is sent for the request then.
func (s *State) AnswerBegun(id ident.RequestID, attempt, status int, now ident.Moment) {
	req := s.requests[id]
	if req == nil || req.Phase != Sent || req.Attempt != attempt || req.Done {
		s.emit(Discard{id, attempt})
		return
	}
	s.observe(req, Complete, status, now)
	if partner := s.partner(req); partner != nil {
		defer s.abandon(partner, "the attempt beside it was answered", now)
	}
	req.begun, req.Done = true, true
	s.emit(Deliver{id, attempt})
}

// BodySent records that the last byte of a body was passed on: the time that the route gives its backend to
// answer begins.
func (s *State) BodySent(id ident.RequestID, attempt int, now ident.Moment) {
	req := s.requests[id]
	if req == nil || req.Phase != Sent || req.Attempt != attempt || !req.SingleUse {
		return
	}
	req.AnswerBy = min(req.Deadline, now.Add(req.Rule.ResponseTimeout))
	req.ReclaimAt = now.Add(2 * req.Rule.RequestTimeout)
}

// TransferSlow records whether a client holds up the transfer of its body or of its answer. The slot of a
// backend is held meanwhile.
func (s *State) TransferSlow(id ident.RequestID, slow bool, now ident.Moment) {
	req := s.requests[id]
	if req == nil || req.Phase != Sent {
		return
	}
	s.setSlow(req, slow, now)
	if slow && s.State.Waiting(req.Lane) > 0 {
		s.revokeSlow(req.Lane, now)
	}
}

func (s *State) setSlow(req *Request, slow bool, now ident.Moment) {
	if !slow {
		req.slowSince = 0
		if req.revokedAt == 0 {
			delete(s.slow, req.ID)
		}
		return
	}
	if req.slowSince == 0 {
		req.slowSince = now
	}
	s.slow[req.ID] = req
}

// revokeSlow cuts off clients that hold up transfers on a lane, those first that do so for longest, one for
// each request that waits for a slot of the lane.
func (s *State) revokeSlow(lane ident.Lane, now ident.Moment) {
	needed := max(1, s.State.Waiting(lane))
	for _, req := range s.slow {
		if req.Lane == lane && req.revokedAt != 0 && now.Sub(req.revokedAt) < revocationTime {
			needed--
		}
	}
	for ; needed > 0; needed-- {
		victim := s.slowest(lane)
		if victim == nil {
			return
		}
		victim.revokedAt = now
		s.Counters["revoked slow"]++
		s.emit(Revoke{victim.ID})
	}
}

// slowest returns the request on a lane whose client holds up a transfer for longest and wasn't cut off
// yet, or nil.
func (s *State) slowest(lane ident.Lane) (found *Request) {
	for _, req := range s.slow {
		if req.Lane != lane || req.revokedAt != 0 {
			continue
		}
		if found == nil || req.slowSince < found.slowSince || req.slowSince == found.slowSince && req.ID < found.ID {
			found = req
		}
	}
	return found
}
