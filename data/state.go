package data

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"sloeturn/cell"
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

type (
	Got    struct{ Frame *wire.Frame }
	Tick   struct{}
	Arrive struct{ forward.Arrival }
	Linked struct {
		Visit ident.Visit
		Shot  int
	}
	LinkFailed struct {
		Visit ident.Visit
		Shot  int
		Key   pass.Key
		Bar   bool
	}
	NotWritten struct {
		Visit ident.Visit
		Shot  int
		Why   string
	}
	Ended struct {
		Visit  ident.Visit
		Shot   int
		Ending forward.Ending
		Status int
	}
	Freed struct {
		Key  pass.Key
		Keep bool
		Bar  bool
	}
	IdleBroke struct {
		Key pass.Key
		Bar bool
	}
	Gone      struct{ Visit ident.Visit }
	GuardMade struct {
		Addr  ident.Addr
		Life  string
		Named bool
	}
	GuardSound struct {
		Addr ident.Addr
		Life string
	}
	GuardLost struct {
		Addr ident.Addr
		Life string
		Why  string
	}
	Announce struct {
		Token    uint64
		Announce *wire.Announce
	}
	Drain struct{}
	Query struct {
		Do func(s *State, now ident.Moment)
	}
)

type (
	Guard struct {
		Addr    ident.Addr
		Service ident.Service
		Life    string
		Probe   desired.Probe
	}
	GuardEnd struct {
		Addr ident.Addr
		Life string
	}
	GuardAsk struct {
		Addr ident.Addr
		Life string
	}
	Shed      struct{ Lives map[ident.Addr]string }
	Announced struct {
		Token uint64
		Code  uint32
		Text  string
	}
	Adopt struct {
		Generation ident.Generation
		Desired    *desired.State
		Trial      string
	}
	Exit struct{}
	Note struct{ Text string }
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

type guard struct {
	life  string
	up    bool
	ended bool
	made  ident.Moment
	epoch ident.Epoch
	need  uint64
}

type bar struct {
	life    string
	service string
	beat    uint64
	epoch   ident.Epoch
	cell    ident.Cell
	ask     bool
	until   ident.Moment
}

type strike struct {
	life string
	n    int
	at   ident.Moment
}

type pending struct {
	at   ident.Moment
	what *wire.Announce
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
	announces map[uint64]pending
	rev       uint64
	fresh     fresh
	adopted   ident.Generation
	ready     bool
	wanted    map[ident.Service]float64
	wants     []*wire.Want
	wantAt    ident.Moment
	turn      uint64
	floor     map[ledger.Lot]int
	trial     *desired.State
	trialID   string

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
	out          []any
	now          ident.Moment
}

func New(b Boot, now ident.Moment) *State {
	s := &State{Boot: b, bars: map[ident.Addr]bar{}, strikes: map[ident.Addr]strike{}, guards: map[ident.Addr]*guard{}, lives: map[ident.Addr]string{}, announces: map[uint64]pending{}, wanted: map[ident.Service]float64{}, born: now}
	s.Pass = pass.New()
	s.Pass.Salt = string(b.Member)
	s.State = forward.New(s.Pass, s.gate)
	s.Back = func(visit string) time.Duration { return s.back(visit, s.now) }
	s.Members = member.New(&wire.Card{Id: string(b.Member), Addr: string(b.Addr), Cell: string(b.Cell), Role: member.Data, Incarnation: uint64(b.Incarnation), Http: b.HTTP, Build: b.Build, Heeds: true}, b.Seeds, now)
	s.Relay = relay.New(b.Member, false)
	s.Relay.Life = b.Incarnation
	s.Relay.Terms(b.LeaseFor, b.Stale)
	s.Mail = relay.NewCourier(uint64(b.Incarnation))
	return s
}

func (s *State) heads() []string { return s.Members.Heads() }

func (s *State) Ready() bool    { return s.ready }
func (s *State) Draining() bool { return s.draining }
func (s *State) Seat() int {
	if s.seat == nil {
		return -1
	}
	return int(s.seat.Seat)
}

func (s *State) Unready(now ident.Moment) string {
	switch {
	case s.draining:
		return "draining"
	case !s.Relay.CoreKnown:
		return "no desired state read yet"
	case !s.Relay.CoreFresh(now) && s.Relay.Revoked() != nil:
		return "seat's lease revoked"
	case !s.Relay.CoreFresh(now):
		return "desired state stale"
	case s.Relay.DocGen == 0:
		return "no desired state set"
	case s.Relay.Desired == nil:
		return "desired state unreadable"
	case s.seat == nil:
		return "no seat"
	case !ledger.Counts(s.Relay.Core, s.seat):
		return "seat beyond the fleet's size"
	}
	for c := range s.Relay.Cells {
		if s.Relay.CellFresh(c, now) {
			return ""
		}
	}
	if len(s.Relay.Cells) > 0 {
		return "all cells' news stale"
	}
	if len(s.Relay.Core.Holds) > 0 {
		return "no cell's news read yet"
	}
	return ""
}

func (s *State) back(visit string, now ident.Moment) time.Duration {
	if why := s.Unready(now); now.Sub(s.born) > YoungFor && (why == "" || why == "draining") {
		return 0
	}
	return ComeBack(visit, now.Sub(s.born))
}

func ComeBack(visit string, age time.Duration) time.Duration {
	return max(BackLeast, StartFor-age) + time.Duration(ident.Hash(visit)%uint64(BackSpread))
}

func (s *State) Eager(now ident.Moment) bool {
	return now.Sub(s.born) < EagerFor && !s.draining && !s.whole(now)
}

func (s *State) whole(now ident.Moment) bool {
	for _, h := range s.Relay.Core.GetHolds() {
		if !s.Relay.CellFresh(ident.Cell(h.Cell), now) {
			return false
		}
	}
	return s.ready
}

func (s *State) Why(now ident.Moment) string {
	if why := s.Unready(now); why != "" {
		return why
	}
	if !s.Relay.InTouch(now) {
		return "out of touch; serves on old news"
	}
	if s.warm {
		return ""
	}
	return "no backend proven yet"
}

func (s *State) warmUp(now ident.Moment) {
	if s.warm || s.Unready(now) != "" {
		return
	}
	if s.warmAt == 0 {
		s.warmAt = now
	}
	known, up := map[string]bool{}, map[string]bool{}
	for c, k := range s.Relay.Cells {
		for a, b := range k.Table {
			if g := s.guards[a]; b.State == cell.Ready && s.Relay.CellFresh(c, now) && s.Desired().Services[ident.Service(b.Service)] != nil {
				known[b.Service] = true
				up[b.Service] = up[b.Service] || g != nil && g.up || s.named(ident.Service(b.Service))
			}
		}
	}
	s.warm = now.Sub(s.warmAt) > WarmWait
	for n := range known {
		if !up[n] {
			return
		}
	}
	s.warm = true
}

func (s *State) gate(v *forward.Visit, now ident.Moment) (ident.Moment, string) {
	if s.signedOff {
		return 0, "signed off"
	}
	if s.draining && v.Phase == forward.Waiting && now.Sub(s.drainAt) > DrainGrace {
		return 0, "draining"
	}
	if why := s.Unready(now); why != "" && why != "draining" {
		return 0, why
	}
	if !s.Relay.CoreFresh(now) || s.seat == nil {
		return 0, "no lease"
	}
	l := s.Desired().Lanes[v.Lane]
	if l == nil || l.Service != v.Rule.Service || l.Tenant != v.Rule.Tenant {
		return 0, "lane changed"
	}
	at := s.Relay.Leased.Add(s.Relay.Stale)
	if v.Phase < forward.Admitted {
		return at, ""
	}
	k := s.Relay.Cells[v.Backend.Cell]
	if k == nil || !s.Relay.CellFresh(v.Backend.Cell, now) {
		return 0, "cell news stale"
	}
	b := k.Table[v.Backend.Addr]
	if b == nil || b.State != cell.Ready || b.Incarnation != v.Backend.Life || b.Service != string(v.Rule.Service) {
		return 0, "backend gone"
	}
	if s.doubled(v.Backend.Addr, k.Cell, now) {
		return 0, "backend named by two cells"
	}
	g := s.guards[v.Backend.Addr]
	if _, barred := s.bars[v.Backend.Addr]; barred || !s.named(v.Rule.Service) && (g == nil || !g.up || g.life != v.Backend.Life) {
		return 0, "backend unsound"
	}
	return min(at, k.AsOf.Add(s.Relay.CellStale())), ""
}

func (s *State) named(n ident.Service) bool {
	v := s.Desired().Services[n]
	return v != nil && v.Named
}

func (s *State) doubled(a ident.Addr, not ident.Cell, now ident.Moment) bool {
	for c, k := range s.Relay.Cells {
		if c != not && k.Table[a] != nil && s.Relay.CellFresh(c, now) {
			return true
		}
	}
	return false
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
	case Linked:
		if !s.Linked(e.Visit, e.Shot, now) {
			s.out = append(s.out, forward.Drop{Visit: e.Visit})
		}
	case LinkFailed:
		s.LinkFailed(e.Visit, e.Shot, e.Key, e.Bar, now)
	case NotWritten:
		s.NotWritten(e.Visit, e.Shot, e.Why, now)
	case Ended:
		s.Ended(e.Visit, e.Shot, e.Ending, e.Status, now)
	case Freed:
		s.Freed(e.Key, e.Keep, e.Bar, now)
	case IdleBroke:
		s.IdleBroke(e.Key, e.Bar, now)
	case Gone:
		s.Gone(e.Visit, now)
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
		if tag, ok := s.Mail.Reply(b.ProposeReply, s.heads(), now); ok {
			s.replied(tag, b.ProposeReply, now)
		}
	case *wire.Frame_AnnounceReply:
		r := b.AnnounceReply
		if _, ok := s.announces[r.Token]; ok {
			delete(s.announces, r.Token)
			s.out = append(s.out, Announced{r.Token, r.Code, r.Text})
		}
	}
}

