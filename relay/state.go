// Package relay carries the core, cells and confirmations down and up the tree of members, each with its age.
package relay

import (
	"slices"
	"sort"
	"time"

	"sloeturn/cell"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/member"
	"sloeturn/wire"
)

const (
	AskEvery    = 150 * time.Millisecond
	AskWait     = 300 * time.Millisecond
	AskPatience = 2 * time.Second
	AskKept     = 5 * time.Second
	FirstTook   = 150 * time.Millisecond
	Roots       = 2
	Fan         = 4
	ClimbFor    = 5 * time.Second
	PoorAge     = time.Second
	CoreLease   = 5 * time.Second
	CellLease   = 1200 * time.Millisecond
	CellFresh   = 1500 * time.Millisecond
	EagerEvery  = 50 * time.Millisecond
	EagerAsks   = 3
	SourceWait  = 300 * time.Millisecond
	WholeEvery  = 8
	Overdue     = 3 * AskEvery
	Asleep      = 400 * time.Millisecond
	Daze        = time.Second
)

type State struct {
	Self     ident.Member
	Life     ident.Incarnation
	Voter    ident.Voter
	Control  bool
	LeaseFor time.Duration
	Stale    time.Duration
	Eager    bool

	Core      *wire.Core
	CoreAsOf  ident.Moment
	Leased    ident.Moment
	CoreKnown bool
	Doc       []byte
	DocGen    ident.Generation
	Desired   *desired.State
	Unread    []desired.Fault
	Cells     map[ident.Cell]*cell.Copy

	sources  []*source
	directAt map[string]ident.Moment
	soundAt  ident.Moment
	diff     diff
	whole    bool
	confirms map[string]*wire.Confirm
	changes  uint64
	changed  map[string]uint64
	told     map[string]*told
	asks     map[uint64]ask
	token    uint64
	took     time.Duration
	askAt    ident.Moment
	turn     int
	climb    int
	climbAt  ident.Moment
	ringRev  uint64
	parent   string
	poor     bool
	lastAt   ident.Moment
	wokeAt   ident.Moment
	rev      uint64
	out      []wire.Send
}

type ask struct {
	at   ident.Moment
	to   string
	from uint64
	upto uint64
	all  int
	late bool
	core uint64
	only bool
	have []*wire.CellHave
	bare bool
	// direct asks are made one at a time, beside those that go up the tree.
	direct bool
}

// Reading says what an answer to an ask of one's own covers: the newest core that the other knew, and whether only some cells were asked for.
type Reading struct {
	Core  uint64
	Only  bool
	Cells []*wire.CellHave
}

func (r *Reading) Covers(c ident.Cell) bool {
	return !r.Only || slices.ContainsFunc(r.Cells, func(h *wire.CellHave) bool { return h.Cell == string(c) })
}

type told struct {
	upto uint64
	asks int
	life uint64
}

// Met says which life speaks at an address; another than before has been told nothing yet, however many confirms it has from others.
func (s *State) Met(addr string, life uint64) {
	if t := s.told[addr]; t != nil && t.life != life {
		if t.life != 0 {
			t.upto = 0
		}
		t.life = life
	}
}

func New(self ident.Member, control bool) *State {
	return &State{Self: self, Control: control, LeaseFor: CoreLease, Stale: CoreLease, Cells: map[ident.Cell]*cell.Copy{}, confirms: map[string]*wire.Confirm{}, changed: map[string]uint64{}, told: map[string]*told{}, asks: map[uint64]ask{}, directAt: map[string]ident.Moment{}, took: FirstTook}
}

func (s *State) Revision() uint64 {
	n := s.rev
	for _, c := range s.Cells {
		n += c.Revision()
	}
	return n
}

func (s *State) Parent() string { return s.parent }

func (s *State) CoreFresh(now ident.Moment) bool {
	return s.CoreKnown && now.Sub(s.Leased) < s.Stale
}

// LeaseEnd is the moment until which no newer desired state can be in force; 0 before any is known.
func (s *State) LeaseEnd() ident.Moment {
	if !s.CoreKnown {
		return 0
	}
	return s.Leased.Add(s.LeaseFor)
}

// InTouch says that this process is within its lease.
func (s *State) InTouch(now ident.Moment) bool { return now.Before(s.LeaseEnd()) }

// Revoked is the revocation of this process's own seat in the newest core it knows, or nil.
func (s *State) Revoked() *wire.Revoked {
	for _, r := range s.Core.GetRevoked() {
		if r.Member == string(s.Self) && r.Incarnation == uint64(s.Life) {
			return r
		}
	}
	return nil
}

