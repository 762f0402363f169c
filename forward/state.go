package forward

import (
	"sort"
	"time"

	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/pass"
)

type Phase int

const (
	Waiting Phase = iota
	Admitted
	Connected
	Claimed
	Sent
	Answered
)

func (p Phase) String() string {
	return [...]string{"waiting", "admitted", "connected", "claimed", "sent", "answered"}[p]
}

type Ran string

const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

const (
	GiveUp     = 180 * time.Millisecond
	besideName = "-beside"
)

type Arrival struct {
	Visit   ident.Visit
	Lane    ident.Lane
	Rule    *desired.Lane
	Key     []byte
	Body    []byte
	Arrived ident.Moment
	Expiry  ident.Moment
}

type Ending int

const (
	Whole Ending = iota
	Garbled
	Broken
	Late
	Turned
	Moved
	Canceled
)

func (e Ending) String() string {
	return [...]string{"whole", "garbled", "broken", "late", "turned away", "moved", "canceled"}[e]
}

type Visit struct {
	Arrival
	Phase    Phase
	Shot     int
	Backend  pass.Backend
	Reuse    bool
	GiveUpAt ident.Moment
	AnswerBy ident.Moment
	Reclaim  ident.Moment
	Post     uint64
	Told     bool
	Unsure   bool
	Kept     int
	Holds    bool
	asked    ident.Moment
	sent     ident.Moment
	late     bool
	canceled bool
	twin     bool
	mate     ident.Visit
	skip     map[ident.Addr]bool
}

func (v *Visit) Key() pass.Key { return pass.Key{Lane: v.Lane, Addr: v.Backend.Addr} }

type (
	Dial struct {
		Visit   ident.Visit
		Shot    int
		Key     pass.Key
		Backend pass.Backend
		Reuse   bool
		Until   ident.Moment
	}
	Write struct {
		Visit    ident.Visit
		Shot     int
		NotAfter ident.Moment
		AnswerBy ident.Moment
		Until    ident.Moment
	}
	Drop struct{ Visit ident.Visit }
	Cut  struct{ Visit ident.Visit }
	// Cancel withdraws a request that was sent and whose answer nobody waits for. The executor
	// closes its half of the connection; the slot is held until the backend ends the other half.
	Cancel  struct{ Visit ident.Visit }
	Deliver struct {
		Visit ident.Visit
		Shot  int
	}
	Answer struct {
		Visit      ident.Visit
		Status     int
		Ran        Ran
		Reason     string
		RetryAfter time.Duration
		Known      uint32
	}
	Claim   struct{ Visit *Visit }
	Release struct{ Visit *Visit }
	Outcome struct {
		Visit  *Visit
		Status int
	}
	Beside struct {
		Visit ident.Visit
		Twin  ident.Visit
	}
	Bar struct {
		Addr ident.Addr
		Ask  bool
	}
	Trace struct {
		Visit ident.Visit
		Lane  ident.Lane
		From  Phase
		To    Phase
		Addr  ident.Addr
		Note  string
	}
)

type Gate func(v *Visit, now ident.Moment) (notAfter ident.Moment, why string)

type bucket struct {
	tokens float64
	most   float64
	share  float64
}

type State struct {
	*pass.State
	Gate    Gate
	Back    func(visit string) time.Duration
	visits  map[ident.Visit]*Visit
	budgets map[ident.Service]*bucket
	out     []any
	Counts  map[string]uint64
}

func New(p *pass.State, g Gate) *State {
	return &State{State: p, Gate: g, visits: map[ident.Visit]*Visit{}, budgets: map[ident.Service]*bucket{}, Counts: map[string]uint64{}}
}

func (s *State) Open() int { return len(s.visits) }

func (s *State) Pressing() bool {
	for _, v := range s.visits {
		if v.Phase < Sent {
			return true
		}
	}
	return false
}

func (s *State) Find(v ident.Visit) *Visit { return s.visits[v] }

