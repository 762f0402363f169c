// Package control is the control process: its reducer over agreement, ledger, members and cells, and the
// executor that owns sockets, disk and clock.
package control

import (
	"fmt"
	"sort"
	"time"

	"sloeturn/agreement"
	"sloeturn/cell"
	"sloeturn/duty"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/member"
	"sloeturn/relay"
	"sloeturn/wire"
)

const (
	HoldEvery    = time.Second
	HomeStable   = 4 * time.Second
	MarkEvery    = 300 * time.Millisecond
	ForceSlack   = 100 * time.Millisecond
	DealEvery    = time.Second
	CedeEvery    = 300 * time.Millisecond
	CedeGrace    = 1500 * time.Millisecond
	QuorumWait   = 8 * time.Second
	HeldMost     = 600 * time.Millisecond
	HeirWait     = 600 * time.Millisecond
	DeafWait     = 4 * time.Second
	UnseenWait   = 600 * time.Millisecond
	AnnounceWait = time.Second
	DesiredWait  = 15 * time.Second
	HopsMost     = 2
	ParkMost     = 600 * time.Millisecond
	ParkedMost   = 1024
	OnwardEvery  = 200 * time.Millisecond
	EagerFor     = 3 * time.Second
	ShelveEvery  = 500 * time.Millisecond
	ShelveWait   = 150 * time.Millisecond
	SilentWait   = 700 * time.Millisecond
	CutOffWait   = 150 * time.Millisecond
	CutOffFor    = 2 * time.Second
)

type (
	Got    struct{ Frame *wire.Frame }
	Tick   struct{}
	Synced struct {
		Seq  uint64
		Used float64
		Room int64
	}
	Disk     struct{ Ailing bool }
	Shelved  struct{ OK bool }
	Announce struct {
		Token    uint64
		Announce *wire.Announce
	}
	Change struct {
		Token  uint64
		Change *wire.Change
		Wait   time.Duration
	}
	Drain struct{}
	Query struct {
		Do func(s *State, now ident.Moment)
	}
)

type (
	Announced struct {
		Token uint64
		Code  uint32
		Text  string
	}
	Changed struct {
		Token uint64
		Reply *wire.ProposeReply
	}
	Shelve struct{ Doc []byte }
	Note   struct{ Text string }
	Exit   struct{}
)

type Boot struct {
	Member      ident.Member
	Addr        ident.Addr
	HTTP        string
	Cell        ident.Cell
	Incarnation ident.Incarnation
	Seeds       []ident.Addr
	Founders    []ident.Addr
	FreshFleet  bool
	Voter       ident.Voter
	Build       string
	Seed        int64
	Decisions   int
	LeaseFor    time.Duration
	Stale       time.Duration
	Drain       time.Duration
	Losses      int
	Replace     time.Duration
	ClockScale  int64
	Capacity    int64
	Room        int64
	Shelf       []byte
	Shelves     bool
}

func (b Boot) quorumWait() time.Duration {
	if b.Drain == 0 {
		return QuorumWait
	}
	return min(QuorumWait, b.Drain/2)
}

type hold struct {
	epoch  ident.Epoch
	start  ident.Moment
	sound  *cell.Soundness
	heir   *wire.Card
	will   *wire.Bequest
	sent   ident.Moment
	named  ident.Moment
	begun  bool
	turns  int
	dealt  ident.Moment
	rolls  int
	copied int
	drains []*pendingDrain
	kept   uint64
	from   uint64
	read   map[string]bool
	met    bool
	waited bool
}

type seen struct {
	incarnation uint64
	at          ident.Moment
}

type asker struct {
	token uint64
	to    string
}

type force struct {
	gen ident.Generation
	asker
}

type desiredAsk struct {
	asker
	set *wire.SetDesired
	at  ident.Moment
}

// pending is an announcement that waits for its answer: to the sender of a frame, to one asked here
// (to is empty), or to a gathering that it is a part of.
type pending struct {
	at   ident.Moment
	to   string
	id   uint64
	part *gathering
}

