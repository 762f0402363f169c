// Package relay carries the core and the cells' tables down the tree of members, and confirmations up it,
// each with its age.
package relay

import (
	"time"

	"sloeturn/cell"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	// AskEvery is how often the next process up the tree is asked, EagerEvery how often while starting.
	AskEvery   = 150 * time.Millisecond
	EagerEvery = 50 * time.Millisecond
	// AskWait and AskPatience bound how long an answer is waited for before an ask counts as late; a late
	// answer still counts for AskKept.
	AskWait     = 300 * time.Millisecond
	AskPatience = 2 * time.Second
	AskKept     = 5 * time.Second
	// FirstTook is what an answer is thought to take before any has come.
	FirstTook = 150 * time.Millisecond
	// EagerAsks is how many asks a process that starts has under way at one other.
	EagerAsks = 3
	// SourceWait is how long a direct ask keeps the next one waiting.
	SourceWait = 300 * time.Millisecond
	// Overdue is the age from which a cell's news is asked of others than its holder too.
	Overdue = 3 * AskEvery
	// WholeEvery is after how many asks all confirms are sent anew.
	WholeEvery = 8

	// Roots is how many nodes of a cell ask control processes, Fan how many ask each of the others.
	Roots = 2
	Fan   = 4
	// PoorAge is the age of a parent's core from which another is asked, for ClimbFor.
	PoorAge  = time.Second
	ClimbFor = 5 * time.Second

	// CoreLease is the default lease, CellLease the time within which a holder must have heard of the
	// core, and CellFresh the age up to which news of a cell is used whatever others know.
	CoreLease = 5 * time.Second
	CellLease = 1200 * time.Millisecond
	CellFresh = 1500 * time.Millisecond

	// Asleep is a pause between two events after which a process counts as having stood still, Dazed for
	// Daze.
	Asleep = 400 * time.Millisecond
	Daze   = time.Second
)

// State is what one process knows of the core and the cells, and whom it asks for newer.
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
	tokens   ident.Tokens
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

	// StrayAnswers counts news for no ask under way, or from another than was asked.
	StrayAnswers uint64
}

func New(self ident.Member, life ident.Incarnation, control bool) *State {
	return &State{Self: self, Life: life, Control: control, LeaseFor: CoreLease, Stale: CoreLease, Cells: map[ident.Cell]*cell.Copy{}, confirms: map[string]*wire.Confirm{}, changed: map[string]uint64{}, told: map[string]*told{}, asks: map[uint64]ask{}, tokens: ident.NewTokens(life), directAt: map[string]ident.Moment{}, took: FirstTook}
}

func (s *State) Revision() uint64 {
	n := s.rev
	for _, c := range s.Cells {
		n += c.Revision()
	}
	return n
}

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

func (s *State) cellNames() []ident.Cell {
	return ident.Keys(s.Cells)
}

func (s *State) Flush() []wire.Send {
	out := s.out
	s.out = nil
	return out
}