func (s *State) Terms(lease, stale time.Duration) {
	if lease > 0 {
		s.LeaseFor = lease
	}
	s.Stale = max(stale, s.LeaseFor)
}

func (s *State) CellStale() time.Duration {
	if s.Stale > s.LeaseFor {
		return s.Stale
	}
	return CellFresh
}

// CellFresh says whether this process may act on what it knows of a cell: on news younger than
// CellFresh, and on older news, up to CellStale, only while no process that answers knows a newer
// table. One that does may have acknowledged that a backend leaves.
func (s *State) CellFresh(c ident.Cell, now ident.Moment) bool {
	k := s.Cells[c]
	if k == nil || !k.Known {
		return false
	}
	age := now.Sub(k.AsOf)
	return age < CellFresh || age < s.CellStale() && !s.cellBehind(k, now)
}

func (s *State) home(addr, own string, now ident.Moment) string {
	for _, c := range s.cellNames() {
		if s.Cells[c].Table[ident.Addr(addr)] != nil && s.CellFresh(c, now) {
			return string(c)
		}
	}
	return own
}

// Address completes an announcement with what the copies here know: the cell of its address, or cell
// and address of its incarnation, and the cell's newest pulse. A sign-off by an incarnation that no
// copy here holds stays without a cell.
func (s *State) Address(a *wire.Announce, own ident.Cell, now ident.Moment) {
	if a.Addr == "" && a.Incarnation != "" {
		for _, c := range s.cellNames() {
			for p, b := range s.Cells[c].Table {
				if b.Incarnation == a.Incarnation {
					a.Addr, a.Service, a.Cell = string(p), b.Service, string(c)
				}
			}
		}
	}
	if a.Cell == "" && a.Addr != "" {
		a.Cell = s.home(a.Addr, string(own), now)
	}
	a.Epoch, a.Pulse = 0, 0
	if k := s.Cells[ident.Cell(a.Cell)]; k != nil && k.Known {
		a.Epoch, a.Pulse = uint64(k.Epoch), k.Pulse
	}
}

func (s *State) Woke(now ident.Moment) {
	if s.lastAt != 0 && now.Sub(s.lastAt) > Asleep {
		s.wokeAt = now
	}
	s.lastAt = now
}

func (s *State) Dazed(now ident.Moment) bool { return s.wokeAt != 0 && now.Sub(s.wokeAt) < Daze }

func (s *State) Confirm(c *wire.Confirm) {
	old := s.confirms[c.Member]
	if old != nil && old.Incarnation == c.Incarnation {
		last := c
		if old.Turn > c.Turn {
			last = old
		}
		if c.Staged <= old.Staged && c.Shrunk <= old.Shrunk && c.Restores <= old.Restores && last.Turn == old.Turn {
			return
		}
		c = &wire.Confirm{Member: c.Member, Incarnation: c.Incarnation, Staged: max(c.Staged, old.Staged), Shrunk: max(c.Shrunk, old.Shrunk), Turn: last.Turn, Wants: last.Wants, Restores: max(c.Restores, old.Restores)}
	}
	s.confirms[c.Member] = c
	s.changes++
	s.changed[c.Member] = s.changes
}

func (s *State) ConfirmOf(m string) *wire.Confirm { return s.confirms[m] }

func (s *State) list(from uint64) (out []*wire.Confirm, all int) {
	held := map[string]uint64{}
	for _, v := range s.Core.GetSeats() {
		held[v.Member] = v.Incarnation
	}
	for m, c := range s.confirms {
		if s.CoreKnown && held[m] != c.Incarnation && m != string(s.Self) {
			if held[m] != 0 {
				delete(s.confirms, m)
				delete(s.changed, m)
			}
			continue
		}
		if all++; s.changed[m] > from {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member < out[j].Member })
	return out, all
}

func (s *State) wanted(of ident.Member, now ident.Moment) (list []*wire.CellHave, only bool) {
	holders, epochs := map[string]string{}, map[string]uint64{}
	only = s.Control && of != "" && s.CoreKnown && len(s.Core.Holds) > 0
	for _, h := range s.Core.GetHolds() {
		holders[h.Cell], epochs[h.Cell] = h.Holder, h.Epoch
		k := s.Cells[ident.Cell(h.Cell)]
		only = only && k != nil && k.Known
	}
	for _, c := range s.cellNames() {
		k := s.Cells[c]
		if holder := holders[string(c)]; only && holder != "" && holder != string(of) && now.Sub(k.AsOf) <= Overdue {
			continue
		}
		have := k.Have()
		if s.Control {
			have.Promised = epochs[string(c)]
		}
		list = append(list, have)
	}
	return list, only
}