type (
	seatTag  struct{}
	freeTag  struct{}
	claimTag struct{ visit ident.Visit }
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

func (s *State) announce(token uint64, a *wire.Announce, now ident.Moment) {
	a.Token = token
	if a.State == cell.Ready && s.Relay.Dazed(now) {
		s.out = append(s.out, Announced{token, 503, "this node stood still just now; the beat may be an old one"})
		return
	}
	for _, h := range s.Relay.Core.GetHolds() {
		if h.Cell == a.Cell {
			if c := s.Members.Card(ident.Member(h.Holder)); c != nil {
				s.announces[token] = pending{at: now, what: a}
				s.send(c.Addr, &wire.Frame{Body: &wire.Frame_Announce{Announce: a}})
				return
			}
		}
	}
	s.out = append(s.out, Announced{token, 503, "no holder is known for cell " + a.Cell})
}

func (s *State) drain(now ident.Moment) {
	if s.draining {
		return
	}
	s.draining = true
	s.drainAt = now
	s.out = append(s.out, Note{"Draining."})
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
	for _, t := range ident.Keys(s.announces) {
		a := s.announces[t]
		if now.Sub(a.at) > AnnounceWait {
			delete(s.announces, t)
			s.out = append(s.out, Announced{t, 503, "the cell's holder did not answer"})
		}
	}
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

func (s *State) takeSeat(heads []string, now ident.Moment) {
	s.takeSeatLine()
	if s.seat != nil || s.asking || s.seatAt != 0 && now.Sub(s.seatAt) < SeatPause || s.draining || !s.Relay.CoreFresh(now) || s.Relay.Core.SeatCount == 0 {
		return
	}
	s.asking, s.seatAt = true, now
	basis := uint64(0)
	for _, v := range s.Relay.Core.Seats {
		if v.Addr == string(s.Addr) {
			basis = v.Incarnation
		}
	}
	s.Mail.Post(&wire.Change{Body: &wire.Change_SeatTake{SeatTake: &wire.SeatTake{Member: string(s.Member), Addr: string(s.Addr), Incarnation: uint64(s.Incarnation), Basis: basis, Heeds: true}}}, now.Add(SeatWait), seatTag{}, heads, now)
}

// restore asks for the lease of this node's seat once it is heard to be revoked and the news is fresh.
func (s *State) restore(heads []string, now ident.Moment) {
	r := s.Relay.Revoked()
	if r == nil || s.seat == nil || s.asking || s.seatAt != 0 && now.Sub(s.seatAt) < SeatPause || s.signedOff || now.Sub(s.Relay.CoreAsOf) > relay.PoorAge {
		return
	}
	s.asking, s.seatAt = true, now
	s.Mail.Post(&wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{Heeds: true, Seats: []*wire.SeatMark{{Seat: r.Seat, Member: r.Member, Incarnation: r.Incarnation, Kind: ledger.Restore, Version: r.Version}}}}}, now.Add(SeatWait), seatTag{}, heads, now)
}

