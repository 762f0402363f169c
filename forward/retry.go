package forward

import (
	"sloeturn/ident"
)

// retryWithFreshWait retries a request that a backend answered or lost; its wait for admission starts anew.
func (s *State) retryWithFreshWait(req *Request, now ident.Moment) bool {
	return s.retry(req, now, now.Add(AdmissionWait(req.Rule)))
}

// retry sends a request to another backend, waiting until the given time at most for a slot. It returns
// false if attempts, time or the budget are used up, or if nobody waits for the answer any more.
func (s *State) retry(req *Request, now, until ident.Moment) bool {
	if req.Done || req.bodySpent || req.partner != "" || req.Attempt >= req.Rule.MaxAttempts || !req.Deadline.After(now) {
		return false
	}
	if !s.spendRetry(req.Rule.Service) {
		return false
	}
	req.tried[req.Backend.Addr] = true
	req.waitingSince = until.Add(-AdmissionWait(req.Rule))
	req.GiveUpAt = until
	s.transition(req, Waiting, "further attempt")
	s.acquireSlot(req, now)
	return true
}
