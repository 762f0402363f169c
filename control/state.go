package control

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/calendar"
	"sloeturn/cell"
	"sloeturn/desired"
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

type pending struct {
	at ident.Moment
	to string
	id uint64
}

type parked struct {
	pending
	what *wire.Announce
}

type errand struct {
	parked
	sent ident.Moment
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
	passes    map[uint64]errand
	told      map[string]bool
	parked    []parked
	passID    uint64
	draining  bool
	drainAt   ident.Moment
	signedOff bool
	bound
	used   float64
	role   agreement.Role
	born   ident.Moment
	shelf  shelf
	quorum quorum
	out    []any
}

func New(b Boot, got *agreement.Recovered, now ident.Moment) (*State, error) {
	s := &State{Boot: b, waits: map[uint64]asker{}, asked: map[asker]bool{}, holds: map[ident.Cell]*hold{}, holdAt: map[ident.Cell]ident.Moment{}, liveFrom: map[string]seen{}, leftFrom: map[string]ident.Moment{}, wills: map[ident.Cell]*wire.Bequest{}, passes: map[uint64]errand{}, told: map[string]bool{}, takenAt: map[ident.Generation]ident.Moment{}, leases: newLeases(), orders: map[uint64]ident.Moment{}, born: now}
	s.Book = ledger.NewBook()
	s.Members = member.New(&wire.Card{Id: string(b.Member), Addr: string(b.Addr), Cell: string(b.Cell), Role: member.Control, Incarnation: uint64(b.Incarnation), Http: b.HTTP, Build: b.Build}, b.Seeds, now)
	s.Relay = relay.New(b.Member, true)
	s.Relay.Voter = b.Voter
	s.Relay.Terms(b.LeaseFor, b.Stale)
	s.Mail = relay.NewCourier(uint64(b.Incarnation))
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
	s.quorum.hear(f.Addr, now)
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
		r := b.AnnounceReply
		if p, ok := s.passes[r.Token]; ok {
			delete(s.passes, r.Token)
			s.announced(p.pending, r.Code, r.Text)
		}
	case *wire.Frame_Propose:
		s.propose(asker{b.Propose.Token, f.Addr}, b.Propose.Change, now)
	case *wire.Frame_ProposeReply:
		if tag, ok := s.Mail.Reply(b.ProposeReply, s.heads(), now); ok {
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

func (s *State) reply(a asker, r *wire.ProposeReply) {
	r.Token = a.token
	s.send(a.to, &wire.Frame{Body: &wire.Frame_ProposeReply{ProposeReply: r}})
}

func (s *State) propose(a asker, c *wire.Change, now ident.Moment) {
	if s.Agree == nil || !s.Agree.Steady(now) {
		lead := s.leaderAddr()
		if lead == string(s.Addr) {
			lead = ""
		}
		s.reply(a, &wire.ProposeReply{Code: uint32(ledger.NotLeader), LeaderAddr: lead})
		return
	}
	if set := c.GetSetDesired(); set != nil {
		s.enqueue(desiredAsk{a, set, now})
		s.pump(now)
		return
	}
	switch c := c.GetBody().(type) {
	case *wire.Change_HoldBack, *wire.Change_TakeOut, *wire.Change_PeriodTurn, *wire.Change_Land:
		s.reply(a, &wire.ProposeReply{Code: uint32(ledger.Invalid)})
		return
	case *wire.Change_Noop:
		s.reply(a, &wire.ProposeReply{Code: uint32(s.restore(c.Noop))})
		return
	}
	if s.asked[a] {
		return
	}
	if i, ok := s.Agree.Propose(c, now); ok {
		s.waits[i] = a
		s.asked[a] = true
	}
}

func (s *State) pump(now ident.Moment) {
	s.sure()
	for len(s.queue) > 0 && uint64(s.Book.Index) >= s.setIndex && s.Agree.Steady(now) && s.judge(now) {
		q := s.queue[0]
		s.queue = s.queue[1:]
		s.decideOn(q, now)
	}
}

func (s *State) decideOn(q desiredAsk, now ident.Moment) {
	if k := s.Book.Taken(q.set.ChangeId); k != nil {
		s.again(q, k)
		return
	}
	edition, tail := s.Book.EndEdition(), s.Book.Stands()
	if !q.set.ByEdition && (q.set.Basis != uint64(s.Book.Generation) || q.set.Tail != tail) || q.set.ByEdition && q.set.Basis != edition {
		s.refuseWith(q, "another change came first: "+q.set.ChangeId, &wire.ProposeReply{Code: uint32(ledger.Stale), Generation: uint64(s.Book.Generation), Edition: edition, Tail: tail})
		return
	}
	if q.set.TakeOut != 0 {
		s.takeOut(q, now)
		return
	}
	var tree any = map[string]any{}
	var faults []desired.Fault
	if !q.set.Withdraw {
		tree, faults = desired.ReadTree(q.set.Doc)
	}
	if len(q.set.Only) > 0 && s.Book.Generation == 0 {
		faults = append(faults, desired.Fault{Path: "", Text: "no desired state is set that a trial could stand beside"})
	}
	if len(faults) == 0 && q.set.Merge {
		tree = desired.Merge(s.endTree(), tree)
	}
	if len(faults) == 0 && q.set.KeepCalendar {
		tree = s.withCalendar(tree)
	}
	doc := desired.Write(tree)
	var d *desired.State
	if len(faults) == 0 && !q.set.Withdraw {
		if d, faults = desired.Read(doc); len(faults) == 0 {
			faults = append(d.Follows(max(edition, s.Book.Floor)), s.dated(d, q.set.TodayMs)...)
		}
	}
	busy := len(s.Book.Held) > 0 || len(s.Book.OpenRegions()) > 0
	if t := len(q.set.Only) > 0 || q.set.Withdraw; len(faults) == 0 && busy && t {
		var docs [][]byte
		if len(q.set.Only) > 0 {
			docs = append(docs, doc)
		}
		if s.Book.Trial != nil {
			docs = append(docs, s.Book.Trial.Doc)
		}
		faults = s.stillTrial(docs...)
	}
	if len(faults) > 0 {
		s.refuse(q, faults...)
		return
	}
	if busy && len(q.set.Only) == 0 && !q.set.Withdraw {
		s.place(q, tree, d, now)
		return
	}
	s.log(q, &wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(s.Book.Generation), ChangeId: q.set.ChangeId, Doc: doc, Author: q.set.Author, Only: q.set.Only, Withdraw: q.set.Withdraw, Turn: s.Book.Turn, Sum: q.set.Sum}}}, now)
}