type parked struct {
	pending
	what *wire.Announce
}

type pendingDrain struct {
	pending
	upto uint64
	has  map[string]bool
}

type State struct {
	Boot
	Members *member.State
	Relay   *relay.State
	Mail    *relay.Courier
	Agree   *agreement.State
	Book    *ledger.Book

	waits    map[uint64]asker
	asked    map[asker]bool
	forces   []force
	queue    []desiredAsk
	unsure   []desiredAsk
	orders   map[uint64]ident.Moment
	setIndex uint64
	holds    map[ident.Cell]*hold
	holdAt   map[ident.Cell]ident.Moment
	liveFrom map[string]seen
	leftFrom map[string]ident.Moment
	wills    map[ident.Cell]*wire.Bequest
	marked   *wire.Mark
	markAt   ident.Moment
	takenAt  map[ident.Generation]ident.Moment
	leases
	forwards  map[uint64]*forwarded
	told      map[string]bool
	parked    []parked
	tokens    ident.Tokens
	draining  bool
	drainAt   ident.Moment
	signedOff bool
	bound
	// StrayAnswers counts answers to no request under way, or from a process that was not asked.
	StrayAnswers uint64
	used         float64
	role         agreement.Role
	born         ident.Moment
	shelf        shelf
	quorum       quorum
	out          []any
}