func (s *State) AskTo(to string, of ident.Member, now ident.Moment) {
	s.token++
	t := s.told[to]
	if t == nil {
		t = &told{}
		s.told[to] = t
	}
	if t.asks++; t.asks%WholeEvery == 0 {
		t.upto = 0
	}
	confirms, all := s.list(t.upto)
	a := &wire.Ask{Token: s.token, Have: uint64(s.DocGen), Confirms: confirms, Deltas: true, Voter: string(s.Voter)}
	if s.CoreKnown && !s.whole {
		a.Core = s.Core.Version
	}
	a.Cells, a.Only = s.wanted(of, now)
	s.asks[s.token] = ask{at: now, to: to, from: t.upto, upto: s.changes, all: all, core: a.Core, only: a.Only, have: a.Cells}
	s.out = append(s.out, wire.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Ask{Ask: a}}})
}

func (s *State) Hasten() { s.askAt = 0 }

func (s *State) cellNames() []ident.Cell {
	return ident.Keys(s.Cells)
}

func (s *State) Heard(a *wire.Ask) {
	for _, c := range a.Confirms {
		s.Confirm(c)
	}
}

func (s *State) TakeCore(core *wire.Core, doc []byte, docGen ident.Generation, asOf ident.Moment) bool {
	if core == nil {
		return false
	}
	if s.CoreKnown && core.Version < s.Core.Version {
		return false
	}
	if core.Generation > uint64(s.DocGen) {
		if uint64(docGen) != core.Generation {
			return false
		}
		s.Doc, s.DocGen = doc, docGen
		d, faults := desired.Read(doc)
		s.Desired, s.Unread = d, faults
		s.rev++
	}
	if !s.CoreKnown || core.Version > s.Core.Version {
		for _, m := range s.diff.note(s.Core, core) {
			if s.confirms[m] != nil {
				s.changes++
				s.changed[m] = s.changes
			}
		}
		s.Core = core
		s.rev++
	} else if core.LeaderAddr != s.Core.LeaderAddr || core.Term > s.Core.Term {
		s.Core = core
	}
	if !s.CoreKnown || asOf.After(s.CoreAsOf) {
		s.CoreAsOf = asOf
	}
	if s.Revoked() == nil && (!s.CoreKnown || asOf.After(s.Leased)) {
		s.Leased = asOf
	}
	s.CoreKnown = true
	return true
}

// News takes up the answer to an ask of one's own and says what it covers; nil for any other.
func (s *State) News(n *wire.News, from string, now ident.Moment) *Reading {
	a, ok := s.asks[n.Token]
	if !ok || a.to != from {
		return nil
	}
	delete(s.asks, n.Token)
	r := &Reading{Only: a.only, Cells: a.have}
	if a.bare && !n.HasCore {
		s.sounded(n, from, a.at)
		return r
	}
	s.took += (now.Sub(a.at) - s.took) / 4
	if t := s.told[from]; t != nil {
		if t.upto >= a.from {
			t.upto = max(t.upto, a.upto)
		}
		if int(n.Heard) < a.all {
			t.upto = 0
		}
	}
	at := past(a.at, n.CoreAgeNs)
	if from == s.parent {
		s.poor = !n.HasCore || now.Sub(at) > PoorAge
	}
	if n.HasCore {
		if r.Core = a.core; n.Core != nil {
			r.Core = n.Core.Version
		}
		core := s.merge(n.Core)
		if n.Core == nil && s.CoreKnown {
			core = s.Core
		}
		s.TakeCore(core, n.Doc, ident.Generation(n.DocGeneration), at)
	}
	for _, c := range n.Cells {
		k := s.Cells[ident.Cell(c.Cell)]
		if k == nil {
			k = cell.NewCopy(ident.Cell(c.Cell))
			s.Cells[k.Cell] = k
		}
		if c.Old {
			k.Remember(c)
			continue
		}
		k.Take(c, past(a.at, c.AgeNs))
	}
	return r
}

// past is the moment of news that was of an age, in nanoseconds, when an ask was answered: at the
// latest that age before the ask was sent.
func past(asked ident.Moment, ageNs int64) ident.Moment {
	return asked.Add(-time.Duration(max(0, ageNs)))
}