// dated checks the calendar of a state, against the clock at the door the change came through.
func (s *State) dated(d *desired.State, today int64) []desired.Fault {
	c, faults := s.calendarOf(d)
	if c == nil || len(faults) > 0 || today == 0 {
		return faults
	}
	before, _ := desired.Read(desired.Write(s.endTree()))
	old := (*calendar.Calendar)(nil)
	if before != nil && len(before.Blackouts) > 0 {
		old, _ = calendar.Read(before)
	}
	return c.Past(old, today)
}

// overdue tells those who gave an order here to go on to another control process, if this one has heard nothing from a leader meanwhile.
func (s *State) overdue(now ident.Moment) {
	age := now.Sub(s.Relay.CoreAsOf)
	if !s.Relay.CoreKnown || age < SilentWait {
		return
	}
	for _, t := range ident.Keys(s.orders) {
		if w := now.Sub(s.orders[t]); w >= SilentWait || w >= CutOffWait && age >= CutOffFor {
			delete(s.orders, t)
			s.out = append(s.out, Changed{t, &wire.ProposeReply{Code: uint32(ledger.Lost)}})
		}
	}
}

func (s *State) inForce(f force) {
	if s.Book.InForce >= f.gen {
		s.reply(f.asker, &wire.ProposeReply{Code: uint32(ledger.Done), Generation: uint64(f.gen), Edition: s.Book.Edition(f.gen), Tail: s.Book.Stands()})
		return
	}
	s.forces = append(s.forces, f)
}