func (s *State) Budget(n ident.Service, most int, share float64) {
	b := s.budgets[n]
	if b == nil {
		b = &bucket{}
		s.budgets[n] = b
	}
	b.most, b.share = float64(most), share
	b.tokens = min(b.tokens, b.most)
}

func (s *State) Credit(n ident.Service, tries float64) {
	if b := s.budgets[n]; b != nil {
		b.tokens = min(b.most, b.tokens+tries)
	}
}

func (s *State) emit(e any) { s.out = append(s.out, e) }

func (s *State) move(v *Visit, to Phase, note string) {
	s.emit(Trace{v.Visit, v.Lane, v.Phase, to, v.Backend.Addr, note})
	v.Phase = to
}

func (s *State) Arrive(a Arrival, now ident.Moment) {
	v := &Visit{Arrival: a, skip: map[ident.Addr]bool{}}
	v.GiveUpAt, v.asked = a.Arrived.Add(Patience(v.Rule)), a.Arrived
	s.visits[v.Visit] = v
	if !a.Expiry.After(now) {
		s.end(v, Answer{Status: 504, Ran: RanNo, Reason: "expiry passed"})
		return
	}
	if _, why := s.Gate(v, now); why != "" {
		s.giveUp(v, why)
		return
	}
	s.ask(v, now)
}

func Patience(l *desired.Lane) time.Duration {
	if l.Aim > 0 && l.Wait > 0 {
		return min(GiveUp, l.Wait)
	}
	return GiveUp
}

func (s *State) first(n ident.Service) {
	if b := s.budgets[n]; b != nil {
		s.Credit(n, b.share)
	}
}

func (s *State) further(n ident.Service) bool {
	b := s.budgets[n]
	if b == nil || b.tokens < 1 {
		return false
	}
	b.tokens--
	s.Counts["further"]++
	return true
}

func (s *State) unspend(n ident.Service) {
	if b := s.budgets[n]; b != nil {
		b.tokens = min(b.most, b.tokens+1)
		s.Counts["further"]--
	}
}

func (s *State) ask(v *Visit, now ident.Moment) {
	v.Phase = Waiting
	v.Shot++
	until := min(v.GiveUpAt, v.Expiry)
	if v.Rule.Wait == 0 {
		until = now
	} else {
		until = min(until, v.asked.Add(v.Rule.Wait))
	}
	s.State.Ask(v.Visit, v.Lane, until, v.skip, now)
	s.passed(now)
}

func (s *State) passed(now ident.Moment) {
	for {
		o := s.State.Flush()
		if len(o.Grants) == 0 && len(o.Refusals) == 0 && len(o.Closes) == 0 {
			return
		}
		for _, c := range o.Closes {
			s.emit(c)
		}
		for _, r := range o.Refusals {
			if v := s.visits[r.Visit]; v != nil {
				s.giveUp(v, string(r.Reason))
			}
		}
		for _, g := range o.Grants {
			v := s.visits[g.Visit]
			if v == nil {
				s.State.Release(pass.Key{Lane: g.Lane, Addr: g.Backend.Addr}, g.Reuse)
				continue
			}
			v.Backend, v.Reuse = g.Backend, g.Reuse
			s.move(v, Admitted, "")
			if v.Shot == 1 {
				s.first(v.Rule.Service)
			}
			until := min(v.GiveUpAt, now.Add(v.Rule.Connect), v.Expiry)
			s.emit(Dial{v.Visit, v.Shot, v.Key(), v.Backend, g.Reuse, until})
		}
	}
}

func (s *State) giveUp(v *Visit, why string) {
	if v.Holds {
		s.release(v)
	}
	if v.Phase == Waiting && v.Shot > 1 {
		s.unspend(v.Rule.Service)
	}
	if v.twin {
		s.emit(Drop{v.Visit})
	}
	switch {
	case v.Told || s.other(v) != nil:
		s.end(v, Answer{Reason: why})
		return
	case v.Kept > 0:
		s.deliver(v, v.Kept)
		return
	case v.Unsure:
		s.end(v, Answer{Status: 502, Ran: RanUnknown, Reason: "an earlier shot may have run; no further one: " + why})
		return
	}
	s.Counts["refused"]++
	s.end(v, Answer{Status: 503, Ran: RanNo, Reason: why, RetryAfter: s.comeBack(v, why)})
}

