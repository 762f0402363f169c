// Package forward is the state machine of a request on a node: it waits for a slot, is admitted,
// connected, its idempotency key claimed if the route requires one, sent and answered. The state
// machine does no I/O: it emits effects, and executors carry them out and report the results.
package forward

import (
	"sort"
	"time"

	"sloeturn/admission"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
)

// Gate returns the time until which a request may be sent, or why it may not be.
type Gate func(req *Request, now ident.Moment) (notAfter ident.Moment, reason string)

// State is the state of all open requests of a node. It isn't safe for concurrent use.
type State struct {
	*admission.State
	Gate Gate
	// RetryAfter is asked for the Retry-After of a refusal; 0 or nil leaves it to the lane.
	RetryAfter func(id string) time.Duration
	requests   map[ident.RequestID]*Request
	// slow are the requests whose clients hold up a transfer.
	slow     map[ident.RequestID]*Request
	budgets  map[ident.Service]*retryBudget
	effects  []any
	Counters map[string]uint64
}

// New returns a state without requests over an admission state.
func New(admission *admission.State, gate Gate) *State {
	return &State{State: admission, Gate: gate, requests: map[ident.RequestID]*Request{}, slow: map[ident.RequestID]*Request{}, budgets: map[ident.Service]*retryBudget{}, Counters: map[string]uint64{}}
}

// Open counts the requests and hedges that have not ended.
func (s *State) Open() int { return len(s.requests) }

// HasUnsent tells whether any request has not been sent yet.
func (s *State) HasUnsent() bool {
	for _, req := range s.requests {
		if req.Phase < Sent {
			return true
		}
	}
	return false
}

// Find returns an open request, or nil.
func (s *State) Find(id ident.RequestID) *Request { return s.requests[id] }

func (s *State) emit(e any) { s.effects = append(s.effects, e) }

func (s *State) transition(req *Request, to Phase, note string) {
	s.emit(Trace{req.ID, req.Lane, req.Phase, to, req.Backend.Addr, note})
	req.Phase = to
}

// Arrive accepts a client's request. The deadline of a routed one is the client's or the route's,
// whichever comes first.
func (s *State) Arrive(arrival Arrival, now ident.Moment) {
	if arrival.Rule.Route != "" && !arrival.SingleUse {
		arrival.Deadline = min(arrival.Deadline, arrival.Arrived.Add(arrival.Rule.ResponseTimeout))
	}
	req := &Request{Arrival: arrival, tried: map[ident.Addr]bool{}}
	req.GiveUpAt, req.waitingSince = arrival.Arrived.Add(AdmissionWait(req.Rule)), arrival.Arrived
	s.requests[req.ID] = req
	if !arrival.Deadline.After(now) {
		s.finish(req, Answer{Status: 504, Ran: RanNo, Reason: "expiry passed"})
		return
	}
	if _, reason := s.Gate(req, now); reason != "" {
		s.refuse(req, reason)
		return
	}
	s.acquireSlot(req, now)
}

// AdmissionWait is how long a request on a lane may wait before it is refused.
func AdmissionWait(l *desired.Lane) time.Duration {
	if l.TargetLatency > 0 && l.MaxWait > 0 {
		return min(MaxAdmissionWait, l.MaxWait)
	}
	return MaxAdmissionWait
}

// acquireSlot asks admission for a slot for the next attempt.
func (s *State) acquireSlot(req *Request, now ident.Moment) {
	req.Phase = Waiting
	req.Attempt++
	deadline := min(req.GiveUpAt, req.Deadline)
	if req.Rule.MaxWait == 0 {
		deadline = now
	} else {
		deadline = min(deadline, req.waitingSince.Add(req.Rule.MaxWait))
	}
	s.State.Acquire(req.ID, req.Lane, deadline, req.tried, now)
	s.applyAdmission(now)
	if req.Phase == Waiting && !req.Done {
		s.revokeSlow(req.Lane, now)
	}
}