func (s *State) applied(e *wire.Entry, now ident.Moment) {
	r := s.Book.Apply(e)
	s.logged(e, r)
	a, ok := s.waits[e.Index]
	delete(s.waits, e.Index)
	delete(s.asked, a)
	if ok && s.Agree.Role() == agreement.Leader && e.Term == uint64(s.Agree.Term()) {
		if (e.Change.GetSetDesired() != nil || e.Change.GetHoldBack() != nil) && r.Code == ledger.Done {
			s.inForce(force{r.Generation, a})
		} else if r.Code == ledger.Held {
			s.reply(a, s.heldReply(r.Place))
		} else {
			p := &wire.ProposeReply{Code: uint32(r.Code), Generation: uint64(r.Generation), Edition: s.Book.Edition(r.Generation), Seat: uint32(r.Seat), Visit: string(r.Visit), Status: r.Status, Place: r.Place, Tail: s.Book.Stands()}
			s.reply(a, p)
		}
	}
	if e.Change.GetMark() != nil {
		keep := s.forces[:0]
		for _, f := range s.forces {
			if s.Book.InForce >= f.gen {
				s.inForce(f)
			} else {
				keep = append(keep, f)
			}
		}
		s.forces = keep
	}
	s.clocks(now)
	s.leased(e, now)
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

func (s *State) active(c ident.Cell, now ident.Moment) *hold {
	h := s.holds[c]
	if h == nil || h.heir != nil || !h.met || now.Before(h.start) || now.Sub(s.Relay.CoreAsOf) >= relay.CellLease {
		return nil
	}
	return h
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

func (s *State) announce(token uint64, a *wire.Announce, now ident.Moment) {
	if s.old(a, now) {
		s.announced(pending{now, "", token}, 503, "this process stood still just now; the beat may be an old one")
		return
	}
	s.route(pending{now, "", token}, a, now)
}

func (s *State) old(a *wire.Announce, now ident.Moment) bool {
	return a.State == cell.Ready && s.Relay.Dazed(now)
}

func (s *State) announceFrom(from string, a *wire.Announce, now ident.Moment) {
	s.route(pending{now, from, a.Token}, a, now)
}

func (s *State) announced(p pending, code uint32, text string) {
	if p.to == "" {
		s.out = append(s.out, Announced{p.id, code, text})
		return
	}
	s.send(p.to, &wire.Frame{Body: &wire.Frame_AnnounceReply{AnnounceReply: &wire.AnnounceReply{Token: p.id, Code: code, Text: text}}})
}

func (s *State) route(p pending, a *wire.Announce, now ident.Moment) {
	c := ident.Cell(a.Cell)
	if h := s.active(c, now); h != nil {
		if !h.sound.Hear(a, now) {
			s.announced(p, 503, "older than what is known of this address; say it again")
			return
		}
		s.moved(h)
		s.copyCell(c, h, now)
		if a.State == cell.Ready || s.majority(nil) && !s.Shelves {
			s.announced(p, 200, "")
			return
		}
		h.drains = append(h.drains, &pendingDrain{p, h.sound.Upto(), map[string]bool{}})
		s.shelve(now)
		return
	}
	if h := s.holds[c]; h != nil && h.heir != nil {
		s.onward(p, a, h.heir.Addr, now)
		return
	}
	if h := s.holds[c]; h != nil && now.Sub(s.Relay.CoreAsOf) < relay.CellLease {
		if h.sound.Hear(a, now) && a.State == cell.Ready {
			s.announced(p, 200, "")
		} else {
			s.park(p, a, "the holder of cell "+a.Cell+" starts in a moment", now)
		}
		return
	}
	if to := s.holderAddr(a); to != "" {
		s.onward(p, a, to, now)
		return
	}
	s.park(p, a, "cell "+a.Cell+" has no holder just now", now)
}

func (s *State) holderAddr(a *wire.Announce) string {
	for _, h := range s.Relay.Core.GetHolds() {
		if h.Cell != a.Cell {
			continue
		}
		card := s.Members.Card(ident.Member(h.Holder))
		if card == nil || h.Holder == string(s.Member) || a.Hops >= HopsMost {
			break
		}
		return card.Addr
	}
	return ""
}

func (s *State) park(p pending, a *wire.Announce, why string, now ident.Moment) {
	if now.Sub(p.at) >= ParkMost || len(s.parked) >= ParkedMost || s.draining {
		s.announced(p, 503, why)
		return
	}
	s.parked = append(s.parked, parked{p, a})
}

func (s *State) unpark(now ident.Moment) {
	list := s.parked
	s.parked = nil
	for _, k := range list {
		h := s.holds[ident.Cell(k.what.Cell)]
		switch {
		case s.old(k.what, now):
			s.announced(k.pending, 503, "this process stood still just now; the beat may be an old one")
		case h != nil && h.heir == nil && now.Before(h.start) && now.Sub(k.at) < ParkMost:
			s.parked = append(s.parked, k)
		default:
			s.route(k.pending, k.what, now)
		}
	}
	for _, id := range ident.Keys(s.passes) {
		p := s.passes[id]
		if now.Sub(p.sent) < OnwardEvery || now.Sub(p.at) > ParkMost || s.old(p.what, now) {
			continue
		}
		p.sent = now
		s.passes[id] = p
		if to := s.holderAddr(p.what); to != "" {
			s.forward(id, p.what, to)
		}
	}
}

func (s *State) witness(from string, a *wire.Ask, now ident.Moment) {
	id := s.voterAt(a.Voter, from)
	if id == "" {
		return
	}
	for _, c := range a.Cells {
		h := s.holds[ident.Cell(c.Cell)]
		if h == nil || uint64(h.epoch) != c.Epoch || c.Promised > c.Epoch {
			continue
		}
		for _, v := range h.drains {
			if c.Upto >= v.upto {
				v.has[id] = true
			}
		}
		s.answerDrains(h, now)
	}
}

func (s *State) answerDrains(h *hold, now ident.Moment) {
	stands := now.Sub(s.Relay.CoreAsOf) < relay.CellLease
	keep := h.drains[:0]
	for _, v := range h.drains {
		switch {
		case stands && s.majority(v.has) && (!s.Shelves || h.kept >= v.upto || now.Sub(v.at) > ShelveWait):
			s.announced(v.pending, 200, "")
		case now.Sub(v.at) > HeldMost:
			s.announced(v.pending, 503, "heard, but not yet by those that must not forget it; say it again")
		default:
			keep = append(keep, v)
		}
	}
	h.drains = keep
}

func (s *State) onward(p pending, a *wire.Announce, to string, now ident.Moment) {
	s.passID++
	s.passes[s.passID] = errand{parked{p, a}, now}
	s.forward(s.passID, a, to)
}

func (s *State) forward(id uint64, a *wire.Announce, to string) {
	n := proto.Clone(a).(*wire.Announce)
	n.Token, n.Hops = id, a.Hops+1
	s.send(to, &wire.Frame{Body: &wire.Frame_Announce{Announce: n}})
}

func (s *State) standing() []*wire.Card {
	var out []*wire.Card
	for _, c := range s.Members.Ring() {
		if c.Role == member.Control && !c.Leaving {
			out = append(out, c)
		}
	}
	return out
}

func (s *State) heirOf(c ident.Cell, h *hold, now ident.Moment) *wire.Card {
	var list []*wire.Card
	for _, k := range s.standing() {
		switch {
		case k.Id == string(s.Member):
		case k.Cell == string(c) && (s.draining || s.Cell != c && now.Sub(h.start) > HomeStable && now.Sub(s.liveFrom[k.Id].at) > HomeStable):
			return k
		default:
			list = append(list, k)
		}
	}
	if len(list) == 0 || !s.draining && h.heir == nil {
		return nil
	}
	return list[(int(ident.Hash(string(c))%uint64(len(list)))+h.turns)%len(list)]
}

func (s *State) cede(c ident.Cell, h *hold, now ident.Moment) {
	if h.heir == nil {
		if s.active(c, now) == nil {
			return
		}
		heir := s.heirOf(c, h, now)
		if heir == nil {
			return
		}
		s.copyCell(c, h, now)
		h.heir, h.will, h.named = heir, h.sound.Bequeath(now), now
		s.out = append(s.out, Note{"Cedes cell " + string(c) + " to " + heir.Id + "."})
	}
	if now.Sub(h.named) > HeirWait {
		h.turns++
		if k := s.heirOf(c, h, now); k != nil {
			h.heir, h.named = k, now
		}
	}
	if h.sent == 0 || now.Sub(h.sent) >= CedeEvery {
		h.sent = now
		s.send(h.heir.Addr, &wire.Frame{Body: &wire.Frame_Bequest{Bequest: h.will}})
	}
}

func (s *State) bequest(q *wire.Bequest, now ident.Moment) {
	c := ident.Cell(q.Cell)
	if s.draining || s.holds[c] != nil {
		return
	}
	s.wills[c] = q
	s.Mail.Hint(s.leaderAddr())
	s.Mail.Post(&wire.Change{Body: &wire.Change_CellHold{CellHold: &wire.CellHold{Cell: q.Cell, Holder: string(s.Member), Incarnation: uint64(s.Incarnation), Basis: q.Epoch, Addr: string(s.Addr)}}}, now.Add(CedeEvery), nil, s.heads(), now)
}

func (s *State) copyCell(c ident.Cell, h *hold, now ident.Moment) {
	k := s.Relay.Cells[c]
	if k == nil {
		k = cell.NewCopy(c)
		s.Relay.Cells[c] = k
	}
	if h.copied == h.rolls && k.Known && k.Epoch == h.epoch && k.Upto == h.sound.Upto() {
		k.Stand(h.sound.Pulse(), now)
		return
	}
	if k.Take(h.sound.News(k.Have(), now), now) {
		h.copied = h.rolls
	}
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
	for _, id := range ident.Keys(s.passes) {
		p := s.passes[id]
		if now.Sub(p.at) > AnnounceWait {
			delete(s.passes, id)
			s.announced(p.pending, 503, "the cell's holder did not answer")
		}
	}
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

func (s *State) nodes() []string {
	var out []string
	seated := map[string]bool{}
	for _, v := range s.Relay.Core.GetSeats() {
		seated[v.Member] = true
	}
	for _, c := range s.Members.Ring() {
		if c.Role == member.Data && c.Ready && !c.Leaving && seated[c.Id] {
			out = append(out, c.Id)
		}
	}
	sort.Strings(out)
	return out
}

func (s *State) enroll(h *hold, now ident.Moment) {
	nodes := s.nodes()
	if slices.Equal(nodes, h.sound.Nodes) && now.Sub(h.dealt) < DealEvery {
		return
	}
	h.dealt = now
	by := map[string][]uint32{}
	homes := make([]bool, len(nodes))
	for i, n := range nodes {
		homes[i] = ident.Cell(s.Members.Card(ident.Member(n)).GetCell()) == h.sound.Cell
		for _, w := range s.Relay.ConfirmOf(n).GetWants() {
			if by[w.Service] == nil {
				by[w.Service] = make([]uint32, len(nodes))
			}
			by[w.Service][i] = w.Slots
		}
	}
	if d := s.Relay.Desired; d != nil {
		for _, v := range d.ServiceNames() {
			if by[string(v)] == nil && s.lined(string(v)) {
				by[string(v)] = make([]uint32, len(nodes))
			}
		}
	}
	r := cell.Roll{Nodes: nodes}
	for _, v := range ident.Keys(by) {
		only := s.lined(v)
		if only {
			by[v] = homeFirst(homes, by[v])
		}
		if old, was := h.sound.For(v); slices.Equal(nodes, h.sound.Nodes) && old != nil && was == only && near(old, by[v]) {
			by[v] = old
		}
		r.Wants = append(r.Wants, &wire.Wants{Service: v, ByNode: by[v], Only: only})
	}
	if r.Sum() != h.sound.Roll.Sum() {
		h.rolls++
		s.decide(duty.Decision{Decision: "dealt", Cell: string(h.sound.Cell), Note: strings.Join(nodes, " ") + " " + r.Text()})
	}
	h.sound.Roll = r
}

func (s *State) quiet(v ident.Service) bool {
	d := s.Relay.Desired
	return d != nil && d.Services[v] != nil && d.Services[v].Named
}

func (s *State) lined(v string) bool {
	d := s.Relay.Desired
	return d != nil && d.Services[ident.Service(v)] != nil && d.Services[ident.Service(v)].Line > 0
}

func homeFirst(homes []bool, wants []uint32) []uint32 {
	out := make([]uint32, len(wants))
	all, n := uint32(0), uint32(0)
	for i, w := range wants {
		if homes[i] {
			all += w
			n++
		}
	}
	for i, w := range wants {
		switch {
		case n == 0:
			out[i] = 1 + w
		case homes[i]:
			out[i] = 1 + 2*w + all/n
		}
	}
	return out
}

func (s *State) decide(d duty.Decision) {
	d.Generation = uint64(max(s.Book.Generation, s.Relay.DocGen))
	s.out = append(s.out, d)
}

func (s *State) moved(h *hold) {
	for _, m := range h.sound.Moves() {
		s.decide(duty.Decision{Decision: "soundness", Cell: string(h.sound.Cell), Backend: string(m.Addr), Service: string(m.Service), From: m.From, To: m.To})
	}
}

func (s *State) logged(e *wire.Entry, r ledger.Result) {
	d := duty.Decision{Index: e.Index, Note: r.Code.String()}
	seat := int(r.Seat)
	switch c := e.Change.GetBody().(type) {
	case *wire.Change_SetDesired:
		if d.Decision = "desired"; len(c.SetDesired.Only) > 0 || c.SetDesired.Withdraw {
			d.Decision = "trial"
		}
		d.Note, d.Member = d.Note+" "+c.SetDesired.ChangeId, strings.Join(c.SetDesired.Only, " ")
	case *wire.Change_Mark:
		d.Decision, d.Note = "mark", fmt.Sprintf("in force %d, grown %d", s.Book.InForce, s.Book.Grown)
	case *wire.Change_Noop:
		s.loggedLeases(c.Noop)
		return
	case *wire.Change_SeatTake:
		d.Decision, d.Member, d.Seat = "seat taken", c.SeatTake.Member, &seat
	case *wire.Change_SeatFree:
		seat = int(c.SeatFree.Seat)
		d.Decision, d.Member, d.Seat, d.Note = "seat freed", c.SeatFree.Member, &seat, d.Note+" "+c.SeatFree.Reason
	case *wire.Change_CellHold:
		d.Decision, d.Member, d.Cell = "holder", c.CellHold.Holder, c.CellHold.Cell
	case *wire.Change_Roster:
		d.Decision, d.Note = "roster", fmt.Sprintf("%d voters of %d", len(agreement.Voters(c.Roster)), len(c.Roster.Voters))
	default:
		s.loggedHeld(e, r)
		return
	}
	s.decide(d)
}

func near(a, b []uint32) bool {
	for i := range a {
		if d := max(a[i], b[i]) - min(a[i], b[i]); d > 3 && 4*d > a[i] {
			return false
		}
	}
	return true
}

func (s *State) cells(now ident.Moment) {
	mine := map[ident.Cell]*wire.Hold{}
	for _, h := range s.Relay.Core.GetHolds() {
		if h.Holder == string(s.Member) && h.Incarnation == uint64(s.Incarnation) {
			mine[ident.Cell(h.Cell)] = h
		}
	}
	for _, c := range ident.Keys(s.holds) {
		h := s.holds[c]
		if m := mine[c]; m == nil || m.Epoch != uint64(h.epoch) {
			delete(s.holds, c)
			s.out = append(s.out, Note{"No longer holds cell " + string(c) + "."})
		}
	}
	for _, c := range ident.Keys(mine) {
		m, h := mine[c], s.holds[c]
		if h == nil {
			h = &hold{rolls: 1, epoch: ident.Epoch(m.Epoch), start: now.Add(relay.CellLease), sound: cell.New(c, ident.Epoch(m.Epoch))}
			h.from, h.read = s.Relay.Core.Version, map[string]bool{}
			if q := s.wills[c]; q != nil && q.Epoch == m.Before {
				h.met, h.start, h.sound = true, now, cell.Inherit(q, h.epoch, now)
			}
			h.sound.Quiet = s.quiet
			delete(s.wills, c)
			s.holds[c] = h
			s.out = append(s.out, Note{"Holds cell " + string(c) + " soon."})
		}
		if !h.met && s.follows(m) && s.majority(s.told) {
			h.met, h.start = true, now
		}
		h.met = h.met || s.majority(h.read)
		if !h.met && !h.waited && now.Sub(h.start) > relay.CellLease {
			h.waited = true
			s.out = append(s.out, Note{"Cell " + string(c) + " waits for " + s.holderWaits(h, now) + "."})
		}
		s.cede(c, h, now)
		if s.active(c, now) == nil {
			continue
		}
		if k := s.Relay.Cells[c]; !h.begun && k != nil && k.Epoch < h.epoch && (k.Known || uint64(k.Epoch) >= min(m.Since, m.Before)) {
			h.sound.Recall(k, now)
		}
		h.begun = true
		h.sound.Tick(now)
		s.answerDrains(h, now)
		s.moved(h)
		s.enroll(h, now)
		s.copyCell(c, h, now)
	}
}

func (s *State) look(now ident.Moment) {
	for _, c := range s.Members.Ring() {
		if s.liveFrom[c.Id].incarnation != c.Incarnation {
			s.liveFrom[c.Id] = seen{c.Incarnation, now}
			delete(s.leftFrom, c.Id)
		}
		if _, ok := s.leftFrom[c.Id]; c.Leaving && !ok {
			s.leftFrom[c.Id] = now
		}
	}
	for id := range s.liveFrom {
		if !s.Members.Live(ident.Member(id)) {
			delete(s.liveFrom, id)
			delete(s.leftFrom, id)
		}
	}
}

func (s *State) keepers(list []*wire.Card) []*wire.Card {
	disk := map[string]bool{}
	for _, v := range s.Agree.Roster().GetVoters() {
		disk[v.Member] = true
	}
	var out []*wire.Card
	for _, c := range list {
		if disk[c.Id] {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

func (s *State) assign(now ident.Moment) {
	homes := map[string][]*wire.Card{}
	all := s.standing()
	want := map[string]bool{}
	for _, c := range s.Members.Ring() {
		want[c.Cell] = true
	}
	for _, c := range all {
		homes[c.Cell] = append(homes[c.Cell], c)
	}
	for c := range s.Book.Holds {
		want[string(c)] = true
	}
	names := make([]string, 0, len(want))
	for c := range want {
		names = append(names, c)
	}
	sort.Strings(names)
	for _, name := range names {
		c := ident.Cell(name)
		if len(all) == 0 || s.holdAt[c] != 0 && now.Sub(s.holdAt[c]) < HoldEvery {
			continue
		}
		h := s.Book.Holds[c]
		if h != nil {
			k := s.Members.Card(ident.Member(h.Holder))
			heard := max(s.holdAt[c], s.Agree.LedSince())
			if k == nil && now.Sub(s.Agree.LedSince()) < UnseenWait {
				continue
			}
			if n := s.Relay.Cells[c]; n != nil {
				heard = max(heard, n.AsOf)
			}
			if k != nil && now.Sub(heard) < DeafWait && k.State == member.Live && k.Incarnation == h.Incarnation && (!k.Leaving || now.Sub(s.leftFrom[k.Id]) < CedeGrace) {
				continue
			}
		}
		list := s.keepers(all)
		pick := list[int(ident.Hash(name)%uint64(len(list)))]
		if l := homes[name]; len(l) > 0 {
			pick = s.keepers(l)[0]
		}
		basis := uint64(0)
		if h != nil {
			basis = h.Epoch
		}
		s.holdAt[c] = now
		s.Agree.Propose(&wire.Change{Body: &wire.Change_CellHold{CellHold: &wire.CellHold{Cell: name, Holder: pick.Id, Incarnation: pick.Incarnation, Basis: basis, Addr: pick.Addr}}}, now)
	}
}

// lapsed says that no seat can still serve on a word that lacks what could be published from the moment on.
func (s *State) lapsed(from, now ident.Moment) bool {
	return now.Sub(max(from, s.Agree.LedSince())) > s.Relay.LeaseFor+ForceSlack
}

// outlived is the newest generation that no seat can still serve an older one than, whatever it has said.
func (s *State) outlived(now ident.Moment) ident.Generation {
	g := s.Book.Generation
	for g > s.Book.InForce && !s.lapsed(s.takenAt[g], now) {
		g--
	}
	return g
}

// settled is the newest generation that all seats decide under, none under an older one.
func (s *State) settled(now ident.Moment) ident.Generation {
	old, all := s.outlived(now), s.Book.Generation
	for k, v := range s.Book.Seats {
		if s.Book.Revoked[k].GetFenced() {
			continue
		}
		g := old
		if c := s.Relay.ConfirmOf(v.Member); c != nil && c.Incarnation == v.Incarnation {
			g = max(g, ident.Generation(c.Staged))
		}
		all = min(all, g)
	}
	return all
}

func (s *State) shrunk() bool {
	for _, v := range s.Book.Seats {
		c := s.Relay.ConfirmOf(v.Member)
		if c == nil || c.Incarnation != v.Incarnation || c.Shrunk < uint64(s.Book.Generation) {
			return false
		}
	}
	return true
}

func (s *State) marks(now ident.Moment) {
	m := &wire.Mark{InForce: uint64(s.Book.InForce), Grown: uint64(s.Book.Grown)}
	if s.Book.InForce < s.Book.Generation {
		m.InForce = max(m.InForce, uint64(s.settled(now)))
	}
	if s.Book.Grown < s.Book.Generation && s.shrunk() {
		m.Grown = uint64(s.Book.Generation)
	}
	soon := m.InForce > max(uint64(s.Book.InForce), s.marked.GetInForce())
	if m.InForce == uint64(s.Book.InForce) && m.Grown == uint64(s.Book.Grown) || !soon && s.markAt != 0 && now.Sub(s.markAt) < MarkEvery {
		return
	}
	if _, ok := s.Agree.Propose(&wire.Change{Body: &wire.Change_Mark{Mark: m}}, now); ok {
		s.marked, s.markAt = m, now
	}
}

func (s *State) Take() []any {
	o := s.out
	s.out = nil
	return o
}

type moment = ident.Moment