func (s *State) release(v *Visit) {
	v.Holds = false
	s.emit(Release{v})
}

func (s *State) comeBack(v *Visit, why string) time.Duration {
	if s.Back != nil {
		if d := s.Back(string(v.Visit)); d > 0 {
			return d
		}
	}
	if v.Rule.Aim > 0 {
		return v.Rule.Aim / 8
	}
	switch pass.Reason(why) {
	case pass.LaneFull, pass.WaitedOut, pass.QueueFull:
		return time.Second
	}
	return 2 * time.Second
}

func (s *State) tell(v *Visit, a Answer) {
	if v.Told {
		return
	}
	v.Told = true
	if s.other(v) != nil {
		return
	}
	a.Visit = v.Visit
	s.emit(a)
}

func (s *State) end(v *Visit, a Answer) {
	s.tell(v, a)
	s.move(v, Answered, a.Reason)
	delete(s.visits, v.Visit)
}

func (s *State) unsent(v *Visit, why string, held bool, now ident.Moment) {
	switch v.Phase {
	case Waiting:
		s.State.Leave(v.Visit, v.Lane)
	case Admitted, Connected, Claimed:
		if len(v.Arrival.Key) > 0 && v.Phase == Connected {
			v.Holds = true
		}
		if held {
			s.emit(Drop{v.Visit})
		}
	}
	s.giveUp(v, why)
}

func (s *State) Linked(id ident.Visit, shot int, now ident.Moment) bool {
	v := s.visits[id]
	if v == nil || v.Phase != Admitted || v.Shot != shot {
		return false
	}
	s.move(v, Connected, "")
	if len(v.Arrival.Key) > 0 && !v.Holds {
		s.emit(Claim{v})
		return true
	}
	s.move(v, Claimed, "no claim needed")
	s.write(v, now)
	return true
}

func (s *State) LinkFailed(id ident.Visit, shot int, key pass.Key, bar bool, now ident.Moment) {
	if bar {
		s.State.Bar(key.Addr)
		s.emit(Bar{key.Addr, false})
	}
	s.State.Release(key, false)
	v := s.visits[id]
	if v != nil && v.Phase == Admitted && v.Shot == shot {
		v.skip[key.Addr] = true
		if v.Shot < v.Rule.Shots && v.GiveUpAt.After(now) && v.Expiry.After(now) && s.further(v.Rule.Service) {
			s.move(v, Waiting, "further shot")
			s.ask(v, now)
		} else {
			s.giveUp(v, "connect failed")
		}
	}
	s.passed(now)
}

func (s *State) Claimed(id ident.Visit, code ledger.Code, status uint32, now ident.Moment) {
	v := s.visits[id]
	if v == nil || v.Phase != Connected {
		return
	}
	switch code {
	case ledger.Done:
		if status != 0 {
			s.emit(Drop{v.Visit})
			s.end(v, Answer{Status: 409, Ran: RanUnknown, Reason: "key claimed by this visit before"})
			return
		}
		v.Holds = true
		s.move(v, Claimed, "")
		s.write(v, now)
	case ledger.Claimed:
		s.emit(Drop{v.Visit})
		if status > 1 {
			s.end(v, Answer{Status: 409, Ran: RanYes, Reason: "key already answered", Known: status})
			return
		}
		s.end(v, Answer{Status: 409, Ran: RanUnknown, Reason: "key already claimed: still running, or its answer was lost"})
	case ledger.Invalid:
		s.emit(Drop{v.Visit})
		s.end(v, Answer{Status: 422, Ran: RanNo, Reason: "key already used with another body"})
	default:
		s.unsent(v, "no claim: "+code.String(), true, now)
	}
}