func New(b Boot, got *agreement.Recovered, now ident.Moment) (*State, error) {
	s := &State{Boot: b, quorum: quorum{heard: map[string]ident.Moment{}}, waits: map[uint64]asker{}, asked: map[asker]bool{}, holds: map[ident.Cell]*hold{}, holdAt: map[ident.Cell]ident.Moment{}, liveFrom: map[string]seen{}, leftFrom: map[string]ident.Moment{}, wills: map[ident.Cell]*wire.Bequest{}, forwards: map[uint64]*forwarded{}, tokens: ident.NewTokens(b.Incarnation), told: map[string]bool{}, takenAt: map[ident.Generation]ident.Moment{}, leases: newLeases(), orders: map[uint64]ident.Moment{}, born: now}
	s.Book = ledger.NewBook()
	s.Members = member.New(&wire.Card{Id: string(b.Member), Addr: string(b.Addr), Cell: string(b.Cell), Role: member.Control, Incarnation: uint64(b.Incarnation), Http: b.HTTP, Build: b.Build}, b.Seeds, now)
	s.Relay = relay.New(b.Member, b.Incarnation, true)
	s.Relay.Voter = b.Voter
	s.Relay.Terms(b.LeaseFor, b.Stale)
	s.Mail = relay.NewCourier(b.Incarnation)
	s.unshelve()
	if b.Voter != "" {
		s.Agree = agreement.New(agreement.Self{Voter: b.Voter, Member: b.Member, Addr: b.Addr}, b.Founders, got, b.Seed, now)
		s.Agree.FreshFleet = b.FreshFleet
		if b.Losses > 0 {
			s.Agree.Want = 2*b.Losses + 1
		}
		if b.Replace > 0 {
			s.Agree.VoterReplace = b.Replace
		}
		s.Agree.Doors = func() []ident.Addr {
			var out []ident.Addr
			for _, a := range s.heads() {
				out = append(out, ident.Addr(a))
			}
			return out
		}
		s.Members.More = func() []ident.Addr {
			var out []ident.Addr
			for _, v := range s.Agree.Roster().GetVoters() {
				out = append(out, ident.Addr(v.Addr))
			}
			return out
		}
		s.Agree.Space(b.Capacity, b.Room)
		s.Agree.Wall = s.wall
		s.Agree.Image = func() []byte { return s.Book.Image() }
		s.Agree.Reads = func(image []byte) error {
			_, err := ledger.ReadBook(image)
			return err
		}
		if got != nil && got.Snapshot != nil {
			if err := s.load(got.Snapshot); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *State) load(p *wire.Snapshot) error {
	b, err := ledger.ReadBook(p.Image)
	if err != nil {
		return err
	}
	s.Book = b
	return nil
}

func (s *State) send(to string, f *wire.Frame) {
	s.out = append(s.out, wire.Send{To: to, Frame: f})
}

func (s *State) leads() (ident.Moment, bool) {
	if s.Agree == nil {
		return 0, false
	}
	return s.Agree.AsOf()
}

func (s *State) leading() bool { return s.Agree != nil && s.Agree.Firm() }

func (s *State) heads() []string { return s.Members.Heads() }

func (s *State) Step(now ident.Moment, e any) {
	s.Relay.Woke(now)
	switch e := e.(type) {
	case Got:
		s.got(e.Frame, now)
	case Tick:
		s.tick(now)
	case Synced:
		s.used = e.Used
		s.Agree.Room(e.Seq, e.Room)
		s.Agree.Synced(e.Seq, now)
	case Disk:
		if e.Ailing != s.Agree.Ailing() {
			s.out = append(s.out, Note{map[bool]string{true: "The disk is ailing; leadership is given up.", false: "The disk is well again."}[e.Ailing]})
		}
		s.Agree.Disk(e.Ailing, now)
	case Shelved:
		s.shelved(e.OK, now)
	case Announce:
		s.announce(e.Token, e.Announce, now)
	case Change:
		s.Mail.Hint(s.leaderAddr())
		if e.Change.GetSetDesired() != nil {
			s.orders[e.Token] = now
		}
		s.Mail.Post(e.Change, now.Add(e.Wait), e.Token, s.heads(), now)
	case Drain:
		if !s.draining {
			s.draining, s.drainAt = true, now
			if s.Agree != nil {
				s.Agree.Leaving = true
			}
			s.out = append(s.out, Note{"Draining."})
		}
	case Clock:
		s.clock = e
	case Query:
		e.Do(s, now)
	}
}

func (s *State) leaderAddr() string {
	if s.Agree != nil && s.Agree.LeaderAddr() != "" {
		return string(s.Agree.LeaderAddr())
	}
	return s.Relay.Core.GetLeaderAddr()
}

func (s *State) got(f *wire.Frame, now ident.Moment) {
	s.quorum.hear(f.Addr, s.Members.Card(ident.Member(f.From)).GetRole() == member.Control, now)
	s.Relay.Met(f.Addr, f.Incarnation)
	switch b := f.Body.(type) {
	case *wire.Frame_Heartbeat:
		s.Members.Heartbeat(b.Heartbeat, f.From, f.Addr, now)
	case *wire.Frame_Table:
		s.Members.Table(b.Table, f.Addr, now)
	case *wire.Frame_Ask:
		s.Relay.Heard(b.Ask)
		s.witness(f.Addr, b.Ask, now)
		s.send(f.Addr, &wire.Frame{Body: &wire.Frame_News{News: s.answer(f.Addr, b.Ask, now)}})
	case *wire.Frame_News:
		if r := s.Relay.News(b.News, f.Addr, now); r != nil {
			s.readFrom(b.News.Voter, f.Addr, r)
			s.shelve(now)
		}
	case *wire.Frame_Announce:
		s.announceFrom(f.Addr, b.Announce, now)
	case *wire.Frame_Bequest:
		s.bequest(b.Bequest, now)
	case *wire.Frame_AnnounceReply:
		s.forwardAnswered(f, b.AnnounceReply)
	case *wire.Frame_Propose:
		s.propose(asker{b.Propose.Token, f.Addr}, b.Propose.Change, now)
	case *wire.Frame_ProposeReply:
		if tag, ok := s.Mail.Reply(b.ProposeReply, now); ok {
			if t, ok := tag.(uint64); ok {
				delete(s.orders, t)
				s.out = append(s.out, Changed{t, b.ProposeReply})
			}
		}
	default:
		s.agreed(f, now)
	}
}

func (s *State) agreed(f *wire.Frame, now ident.Moment) {
	if s.Agree == nil {
		if q := f.GetFounding(); q != nil && !q.Answer {
			s.send(q.Addr, &wire.Frame{Body: &wire.Frame_Founding{Founding: &wire.Founding{Member: string(s.Member), Addr: string(s.Addr), Blank: true, Answer: true}}})
		}
		return
	}
	switch b := f.Body.(type) {
	case *wire.Frame_Vote:
		s.Agree.Vote(b.Vote, now)
	case *wire.Frame_VoteReply:
		s.Agree.VoteReply(b.VoteReply, now)
	case *wire.Frame_Append:
		s.Agree.Append(b.Append, now)
	case *wire.Frame_AppendReply:
		s.Agree.AppendReply(b.AppendReply, now)
	case *wire.Frame_Snapshot:
		s.Agree.InstallSnapshot(b.Snapshot, now)
	case *wire.Frame_SnapshotReply:
		s.Agree.SnapshotReply(b.SnapshotReply, now)
	case *wire.Frame_SnapshotChunk:
		s.Agree.SnapshotChunk(b.SnapshotChunk, now)
	case *wire.Frame_SnapshotChunkReply:
		s.Agree.SnapshotChunkReply(b.SnapshotChunkReply, now)
	case *wire.Frame_Handoff:
		s.Agree.Handoff(b.Handoff, now)
	case *wire.Frame_Founding:
		s.Agree.Founding(b.Founding, now)
	}
}

// clocks notes from when on each generation that isn't in force can be published here.
func (s *State) clocks(now ident.Moment) {
	for g := s.Book.Generation; g > s.Book.InForce && s.takenAt[g] == 0; g-- {
		s.takenAt[g] = now
	}
	for g := range s.takenAt {
		if g <= s.Book.InForce {
			delete(s.takenAt, g)
		}
	}
}

func (s *State) Settle(now ident.Moment) {
	if s.Agree != nil {
		s.Agree.Compact(false)
		if s.Agree.Role() == agreement.Leader {
			s.pump(now)
		}
		for {
			o := s.Agree.Flush(now)
			if o.Loaded != nil {
				if err := s.load(o.Loaded); err != nil {
					s.out = append(s.out, Note{"A snapshot does not read: " + err.Error()})
				}
			}
			for _, m := range o.Sends {
				s.out = append(s.out, m)
			}
			for _, t := range o.Notes {
				s.out = append(s.out, Note{t})
			}
			if o.Persist != nil {
				s.out = append(s.out, *o.Persist)
			}
			for _, e := range o.Applied {
				s.applied(e, now)
			}
			if o.Turned {
				s.turned(now)
			}
			if len(o.Applied) == 0 {
				break
			}
			s.Agree.Compact(false)
			s.pump(now)
		}
		s.publish(now)
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

func (s *State) turned(now ident.Moment) {
	if s.role == s.Agree.Role() {
		return
	}
	s.role = s.Agree.Role()
	s.decide(duty.Decision{Decision: "role", To: s.role.String(), Note: fmt.Sprintf("term %d", s.Agree.Term())})
	s.out = append(s.out, Note{"Now " + s.role.String() + "."})
	s.waits, s.asked = map[uint64]asker{}, map[asker]bool{}
	s.forces, s.queue, s.unsure, s.setIndex, s.past = nil, nil, nil, 0, nil
	s.marked, s.markAt = nil, 0
	s.leases = newLeases()
}

func (s *State) publish(now ident.Moment) {
	at, ok := s.Agree.AsOf()
	if !ok || s.hush(now) {
		return
	}
	c := s.Book.Core()
	if k := s.Relay.Core; k == nil || k.Version != c.Version || k.Term != uint64(s.Agree.Term()) {
		n := &wire.Core{Version: c.Version, Generation: c.Generation, InForce: c.InForce, Grown: c.Grown, Seats: c.Seats, Holds: c.Holds, Floors: c.Floors, SeatCount: c.SeatCount, Trial: c.Trial, Revoked: c.Revoked, Leader: string(s.Member), LeaderAddr: string(s.Addr), Term: uint64(s.Agree.Term()), Roster: s.Agree.Roster()}
		c = n
	} else {
		c = k
	}
	var doc []byte
	if l := s.Book.Line(s.Book.Generation); l != nil {
		doc = l.Doc
	}
	s.Relay.TakeCore(c, doc, s.Book.Generation, at)
}

func (s *State) answer(from string, a *wire.Ask, now ident.Moment) *wire.News {
	n := s.Relay.Answer(a, now)
	have := map[string]*wire.CellHave{}
	for _, h := range a.Cells {
		have[h.Cell] = h
	}
	keep := n.Cells[:0]
	for _, c := range n.Cells {
		if s.active(ident.Cell(c.Cell), now) == nil {
			keep = append(keep, c)
		}
	}
	n.Cells = keep
	names := make([]string, 0, len(s.holds))
	for c := range s.holds {
		names = append(names, string(c))
	}
	sort.Strings(names)
	for _, c := range names {
		h := s.active(ident.Cell(c), now)
		if h == nil || a.Only && have[c] == nil {
			continue
		}
		n.Cells = append(n.Cells, h.sound.News(have[c], now))
	}
	if s.head(from) {
		n.Voter = string(s.Voter)
		n.Cells = append(n.Cells, s.olds(have)...)
	}
	return n
}

func (s *State) tick(now ident.Moment) {
	heads := s.heads()
	s.Mail.Hint(s.leaderAddr())
	for _, tag := range s.Mail.Tick(heads, now) {
		if t, ok := tag.(uint64); ok {
			delete(s.orders, t)
			s.out = append(s.out, Changed{t, &wire.ProposeReply{Code: uint32(ledger.Lost)}})
		}
	}
	s.overdue(now)
	s.expireForwards(now)
	s.unpark(now)
	if s.Agree != nil {
		s.Agree.Tick(now)
	}
	targets := s.others()
	if len(targets) == 0 {
		for _, a := range s.Seeds {
			if a != s.Addr {
				targets = append(targets, string(a))
			}
		}
	}
	s.Relay.Eager = now.Sub(s.born) < EagerFor
	s.Relay.Tick(s.Members.Ring(), 0, targets, now)
	s.look(now)
	s.watch(now)
	s.watchQuorum(now)
	s.cells(now)
	if s.leading() {
		s.assign(now)
		s.lease(now)
		s.marks(now)
	}
	s.Members.Say(s.Relay.CoreFresh(now), s.draining, now)
	s.Members.Tick(now)
	s.shelve(now)
	if s.draining {
		s.finish(now)
	}
}

func (s *State) finish(now ident.Moment) {
	if s.Agree != nil && now.Sub(s.drainAt) < s.quorumWait() && s.Agree.Needed(now) {
		return
	}
	if s.Agree != nil && s.Agree.Role() == agreement.Leader {
		left := now.Sub(s.drainAt)
		if handing := s.Agree.Resign(now) || !s.Agree.Steady(now); left < 2*time.Second || handing && left < s.quorumWait() {
			return
		}
	}
	held := len(s.holds) > 0 && now.Sub(s.drainAt) < 5*time.Second && len(s.heads()) > 1
	if held || now.Sub(s.drainAt) < time.Second {
		return
	}
	s.Members.Leave(now)
	if !s.signedOff {
		s.signedOff = true
		s.out = append(s.out, Note{"Signed off."})
	}
	s.out = append(s.out, Exit{})
}

func (s *State) decide(d duty.Decision) {
	d.Generation = uint64(max(s.Book.Generation, s.Relay.DocGen))
	s.out = append(s.out, d)
}

func (s *State) Take() []any {
	o := s.out
	s.out = nil
	return o
}

type moment = ident.Moment
