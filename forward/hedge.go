package forward

import (
	"sloeturn/ident"
)

// partner returns the other attempt of a hedged request if its answer is still waited for, else nil.
func (s *State) partner(req *Request) *Request {
	if other := s.requests[req.partner]; req.partner != "" && other != nil && !other.Done {
		return other
	}
	return nil
}

// hedge sends an overdue request to another backend in parallel. The first whole answer counts; the
// attempt is paid for by the retry budget of the service.
func (s *State) hedge(req *Request, now ident.Moment) {
	if req.partner != "" || req.Done || req.SingleUse || !req.Rule.Repeatable || req.Attempt >= req.Rule.MaxAttempts {
		return
	}
	overdueAfter, usual, ok := s.State.LatencyThresholds(req.latencyKind())
	if !ok || now.Sub(req.sentAt) < overdueAfter || req.AnswerBy.Sub(now) < usual || !s.spendRetry(req.Rule.Service) {
		return
	}
	hedged := &Request{Arrival: req.Arrival, Attempt: req.Rule.MaxAttempts - 1, MayHaveRun: true, hedge: true, partner: req.ID, tried: map[ident.Addr]bool{req.Backend.Addr: true}}
	hedged.ID += hedgeSuffix
	for addr := range req.tried {
		hedged.tried[addr] = true
	}
	req.partner = hedged.ID
	hedged.waitingSince, hedged.GiveUpAt = now, now.Add(AdmissionWait(req.Rule))
	s.requests[hedged.ID] = hedged
	s.emit(Hedge{req.ID, hedged.ID})
	s.acquireSlot(hedged, now)
}