func (s *State) write(v *Visit, now ident.Moment) {
	at, why := s.Gate(v, now)
	if why == "" && !v.Expiry.After(now) {
		why = "expiry passed"
	}
	if why != "" {
		s.unsent(v, why, true, now)
		return
	}
	v.AnswerBy = min(v.Expiry, now.Add(v.Rule.Work))
	if v.Rule.Route != "" {
		v.AnswerBy = min(v.Expiry, v.Arrived.Add(v.Rule.Work))
	}
	v.Reclaim = now.Add(2 * v.Rule.Whole)
	v.sent, v.late = now, false
	s.move(v, Sent, "")
	s.emit(Write{v.Visit, v.Shot, min(at, v.Expiry), v.AnswerBy, v.Reclaim})
}

func (s *State) NotWritten(id ident.Visit, shot int, why string, now ident.Moment) {
	v := s.visits[id]
	if v == nil || v.Phase != Sent || v.Shot != shot {
		return
	}
	s.move(v, Claimed, "not written")
	if v.Told {
		if v.Holds {
			s.release(v)
		}
		delete(s.visits, id)
		return
	}
	if v.GiveUpAt.After(now) && s.shoot(v, now, v.GiveUpAt) {
		s.passed(now)
		return
	}
	s.giveUp(v, why)
}

func (v *Visit) kind() string {
	if v.Rule.Route != "" {
		return v.Rule.Route
	}
	return string(v.Lane)
}

func (s *State) timed(v *Visit, e Ending, status int, now ident.Moment) {
	b := v.Backend
	switch {
	case v.late, v.canceled:
	case e == Whole && status < 500:
		s.State.Timed(b.Addr, b.Life, v.kind(), now.Sub(v.sent), now)
	case e != Moved:
		s.State.Failed(b.Addr, b.Life, now)
	}
}

// again gives a visit that a backend answered or lost a new time to wait.
func (s *State) again(v *Visit, now ident.Moment) bool {
	return s.shoot(v, now, now.Add(Patience(v.Rule)))
}

func (s *State) shoot(v *Visit, now, until ident.Moment) bool {
	if v.Told || v.mate != "" || v.Shot >= v.Rule.Shots || !v.Expiry.After(now) || v.Rule.Route != "" && !v.Arrived.Add(v.Rule.Work).After(now) || !s.further(v.Rule.Service) {
		return false
	}
	v.skip[v.Backend.Addr] = true
	v.asked = until.Add(-Patience(v.Rule))
	v.GiveUpAt = until
	s.move(v, Waiting, "further shot")
	s.ask(v, now)
	return true
}

func (s *State) deliver(v *Visit, shot int) {
	if !v.Told {
		v.Told = true
		s.emit(Deliver{v.Visit, shot})
	}
	s.end(v, Answer{Reason: "whole"})
}

func (s *State) Ended(id ident.Visit, shot int, e Ending, status int, now ident.Moment) {
	v := s.visits[id]
	if v == nil || v.Phase != Sent || v.Shot != shot {
		return
	}
	s.Counts["ended "+e.String()]++
	s.timed(v, e, status, now)
	if m := s.other(v); m != nil {
		if e != Whole || status >= 500 || v.gateway(status) {
			m.Unsure = m.Unsure || e != Turned && e != Moved
			s.end(v, Answer{Reason: e.String() + "; the shot beside it goes on"})
			return
		}
		defer s.leave(m, "the shot beside it was answered", now)
	}
	switch e {
	case Whole:
		if len(v.Arrival.Key) > 0 {
			s.emit(Outcome{v, status})
		}
		v.Holds = false
		own := !v.gateway(status)
		if v.Rule.Again && status >= 500 && status < 504 {
			if v.Unsure = true; own {
				v.Kept = v.Shot
			}
			if s.again(v, now) {
				return
			}
		}
		if own {
			s.deliver(v, v.Shot)
			return
		}
		s.failed(v, Answer{Status: 502, Ran: RanUnknown, Reason: "backend answered as a gateway would", Known: uint32(status)})
	case Turned, Moved:
		if e == Moved {
			s.State.Bar(v.Backend.Addr)
			s.emit(Bar{v.Backend.Addr, false})
		}
		kept := v.Kept
		if e == Turned && !v.Unsure {
			v.Kept = v.Shot
		}
		if s.again(v, now) {
			v.Kept = kept
			return
		}
		s.giveUp(v, "turned away by the backend")
	case Canceled:
		s.end(v, Answer{Reason: "canceled"})
	case Late:
		s.end(v, Answer{Status: 504, Ran: RanUnknown, Reason: "no answer in time"})
	case Garbled:
		if v.Unsure = true; v.Rule.Again && s.again(v, now) {
			return
		}
		s.failed(v, Answer{Status: 502, Ran: RanUnknown, Reason: "the backend's answer was garbled"})
	default:
		if v.Unsure = true; v.Rule.Again && s.again(v, now) {
			return
		}
		s.failed(v, Answer{Status: 502, Ran: RanUnknown, Reason: "connection broke after sending"})
	}
}

