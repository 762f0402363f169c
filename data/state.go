// Package data is the data process: its reducer over membership, news, admission and requests, and the
// executor that owns the connections of clients and backends.
package data

import (
	"slices"
	"time"

	"sloeturn/desired"
	"sloeturn/duty"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/member"
	"sloeturn/pass"
	"sloeturn/relay"
	"sloeturn/wire"
)

const (
	SeatWait     = 2 * time.Second
	SeatPause    = 300 * time.Millisecond
	OutcomeWait  = 10 * time.Second
	AnnounceWait = time.Second
	DrainGrace   = 2500 * time.Millisecond
	SignOffWait  = 1500 * time.Millisecond
	BarLeast     = time.Second
	BarMost      = 8 * time.Second
	StrikeLife   = 20 * time.Second
	WarmWait     = 6 * time.Second
	WantEvery    = 500 * time.Millisecond
	EagerFor     = 5 * time.Second
	StartFor     = 400 * time.Millisecond
	YoungFor     = 1500 * time.Millisecond
	BackLeast    = 100 * time.Millisecond
	BackSpread   = 250 * time.Millisecond
)

type Boot struct {
	Member      ident.Member
	Addr        ident.Addr
	HTTP        string
	Cell        ident.Cell
	Incarnation ident.Incarnation
	Seeds       []ident.Addr
	Build       string
	Decisions   int
	LeaseFor    time.Duration
	Stale       time.Duration
}

type State struct {
	Boot
	*forward.State
	Pass    *pass.State
	Members *member.State
	Relay   *relay.State
	Mail    *relay.Courier

	seat      *wire.Seat
	asking    bool
	seatAt    ident.Moment
	bars      map[ident.Addr]bar
	strikes   map[ident.Addr]strike
	guards    map[ident.Addr]*guard
	lives     map[ident.Addr]string
	forwards  map[uint64]forwarded
	unwritten map[ident.RequestID]bool // delivered answers that are still being written
	tokens    ident.Tokens
	// StrayAnswers counts answers to no request under way, or from a process that was not asked.
	StrayAnswers uint64
	rev          uint64
	fresh        fresh
	adopted      ident.Generation
	ready        bool
	wanted       map[ident.Service]float64
	wants        []*wire.Want
	wantAt       ident.Moment
	turn         uint64
	floor        map[ledger.Lot]int
	trial        *desired.State
	trialID      string

	adoptedTrial string
	warm         bool
	warmAt       ident.Moment
	draining     bool
	drainAt      ident.Moment
	signedOff    bool
	signedAt     ident.Moment
	freeing      bool
	gone         bool
	born         ident.Moment
	oldNews      map[ident.Cell]time.Duration
	out          []any
	now          ident.Moment
}

func New(b Boot, now ident.Moment) *State {
	s := &State{Boot: b, bars: map[ident.Addr]bar{}, strikes: map[ident.Addr]strike{}, guards: map[ident.Addr]*guard{}, lives: map[ident.Addr]string{}, forwards: map[uint64]forwarded{}, unwritten: map[ident.RequestID]bool{}, tokens: ident.NewTokens(b.Incarnation), wanted: map[ident.Service]float64{}, oldNews: map[ident.Cell]time.Duration{}, born: now}
	s.Pass = pass.New()
	s.Pass.Salt = string(b.Member)
	s.State = forward.New(s.Pass, s.gate)
	s.Back = func(visit string) time.Duration { return s.back(visit, s.now) }
	s.Members = member.New(&wire.Card{Id: string(b.Member), Addr: string(b.Addr), Cell: string(b.Cell), Role: member.Data, Incarnation: uint64(b.Incarnation), Http: b.HTTP, Build: b.Build, Heeds: true}, b.Seeds, now)
	s.Relay = relay.New(b.Member, b.Incarnation, false)
	s.Relay.Terms(b.LeaseFor, b.Stale)
	s.Mail = relay.NewCourier(b.Incarnation)
	return s
}

func (s *State) heads() []string { return s.Members.Heads() }

// Open is how many requests have not ended: those under way, and those whose answer is still being
// written to a client.
func (s *State) Open() int { return s.State.Open() + len(s.unwritten) }

func (s *State) Draining() bool { return s.draining }
func (s *State) Seat() int {
	if s.seat == nil {
		return -1
	}
	return int(s.seat.Seat)
}