func (s *State) floors() map[ledger.Lot]int {
	out := map[ledger.Lot]int{}
	if s.seat == nil || s.signedOff || s.Relay.Desired == nil || !ledger.Counts(s.Relay.Core, s.seat) {
		return out
	}
	for _, f := range s.Relay.Core.Floors {
		out[ledger.Lot{Lane: ident.Lane(f.Lane), Service: ident.Service(f.Service)}] = int(f.Slots)
	}
	if s.trial != nil {
		slots := ledger.Slots(s.trial)
		for k, n := range out {
			out[k] = min(n, slots[k])
		}
	}
	return out
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

func (s *State) fences(floors map[ledger.Lot]int) {
	for k, n := range floors {
		if s.floor[k] != n {
			s.decide(duty.Decision{Decision: "fence", Lane: string(k.Lane), Service: string(k.Service), From: strconv.Itoa(s.floor[k]), To: strconv.Itoa(n)})
		}
	}
	for k, n := range s.floor {
		if _, ok := floors[k]; !ok {
			s.decide(duty.Decision{Decision: "fence", Lane: string(k.Lane), Service: string(k.Service), From: strconv.Itoa(n), To: "0"})
		}
	}
	s.floor = floors
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

func (s *State) prove(now ident.Moment) {
	for a, g := range s.guards {
		if g.up || g.ended || g.made == 0 {
			continue
		}
		for c, k := range s.Relay.Cells {
			b := k.Table[a]
			if b == nil || b.Incarnation != g.life || !s.Relay.CellFresh(c, now) {
				continue
			}
			if g.need == 0 || g.epoch != k.Epoch {
				g.need = 0
				if !k.AsOf.Before(g.made) {
					g.epoch, g.need = k.Epoch, k.Pulse+1
				}
				continue
			}
			if b.Pulse >= g.need {
				g.up = true
				s.rev = 0
				s.decide(duty.Decision{Decision: "proven", Backend: string(a), Service: b.Service, Cell: string(c), Note: "a beat sent after the guard"})
			}
		}
	}
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

func (s *State) takeSeatLine() {
	s.seat = nil
	for _, v := range s.Relay.Core.GetSeats() {
		if v.Addr == string(s.Addr) && v.Incarnation == uint64(s.Incarnation) && v.Member == string(s.Member) {
			s.seat = v
		}
	}
}

func (s *State) confirm() {
	staged, shrunk := uint64(s.Relay.DocGen), uint64(0)
	if s.Relay.Core.Generation == staged && s.Pass.Within() {
		shrunk = staged
	}
	restores := s.Relay.Revoked().GetVersion()
	old := s.Relay.ConfirmOf(string(s.Member))
	if old != nil && old.Incarnation == uint64(s.Incarnation) && old.Staged >= staged && old.Shrunk >= shrunk && old.Restores >= restores && old.Turn == s.turn {
		return
	}
	s.Relay.Confirm(&wire.Confirm{Member: string(s.Member), Incarnation: uint64(s.Incarnation), Staged: staged, Shrunk: shrunk, Turn: s.turn, Wants: s.wants, Restores: restores})
}

func (s *State) want(now ident.Moment) {
	if now.Sub(s.wantAt) < WantEvery {
		return
	}
	s.wantAt = now
	var wants []*wire.Want
	for _, v := range s.Desired().ServiceNames() {
		w := 0.7*s.wanted[v] + 0.3*s.Pass.Wanted(v)
		s.wanted[v] = w
		if k := uint32(4 * w); k > 0 {
			wants = append(wants, &wire.Want{Service: string(v), Slots: k})
		}
	}
	same := func(a, b *wire.Want) bool { return a.Service == b.Service && a.Slots == b.Slots }
	if !slices.EqualFunc(wants, s.wants, same) {
		s.turn++
		s.wants = wants
	}
	s.confirm()
}

type entry struct {
	*wire.Backend
	cell *cell.Copy
}

func (s *State) rebuild(now ident.Moment) {
	seen := map[ident.Addr][]entry{}
	for c, k := range s.Relay.Cells {
		if !s.Relay.CellFresh(c, now) {
			continue
		}
		for a, b := range k.Table {
			seen[a] = append(seen[a], entry{b, k})
		}
	}
	addrs := make([]ident.Addr, 0, len(seen))
	for a := range seen {
		addrs = append(addrs, a)
	}
	sort.Slice(addrs, func(i, j int) bool { return addrs[i] < addrs[j] })
	lives := map[ident.Addr]string{}
	groups, lines := map[string][]cell.Share{}, map[string][]cell.Share{}
	var list []pass.Backend
	for _, a := range addrs {
		if len(seen[a]) != 1 {
			continue
		}
		e := seen[a][0]
		lives[a] = e.Incarnation
		if b, ok := s.bars[a]; ok && (b.cell != e.cell.Cell || b.life != e.Incarnation || b.service != e.Service || e.cell.Epoch > b.epoch && e.Beat > 0 || e.cell.Epoch == b.epoch && e.Beat > b.beat) {
			delete(s.bars, a)
		}
		if s.Desired() == nil || s.Desired().Services[ident.Service(e.Service)] == nil || e.State != cell.Ready {
			continue
		}
		g := s.guards[a]
		_, barred := s.bars[a]
		list = append(list, pass.Backend{Addr: a, Service: ident.Service(e.Service), Life: e.Incarnation, Cell: e.cell.Cell, Slots: int(e.Slots), Near: e.cell.Cell == s.Cell, Barred: barred || !s.named(ident.Service(e.Service)) && (g == nil || !g.up || g.life != e.Incarnation)})
		key := string(e.cell.Cell) + " " + e.Service
		work := int(min(e.Work, cell.SlotLimit))
		groups[key] = append(groups[key], cell.Share{Addr: a, Work: work})
		if n := s.Desired().Services[ident.Service(e.Service)].Line; n > 0 {
			lines[key] = append(lines[key], cell.Share{Addr: a, Work: min(n*work, cell.SlotLimit)})
		}
	}
	shares, places := map[ident.Addr]int{}, map[ident.Addr]int{}
	totals := map[ident.Service]int{}
	for key, g := range groups {
		c, v, _ := strings.Cut(key, " ")
		k := s.Relay.Cells[ident.Cell(c)]
		wants, only := k.For(v)
		for a, n := range cell.Deal(g, k.Nodes, wants, only, string(s.Member), ident.Hash(key)) {
			shares[a] = n
			totals[ident.Service(v)] += n
		}
		for a, n := range cell.Deal(lines[key], k.Nodes, nil, false, string(s.Member), ident.Hash(key, "line")) {
			places[a] = n
			totals[ident.Service(v)] += n
		}
	}
	spare := map[ident.Service]uint64{}
	for i := range list {
		list[i].Share, list[i].Line = shares[list[i].Addr], places[list[i].Addr]
	}
	for i := range list {
		b := &list[i]
		if h := ident.Hash(string(s.Member), string(b.Addr)); totals[b.Service] == 0 && h > spare[b.Service] {
			spare[b.Service] = h
		}
	}
	for i := range list {
		if b := &list[i]; totals[b.Service] == 0 && ident.Hash(string(s.Member), string(b.Addr)) == spare[b.Service] {
			b.Share = 1
		}
	}
	for a, life := range s.lives {
		if lives[a] != life {
			s.out = append(s.out, Shed{lives})
			break
		}
	}
	s.lives = lives
	s.guard(list, now)
	s.Backends(list, now)
}

func (s *State) guard(list []pass.Backend, now ident.Moment) {
	want := map[ident.Addr]pass.Backend{}
	if !s.signedOff && s.seat != nil && s.Relay.CoreFresh(now) {
		for _, b := range list {
			if !s.named(b.Service) {
				want[b.Addr] = b
			}
		}
	}
	for _, a := range ident.Keys(s.guards) {
		g := s.guards[a]
		if b, ok := want[a]; (!ok || b.Life != g.life) && !g.ended {
			g.ended, g.up = true, false
			s.out = append(s.out, GuardEnd{a, g.life})
		}
	}
	for _, b := range list {
		if _, ok := want[b.Addr]; !ok || s.guards[b.Addr] != nil {
			continue
		}
		if _, barred := s.bars[b.Addr]; barred {
			continue
		}
		if !s.Pass.Hold(pass.Key{Lane: pass.ProbeLane, Addr: b.Addr}, b.Service) {
			continue
		}
		s.guards[b.Addr] = &guard{life: b.Life}
		s.out = append(s.out, Guard{b.Addr, b.Service, b.Life, s.Desired().Services[b.Service].Probe})
	}
}

func (s *State) guardLost(e GuardLost, now ident.Moment) {
	g := s.guards[e.Addr]
	if g == nil || g.life != e.Life {
		return
	}
	delete(s.guards, e.Addr)
	s.Pass.Unhold(pass.Key{Lane: pass.ProbeLane, Addr: e.Addr})
	if !g.ended {
		s.bar(e.Addr, false)
		s.Pass.Bar(e.Addr)
		s.decide(duty.Decision{Decision: "unsound", Backend: string(e.Addr), Note: e.Why})
		s.out = append(s.out, Note{"Backend " + string(e.Addr) + " is unsound: " + e.Why + "."})
	}
	s.rev = 0
	s.refresh(now)
}

func (s *State) namedAt(a ident.Addr) bool {
	b := s.Pass.Backend(a)
	return b != nil && s.named(b.Service)
}

func (s *State) strike(a ident.Addr) ident.Moment {
	b := s.Pass.Backend(a)
	if b == nil || !s.named(b.Service) {
		return 0
	}
	k := s.strikes[a]
	if k.life != b.Life || s.now.Sub(k.at) > StrikeLife {
		k = strike{life: b.Life}
	}
	wait := min(BarLeast<<min(k.n, 8), BarMost)
	k.n, k.at = k.n+1, s.now
	s.strikes[a] = k
	return s.now.Add(wait)
}

func (s *State) unbar(now ident.Moment) {
	for a, b := range s.bars {
		if b.until != 0 && !b.until.After(now) {
			delete(s.bars, a)
			s.rev = 0
		}
	}
	for a, k := range s.strikes {
		if now.Sub(k.at) > StrikeLife {
			delete(s.strikes, a)
		}
	}
}

func (s *State) bar(a ident.Addr, ask bool) {
	if old, ok := s.bars[a]; ok && !old.ask {
		ask = false
	}
	until := s.strike(a)
	for c, k := range s.Relay.Cells {
		if b := k.Table[a]; b != nil {
			s.bars[a] = bar{life: b.Incarnation, service: b.Service, beat: b.Beat, epoch: k.Epoch, cell: c, ask: ask, until: until}
		}
	}
	if g := s.guards[a]; ask && g != nil && g.up {
		s.out = append(s.out, GuardAsk{a, g.life})
	}
}

func (s *State) finish(heads []string, now ident.Moment) {
	if !s.draining {
		return
	}
	if s.Open() == 0 && now.Sub(s.drainAt) > DrainGrace && !s.signedOff {
		s.signedOff, s.signedAt = true, now
		s.rev = 0
		s.out = append(s.out, Shed{map[ident.Addr]string{}}, Note{"All visits have ended."})
		s.refresh(now)
	}
	if s.signedOff && !s.gone && !s.freeing && s.Pass.Held() == 0 {
		if s.seat == nil {
			s.gone = true
		} else {
			s.freeing = true
			s.Mail.Post(&wire.Change{Body: &wire.Change_SeatFree{SeatFree: &wire.SeatFree{Seat: s.seat.Seat, Member: s.seat.Member, Incarnation: s.seat.Incarnation, Reason: "sign-off"}}}, now.Add(SeatWait), freeTag{}, heads, now)
		}
	}
	if s.signedOff && !s.gone && s.Pass.Held() == 0 && now.Sub(s.signedAt) > SignOffWait {
		s.gone = true
		s.out = append(s.out, Note{"Nobody heard the sign-off; the seat stays with this address."})
	}
	if s.gone {
		s.Members.Leave(now)
		s.out = append(s.out, Note{"Signed off."}, Exit{})
	}
}

func (s *State) obey(now ident.Moment) {
	heads := s.heads()
	for _, e := range s.State.Flush() {
		switch e := e.(type) {
		case forward.Claim:
			v := e.Visit
			v.Post = s.Mail.Post(&wire.Change{Body: &wire.Change_Claim{Claim: &wire.Claim{Key: v.Arrival.Key, Visit: string(v.Visit), Body: v.Body}}}, v.GiveUpAt, claimTag{v.Visit}, heads, now)
		case forward.Release:
			s.Mail.Drop(e.Visit.Post)
			s.Mail.Post(&wire.Change{Body: &wire.Change_Release{Release: &wire.Release{Key: e.Visit.Arrival.Key, Visit: string(e.Visit.Visit)}}}, now.Add(OutcomeWait), otherTag{}, heads, now)
		case forward.Outcome:
			s.Mail.Post(&wire.Change{Body: &wire.Change_Outcome{Outcome: &wire.Outcome{Key: e.Visit.Arrival.Key, Visit: string(e.Visit.Visit), Status: uint32(e.Status)}}}, now.Add(OutcomeWait), otherTag{}, heads, now)
		case forward.Bar:
			if e.Ask && s.namedAt(e.Addr) {
				if _, barred := s.bars[e.Addr]; !barred {
					s.Pass.Unbar(e.Addr)
				}
				continue
			}
			s.bar(e.Addr, e.Ask)
			s.rev = 0
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