func (v *Visit) gateway(status int) bool {
	if v.Rule.Route == "" {
		return status >= 502 && status <= 504
	}
	return status == 408 || status == 421 || status == 429 || status == 503
}

func (s *State) failed(v *Visit, a Answer) {
	if v.Kept > 0 {
		s.deliver(v, v.Kept)
		return
	}
	s.end(v, a)
}

func (s *State) Freed(key pass.Key, keep, bar bool, now ident.Moment) {
	if bar {
		s.State.Bar(key.Addr)
		s.emit(Bar{key.Addr, true})
	}
	s.State.Release(key, keep)
	s.passed(now)
}

func (s *State) IdleBroke(key pass.Key, bar bool, now ident.Moment) {
	if bar {
		s.State.Bar(key.Addr)
		s.emit(Bar{key.Addr, true})
	}
	s.State.IdleGone(key)
	s.passed(now)
}

func (s *State) Tick(now ident.Moment) {
	s.State.Tick(now)
	s.passed(now)
	var list []*Visit
	for _, v := range s.visits {
		list = append(list, v)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Visit < list[j].Visit })
	for _, v := range list {
		switch {
		case v.Phase < Sent:
			if !v.GiveUpAt.After(now) || !v.Expiry.After(now) {
				why := "could not be sent in time"
				if v.Phase == Connected {
					why = "no claim in time"
				}
				s.unsent(v, why, v.Phase >= Connected, now)
			}
		case v.Phase == Sent:
			if !v.AnswerBy.After(now) {
				if !v.late {
					s.timed(v, Late, 0, now)
					v.late = true
				}
				s.tell(v, Answer{Status: 504, Ran: RanUnknown, Reason: "no answer in time"})
				s.cancel(v, now)
			}
			s.beside(v, now)
			if !v.Reclaim.After(now) {
				v.Reclaim = now.Add(time.Second)
				s.emit(Cut{v.Visit})
			}
		}
	}
	s.passed(now)
}

func (s *State) Rules(d *desired.State, floors map[ledger.Lot]int, seat, seats int, now ident.Moment) {
	var rules []pass.LaneRule
	for _, n := range d.LaneNames() {
		l := d.Lanes[n]
		rules = append(rules, pass.LaneRule{Lane: n, Service: l.Service, Waiters: l.Waiters, Weight: l.Weight})
	}
	for n := range s.budgets {
		if d.Services[n] == nil {
			delete(s.budgets, n)
		}
	}
	for n, v := range d.Services {
		k := v.FurtherShots / max(1, seats)
		if seat < v.FurtherShots%max(1, seats) {
			k++
		}
		s.Budget(n, k, float64(v.FurtherShare)/1000)
	}
	s.State.Rules(rules, floors)
	s.passed(now)
}

func (s *State) Backends(list []pass.Backend, now ident.Moment) {
	s.State.Backends(list)
	s.passed(now)
}

func (s *State) Flush() []any {
	o := s.out
	s.out = nil
	return o
}