func (s *State) Answer(a *wire.Ask, now ident.Moment) *wire.News {
	n := &wire.News{Token: a.Token, Heard: uint32(len(s.confirms)), Newest: s.Core.GetVersion()}
	if a.Sounding {
		if s.CoreKnown {
			n.Freshness = s.freshness(now)
		}
		return n
	}
	if s.CoreKnown {
		n.HasCore = true
		n.CoreAgeNs = int64(now.Sub(s.CoreAsOf))
		if a.Core != s.Core.Version || a.Core == 0 {
			n.Core = s.coreFor(a)
		}
		if a.Have < uint64(s.DocGen) {
			n.Doc, n.DocGeneration = s.Doc, uint64(s.DocGen)
		}
	}
	have := map[string]*wire.CellHave{}
	for _, h := range a.Cells {
		have[h.Cell] = h
	}
	for _, k := range s.cellNames() {
		c := s.Cells[k]
		if !c.Known || a.Only && have[string(k)] == nil {
			continue
		}
		if h := have[string(k)]; h != nil && (h.Epoch > uint64(c.Epoch) || h.Epoch == uint64(c.Epoch) && h.Upto > c.Upto) {
			continue
		}
		n.Cells = append(n.Cells, c.News(have[string(k)], now.Sub(c.AsOf)))
	}
	return n
}

func Path(ring []*wire.Card, self ident.Member) []string {
	home := ""
	for _, c := range ring {
		if c.Id == string(self) {
			home = c.Cell
		}
	}
	var nodes, near, far []string
	at := -1
	for _, c := range ring {
		switch {
		case c.Role == member.Control && c.Cell == home:
			near = append(near, c.Addr)
		case c.Role == member.Control:
			far = append(far, c.Addr)
		case c.Cell == home:
			if c.Id == string(self) {
				at = len(nodes)
			}
			nodes = append(nodes, c.Addr)
		}
	}
	var out []string
	for i := at; i >= Roots; {
		i = (i - Roots) / Fan
		out = append(out, nodes[i])
	}
	return append(append(out, turned(near, self)...), turned(far, self)...)
}

func turned(heads []string, self ident.Member) []string {
	if len(heads) == 0 {
		return nil
	}
	k := int(ident.Hash(string(self)) % uint64(len(heads)))
	return append(append([]string(nil), heads[k:]...), heads[:k]...)
}

func (s *State) Tick(ring []*wire.Card, rev uint64, targets []string, now ident.Moment) {
	s.overdue(now)
	s.forgetSources(now)
	if !s.Eager && len(targets) > 0 && s.fallsBack(now) {
		s.fallBack(targets, now)
		if s.coreLate(now) {
			return
		}
	}
	every := AskEvery
	if s.Eager {
		every = EagerEvery
	}
	if now.Sub(s.askAt) < every {
		return
	}
	s.askAt = now
	if s.Control {
		who := map[string]ident.Member{}
		for _, c := range ring {
			who[c.Addr] = ident.Member(c.Id)
		}
		for _, t := range targets {
			if s.waits(t) < s.most() {
				s.AskTo(t, who[t], now)
			}
		}
		return
	}
	if s.Eager && len(targets) > 0 {
		s.start(targets, now)
		return
	}
	s.askParent(ring, rev, targets, now)
}

// askParent asks the next process up the tree, and climbs past one whose news is old or that is late.
func (s *State) askParent(ring []*wire.Card, rev uint64, targets []string, now ident.Moment) {
	path := Path(ring, s.Self)
	if rev != s.ringRev || now.Sub(s.climbAt) > ClimbFor {
		s.ringRev = rev
		s.climbAt = now
		s.climb = 0
	}
	if s.poor {
		s.climb++
		s.climbAt = now
		s.poor = false
	}
	if len(path) == 0 {
		path = targets
	}
	if len(path) == 0 {
		return
	}
	if s.parent = path[s.climb%len(path)]; s.waits(s.parent) < s.most() {
		s.AskTo(s.parent, "", now)
	}
}

func (s *State) overdue(now ident.Moment) {
	wait := min(max(AskWait, 4*s.took), AskPatience)
	for t, a := range s.asks {
		switch {
		case now.Sub(a.at) > AskKept:
			delete(s.asks, t)
		case !a.late && now.Sub(a.at) > wait:
			a.late = true
			s.asks[t] = a
			if a.to == s.parent {
				s.poor = true
			}
		}
	}
}

func (s *State) most() int {
	if s.Eager {
		return EagerAsks
	}
	return 1
}

func (s *State) waits(to string) int {
	n := 0
	for _, a := range s.asks {
		if a.to == to && !a.late {
			n++
		}
	}
	return n
}

func (s *State) Flush() []wire.Send {
	out := s.out
	s.out = nil
	return out
}