// applyAdmission acts on what admission has granted, refused and closed.
func (s *State) applyAdmission(now ident.Moment) {
	for {
		effects := s.State.Flush()
		if len(effects.Grants) == 0 && len(effects.Refusals) == 0 && len(effects.Closes) == 0 {
			return
		}
		for _, c := range effects.Closes {
			s.emit(c)
		}
		for _, refusal := range effects.Refusals {
			if req := s.requests[refusal.Request]; req != nil {
				if refusal.Reason == admission.LaneFull || refusal.Reason == admission.QueueFull {
					s.revokeSlow(req.Lane, now)
				}
				s.refuse(req, string(refusal.Reason))
			}
		}
		for _, grant := range effects.Grants {
			req := s.requests[grant.Request]
			if req == nil {
				s.State.Release(admission.Key{Lane: grant.Lane, Addr: grant.Backend.Addr}, grant.Reuse)
				continue
			}
			req.Backend, req.Reuse = grant.Backend, grant.Reuse
			s.transition(req, Admitted, "")
			if req.Attempt == 1 {
				s.creditFirstAttempt(req.Rule.Service)
			}
			deadline := min(req.GiveUpAt, now.Add(req.Rule.ConnectTimeout), req.Deadline)
			s.emit(Dial{req.ID, req.Attempt, req.Key(), req.Backend, grant.Reuse, deadline})
		}
	}
}

// Connected records that an attempt has its connection. It returns false if the attempt is over, so that
// the executor keeps the connection.
func (s *State) Connected(id ident.RequestID, attempt int, now ident.Moment) bool {
	req := s.requests[id]
	if req == nil || req.Phase != Admitted || req.Attempt != attempt {
		return false
	}
	s.transition(req, Connected, "")
	if len(req.Arrival.Key) > 0 && !req.HoldsClaim {
		s.emit(Claim{req})
		return true
	}
	s.transition(req, Claimed, "no claim needed")
	s.send(req, now)
	return true
}

// ConnectFailed records that an attempt got no connection. eject tells that the backend refused it and is
// to be ejected.
func (s *State) ConnectFailed(id ident.RequestID, attempt int, key admission.Key, eject bool, now ident.Moment) {
	if eject {
		s.State.Eject(key.Addr)
		s.emit(Eject{key.Addr, false})
	}
	s.State.Release(key, false)
	req := s.requests[id]
	if req != nil && req.Phase == Admitted && req.Attempt == attempt {
		req.tried[key.Addr] = true
		if req.Attempt < req.Rule.MaxAttempts && req.GiveUpAt.After(now) && req.Deadline.After(now) && s.spendRetry(req.Rule.Service) {
			s.transition(req, Waiting, "further attempt")
			s.acquireSlot(req, now)
		} else {
			s.refuse(req, "connect failed")
		}
	}
	s.applyAdmission(now)
}

// Claimed records the result of claiming a request's idempotency key. status is the known status of an
// earlier answer under the key; for ledger.Done, not zero means that this request had claimed it before.
func (s *State) Claimed(id ident.RequestID, code ledger.Code, status uint32, now ident.Moment) {
	req := s.requests[id]
	if req == nil || req.Phase != Connected {
		return
	}
	switch code {
	case ledger.Done:
		if status != 0 {
			s.emit(ReturnConnection{req.ID})
			s.finish(req, Answer{Status: 409, Ran: RanUnknown, Reason: "key claimed by this visit before"})
			return
		}
		req.HoldsClaim = true
		s.transition(req, Claimed, "")
		s.send(req, now)
	case ledger.Claimed:
		s.emit(ReturnConnection{req.ID})
		if status > 1 {
			s.finish(req, Answer{Status: 409, Ran: RanYes, Reason: "key already answered", Known: status})
			return
		}
		s.finish(req, Answer{Status: 409, Ran: RanUnknown, Reason: "key already claimed: still running, or its answer was lost"})
	case ledger.Invalid:
		s.emit(ReturnConnection{req.ID})
		s.finish(req, Answer{Status: 422, Ran: RanNo, Reason: "key already used with another body"})
	default:
		s.withdraw(req, "no claim: "+code.String(), true, now)
	}
}

// send emits the write of a request if its lease and its deadline still allow it.
func (s *State) send(req *Request, now ident.Moment) {
	notAfter, reason := s.Gate(req, now)
	if reason == "" && !req.Deadline.After(now) {
		reason = "expiry passed"
	}
	if reason != "" {
		s.withdraw(req, reason, true, now)
		return
	}
	req.AnswerBy, req.ReclaimAt = s.timeLimits(req, now)
	req.sentAt, req.timedOut = now, false
	s.transition(req, Sent, "")
	s.emit(Write{req.ID, req.Attempt, min(notAfter, req.Deadline), req.AnswerBy, req.ReclaimAt})
}