func (s *State) Step(now ident.Moment, e any) {
	s.now = now
	s.Relay.Woke(now)
	switch e := e.(type) {
	case Got:
		s.got(e.Frame, now)
	case Tick:
		s.tick(now)
	case Arrive:
		s.Arrive(e.Arrival, now)
	case Connected:
		if !s.Connected(e.Request, e.Attempt, now) {
			s.out = append(s.out, forward.Drop{Request: e.Request})
		}
	case ConnectFailed:
		s.ConnectFailed(e.Request, e.Attempt, e.Key, e.Bar, now)
	case NotWritten:
		s.NotWritten(e.Request, e.Attempt, e.Why, now)
	case Ended:
		s.Ended(e.Request, e.Attempt, e.Ending, e.Status, now)
	case Freed:
		s.Freed(e.Key, e.Keep, e.Bar, now)
	case IdleBroke:
		s.IdleBroke(e.Key, e.Bar, now)
	case ClientLeft:
		s.ClientLeft(e.Request, now)
	case Written:
		delete(s.unwritten, e.Request)
	case GuardMade:
		if g := s.guards[e.Addr]; g != nil && g.life == e.Life && !g.ended {
			if g.made, g.up = now, e.Named; g.up {
				s.decide(duty.Decision{Decision: "proven", Backend: string(e.Addr), Note: "its answer named the service"})
			}
			s.rev = 0
			s.refresh(now)
		}
	case GuardSound:
		if g := s.guards[e.Addr]; g != nil && g.up && g.life == e.Life && s.bars[e.Addr].ask {
			delete(s.bars, e.Addr)
			s.rev = 0
			s.refresh(now)
		}
	case GuardLost:
		s.guardLost(e, now)
	case Announce:
		s.announce(e.Token, e.Announce, now)
	case Drain:
		s.drain(now)
	case Query:
		e.Do(s, now)
	}
	s.obey(now)
}

func (s *State) got(f *wire.Frame, now ident.Moment) {
	s.Relay.Met(f.Addr, f.Incarnation)
	switch b := f.Body.(type) {
	case *wire.Frame_Heartbeat:
		s.Members.Heartbeat(b.Heartbeat, f.From, f.Addr, now)
	case *wire.Frame_Table:
		s.Members.Table(b.Table, f.Addr, now)
	case *wire.Frame_Ask:
		s.Relay.Heard(b.Ask)
		s.send(f.Addr, &wire.Frame{Body: &wire.Frame_News{News: s.Relay.Answer(b.Ask, now)}})
	case *wire.Frame_News:
		s.Relay.News(b.News, f.Addr, now)
		s.refresh(now)
	case *wire.Frame_ProposeReply:
		if tag, ok := s.Mail.Reply(b.ProposeReply, now); ok {
			s.replied(tag, b.ProposeReply, now)
		}
	case *wire.Frame_AnnounceReply:
		s.forwardAnswered(f, b.AnnounceReply)
	}
}

type (
	seatTag  struct{}
	freeTag  struct{}
	claimTag struct{ visit ident.RequestID }
	otherTag struct{}
)

func (s *State) replied(tag any, r *wire.ProposeReply, now ident.Moment) {
	switch t := tag.(type) {
	case seatTag:
		s.asking = false
		s.Relay.Hasten()
	case claimTag:
		s.Claimed(t.visit, ledger.Code(r.Code), r.Status, now)
	case freeTag:
		s.gone = true
	}
}

func (s *State) send(to string, f *wire.Frame) {
	s.out = append(s.out, wire.Send{To: to, Frame: f})
}

func (s *State) tick(now ident.Moment) {
	heads := s.heads()
	s.unbar(now)
	s.Mail.Hint(s.Relay.Core.GetLeaderAddr())
	for _, tag := range s.Mail.Tick(heads, now) {
		switch t := tag.(type) {
		case seatTag:
			s.asking = false
		case claimTag:
			s.Claimed(t.visit, ledger.Lost, 0, now)
		case freeTag:
			s.freeing = false
		}
	}
	s.expireForwards(now)
	targets := heads
	if len(targets) == 0 || !s.Relay.CoreKnown {
		for _, a := range s.Seeds {
			if !slices.Contains(targets, string(a)) {
				targets = append(targets, string(a))
			}
		}
	}
	s.Relay.Eager = s.Eager(now)
	s.Relay.Tick(s.Members.Ring(), s.Members.Key(), targets, now)
	s.refresh(now)
	s.watchNews(now)
	s.takeSeat(heads, now)
	s.restore(heads, now)
	s.State.Tick(now)
	s.finish(heads, now)
	if s.Relay.Desired != nil {
		s.want(now)
	}
	s.warmUp(now)
	ready := s.Why(now) == ""
	if ready != s.ready {
		s.ready = ready
		s.out = append(s.out, Note{map[bool]string{true: "Ready.", false: "Not ready: " + s.Why(now) + "."}[ready]})
	}
	s.Members.Say(s.ready, s.draining, now)
	s.Members.Tick(now)
}