// timeLimits returns when a request that is sent now must be answered, and when its slot is reclaimed. A
// body that is passed on while it arrives may take until the client's deadline, see BodySent.
func (s *State) timeLimits(req *Request, now ident.Moment) (answerBy, reclaimAt ident.Moment) {
	reclaimAfter := 2 * req.Rule.RequestTimeout
	switch {
	case req.SingleUse:
		return req.Deadline, max(now, req.Deadline).Add(reclaimAfter)
	case req.Rule.Route == "":
		return min(req.Deadline, now.Add(req.Rule.ResponseTimeout)), now.Add(reclaimAfter)
	}
	return req.Deadline, now.Add(reclaimAfter)
}

// NotWritten records that no byte of an attempt left this node, although it was to be sent. It is not
// known to the backend, so another attempt is safe.
func (s *State) NotWritten(id ident.RequestID, attempt int, reason string, now ident.Moment) {
	req := s.requests[id]
	if req == nil || req.Phase != Sent || req.Attempt != attempt {
		return
	}
	s.transition(req, Claimed, "not written")
	if req.Done {
		if req.HoldsClaim {
			s.releaseClaim(req)
		}
		delete(s.requests, id)
		return
	}
	if req.GiveUpAt.After(now) && s.retry(req, now, req.GiveUpAt) {
		s.applyAdmission(now)
		return
	}
	s.refuse(req, reason)
}

// ConnectionFreed records that an attempt's connection ended, or with keep that it is idle. With eject the
// backend is ejected and a probe of it requested.
func (s *State) ConnectionFreed(key admission.Key, keep, eject bool, now ident.Moment) {
	if eject {
		s.State.Eject(key.Addr)
		s.emit(Eject{key.Addr, true})
	}
	s.State.Release(key, keep)
	s.applyAdmission(now)
}

// IdleConnectionEnded records that an idle connection ended; eject is as for ConnectionFreed.
func (s *State) IdleConnectionEnded(key admission.Key, eject bool, now ident.Moment) {
	if eject {
		s.State.Eject(key.Addr)
		s.emit(Eject{key.Addr, true})
	}
	s.State.IdleClosed(key)
	s.applyAdmission(now)
}

// Tick ends what has waited too long and hedges what is overdue.
func (s *State) Tick(now ident.Moment) {
	s.State.Tick(now)
	s.applyAdmission(now)
	var list []*Request
	for _, req := range s.requests {
		list = append(list, req)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	for _, req := range list {
		switch {
		case req.Phase < Sent:
			if !req.GiveUpAt.After(now) || !req.Deadline.After(now) {
				reason := "could not be sent in time"
				if req.Phase == Connected {
					reason = "no claim in time"
				}
				s.withdraw(req, reason, req.Phase >= Connected, now)
			}
		case req.Phase == Sent && !req.begun:
			if !req.AnswerBy.After(now) {
				if !req.timedOut {
					s.observe(req, TimedOut, 0, now)
					req.timedOut = true
				}
				s.answer(req, Answer{Status: 504, Ran: RanUnknown, Reason: "no answer in time"})
				s.cancel(req, now)
			}
			s.hedge(req, now)
			if !req.ReclaimAt.After(now) {
				req.ReclaimAt = now.Add(time.Second)
				s.emit(CloseConnection{req.ID})
			}
		}
	}
	s.applyAdmission(now)
}

// SetConfig takes over a configuration, the connection limits, and the number of this node's seat among
// all seats: each service's retry budget is divided among the seats.
func (s *State) SetConfig(config *desired.State, limits map[ledger.LaneKey]int, seat, seats int, now ident.Moment) {
	var rules []admission.LaneRule
	for _, name := range config.LaneNames() {
		l := config.Lanes[name]
		rules = append(rules, admission.LaneRule{Lane: name, Service: l.Service, Waiters: l.MaxWaiters, Weight: l.Weight})
	}
	for name := range s.budgets {
		if config.Services[name] == nil {
			delete(s.budgets, name)
		}
	}
	for name, service := range config.Services {
		maxRetries := service.RetryBudget / max(1, seats)
		if seat < service.RetryBudget%max(1, seats) {
			maxRetries++
		}
		s.SetRetryBudget(name, maxRetries, float64(service.RetryPerMille)/1000)
	}
	s.State.SetRules(rules, limits)
	s.applyAdmission(now)
}

// SetBackends takes the list of backends over.
func (s *State) SetBackends(list []admission.Backend, now ident.Moment) {
	s.State.SetBackends(list)
	s.applyAdmission(now)
}

// Flush returns the effects since the last call.
func (s *State) Flush() []any {
	o := s.effects
	s.effects = nil
	return o
}