type fresh struct {
	core, off bool
	seat      int
	cells     uint64
}

func (s *State) freshKey(now ident.Moment) fresh {
	f := fresh{s.Relay.CoreFresh(now), s.signedOff, s.Seat(), 0}
	for c := range s.Relay.Cells {
		if s.Relay.CellFresh(c, now) {
			f.cells += ident.Hash(string(c))
		}
	}
	return f
}

func (s *State) decide(d duty.Decision) {
	d.Generation = uint64(s.Relay.DocGen)
	s.out = append(s.out, d)
}

func (s *State) tried() {
	t := s.Relay.Core.GetTrial()
	if t == nil || !slices.Contains(t.Only, string(s.Member)) {
		s.trial, s.trialID = nil, ""
		return
	}
	if s.trialID != t.ChangeId {
		s.trialID = t.ChangeId
		s.trial, _ = desired.Read(t.Doc)
	}
}

func (s *State) Desired() *desired.State {
	if s.trial != nil {
		return s.trial
	}
	return s.Relay.Desired
}

func (s *State) Trial() string {
	if s.trial == nil {
		return ""
	}
	return s.trialID
}

func (s *State) refresh(now ident.Moment) {
	if !s.Relay.CoreKnown {
		return
	}
	s.prove(now)
	rev, fresh := s.Relay.Revision(), s.freshKey(now)
	if rev == s.rev && fresh == s.fresh {
		s.confirm()
		return
	}
	s.rev, s.fresh = rev, fresh
	s.takeSeatLine()
	s.tried()
	if d := s.Desired(); d != nil {
		floors := s.floors()
		s.fences(floors)
		s.Rules(d, floors, s.Seat(), int(s.Relay.Core.SeatCount), now)
		if s.adopted != s.Relay.DocGen || s.adoptedTrial != s.Trial() {
			s.adopted, s.adoptedTrial = s.Relay.DocGen, s.Trial()
			s.out = append(s.out, Adopt{s.adopted, d, s.Trial()})
		}
	}
	s.rebuild(now)
	s.confirm()
}

func (s *State) obey(now ident.Moment) {
	heads := s.heads()
	for _, e := range s.State.Flush() {
		switch e := e.(type) {
		case forward.Claim:
			v := e.Request
			v.ClaimPost = s.Mail.Post(&wire.Change{Body: &wire.Change_Claim{Claim: &wire.Claim{Key: v.Arrival.Key, Visit: string(v.ID), Body: v.Body}}}, v.GiveUpAt, claimTag{v.ID}, heads, now)
		case forward.Release:
			s.Mail.Drop(e.Request.ClaimPost)
			s.Mail.Post(&wire.Change{Body: &wire.Change_Release{Release: &wire.Release{Key: e.Request.Arrival.Key, Visit: string(e.Request.ID)}}}, now.Add(OutcomeWait), otherTag{}, heads, now)
		case forward.Outcome:
			s.Mail.Post(&wire.Change{Body: &wire.Change_Outcome{Outcome: &wire.Outcome{Key: e.Request.Arrival.Key, Visit: string(e.Request.ID), Status: uint32(e.Status)}}}, now.Add(OutcomeWait), otherTag{}, heads, now)
		case forward.Bar:
			if e.Ask && s.namedAt(e.Addr) {
				if _, barred := s.bars[e.Addr]; !barred {
					s.Pass.Unbar(e.Addr)
				}
				continue
			}
			s.bar(e.Addr, e.Ask)
			s.rev = 0
		case forward.Deliver:
			s.unwritten[e.Request] = true
			s.out = append(s.out, e)
		default:
			s.out = append(s.out, e)
		}
	}
	for _, e := range s.Members.Flush() {
		s.out = append(s.out, e)
	}
	for _, e := range s.Relay.Flush() {
		s.out = append(s.out, e)
	}
	for _, e := range s.Mail.Flush() {
		s.out = append(s.out, e)
	}
}

func (s *State) Take() []any {
	o := s.out
	s.out = nil
	return o
}
