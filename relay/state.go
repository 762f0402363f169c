// Package relay distributes the core (the part of the replicated state that all processes need) and the
// backend tables of the cells down a tree of members, and confirmations up it. Processes poll each other;
// all data carries its age. The package also sends proposed changes to the leader.
package relay

import (
	"time"

	"sloeturn/cell"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	// PollInterval is how often the next process up the tree is polled, StartPollInterval how often while
	// starting.
	PollInterval      = 150 * time.Millisecond
	StartPollInterval = 50 * time.Millisecond
	// MinPollTimeout and MaxPollTimeout bound the time after which a poll counts as late; a late answer
	// is still used within PollRetention.
	MinPollTimeout = 300 * time.Millisecond
	MaxPollTimeout = 2 * time.Second
	PollRetention  = 5 * time.Second
	// InitialResponseTime is the response time that is assumed before the first answer.
	InitialResponseTime = 150 * time.Millisecond
	// MaxStartPolls is how many polls a process that starts has under way at any other.
	MaxStartPolls = 3
	// DirectPollTimeout is how long a direct poll keeps the next one waiting.
	DirectPollTimeout = 300 * time.Millisecond
	// CellOverdueAge is the age from which a cell's data is requested also from others than its holder.
	CellOverdueAge = 3 * PollInterval
	// FullConfirmsEvery is the number of polls after which all confirmations are sent again.
	FullConfirmsEvery = 8

	// RootsPerCell is how many nodes of a cell poll control processes, FanOut how many poll each of the
	// other nodes.
	RootsPerCell = 2
	FanOut       = 4
	// StaleParentAge is the age of a parent's core from which another process is polled, for
	// PathOffsetDuration.
	StaleParentAge     = time.Second
	PathOffsetDuration = 5 * time.Second

	// DefaultLease is the lease of a node by default, HolderLease the time within which a holder of a cell
	// must have received the core, and CellFreshFor the age up to which data of a cell is used whatever
	// other processes know.
	DefaultLease = 5 * time.Second
	HolderLease  = 1200 * time.Millisecond
	CellFreshFor = 1500 * time.Millisecond

	// PauseThreshold is the gap between two ticks from which the process counts as paused, and as recently
	// paused for PauseRecovery after it.
	PauseThreshold = 400 * time.Millisecond
	PauseRecovery  = time.Second
)

// State is what one process knows of the core and the cells, and whom it polls for newer data.
type State struct {
	Self        ident.Member
	Incarnation ident.Incarnation
	Voter       ident.Voter
	// Control is set for a control process.
	Control       bool
	LeaseDuration time.Duration
	// StaleAfter is how long the process may serve on its last core; at least the lease.
	StaleAfter time.Duration
	// Starting is set while the process starts; it then polls more often.
	Starting bool

	Core *wire.Core
	// CoreAsOf is the moment as of which the core was current, LeaseRenewedAt the same of the last core
	// that did not revoke the lease of this process.
	CoreAsOf       ident.Moment
	LeaseRenewedAt ident.Moment
	CoreKnown      bool
	// Document is the configuration document, Desired what was read from it, and DocumentFaults why parts
	// of it could not be read.
	Document           []byte
	DocumentGeneration ident.Generation
	Desired            *desired.State
	DocumentFaults     []desired.Fault
	Cells              map[ident.Cell]*cell.Replica

	sources          []*source
	directPollAt     map[string]ident.Moment
	probeRoundAt     ident.Moment
	coreChanges      coreChanges
	needsFullCore    bool
	confirms         map[string]*wire.Confirm
	confirmSequence  uint64
	confirmChangedAt map[string]uint64
	peers            map[string]*peerProgress
	polls            map[uint64]poll
	tokens           ident.Tokens
	responseTime     time.Duration
	lastPollAt       ident.Moment
	rotation         int
	pathOffset       int
	pathOffsetAt     ident.Moment
	memberRevision   uint64
	parent           string
	parentStale      bool
	lastTickAt       ident.Moment
	pauseEndedAt     ident.Moment
	revision         uint64
	out              []wire.Send

	// StrayAnswers counts answers to no poll under way, or from another process than was polled.
	StrayAnswers uint64
}

// New returns the state of a process that knows no core yet.
func New(self ident.Member, incarnation ident.Incarnation, control bool) *State {
	return &State{Self: self, Incarnation: incarnation, Control: control, LeaseDuration: DefaultLease, StaleAfter: DefaultLease, Cells: map[ident.Cell]*cell.Replica{}, confirms: map[string]*wire.Confirm{}, confirmChangedAt: map[string]uint64{}, peers: map[string]*peerProgress{}, polls: map[uint64]poll{}, tokens: ident.NewTokens(incarnation), directPollAt: map[string]ident.Moment{}, responseTime: InitialResponseTime}
}

// Revision changes whenever the core or a cell table changes.
func (s *State) Revision() uint64 {
	revision := s.revision
	for _, table := range s.Cells {
		revision += table.Revision()
	}
	return revision
}

// CoreFresh tells whether this process may still serve by the core that it knows.
func (s *State) CoreFresh(now ident.Moment) bool {
	return s.CoreKnown && now.Sub(s.LeaseRenewedAt) < s.StaleAfter
}

// LeaseExpiry is the moment until which no newer configuration can be in effect; 0 before a core is known.
func (s *State) LeaseExpiry() ident.Moment {
	if !s.CoreKnown {
		return 0
	}
	return s.LeaseRenewedAt.Add(s.LeaseDuration)
}

// LeaseValid tells whether this process is within its lease.
func (s *State) LeaseValid(now ident.Moment) bool { return now.Before(s.LeaseExpiry()) }

// Revoked returns the revocation of this process's own seat in the newest core that it knows, or nil.
func (s *State) Revoked() *wire.Revoked {
	for _, revoked := range s.Core.GetRevoked() {
		if revoked.Member == string(s.Self) && revoked.Incarnation == uint64(s.Incarnation) {
			return revoked
		}
	}
	return nil
}

// SetLease sets the duration of the lease, and how long the process may serve on data that is older; at
// least the lease.
func (s *State) SetLease(lease, stale time.Duration) {
	if lease > 0 {
		s.LeaseDuration = lease
	}
	s.StaleAfter = max(stale, s.LeaseDuration)
}

// CellStaleAfter is the age from which data of a cell is not used at all.
func (s *State) CellStaleAfter() time.Duration {
	if s.StaleAfter > s.LeaseDuration {
		return s.StaleAfter
	}
	return CellFreshFor
}

// CellFresh tells whether this process may act on what it knows of a cell: on data younger than
// CellFreshFor, and on older data, up to CellStaleAfter, only while no process that answers knows a newer
// table. A process with a newer table may have acknowledged that a backend leaves.
func (s *State) CellFresh(name ident.Cell, now ident.Moment) bool {
	table := s.Cells[name]
	if table == nil || !table.Known {
		return false
	}
	age := now.Sub(table.AsOf)
	return age < CellFreshFor || age < s.CellStaleAfter() && !s.cellBehind(table, now)
}

// cellOf returns the cell in which an address is registered, or the own cell.
func (s *State) cellOf(addr, own string, now ident.Moment) string {
	for _, name := range s.cellNames() {
		if s.Cells[name].Backends[ident.Addr(addr)] != nil && s.CellFresh(name, now) {
			return string(name)
		}
	}
	return own
}

// CompleteAnnouncement fills in what the copies here know: the cell of the address, or the cell and
// address of the incarnation, and the newest pulse (heartbeat count) of the cell. A deregistration of an
// incarnation that no copy here holds stays without a cell.
func (s *State) CompleteAnnouncement(announcement *wire.Announce, own ident.Cell, now ident.Moment) {
	if announcement.Addr == "" && announcement.Incarnation != "" {
		for _, name := range s.cellNames() {
			for addr, backend := range s.Cells[name].Backends {
				if backend.Incarnation == announcement.Incarnation {
					announcement.Addr, announcement.Service, announcement.Cell = string(addr), backend.Service, string(name)
				}
			}
		}
	}
	if announcement.Cell == "" && announcement.Addr != "" {
		announcement.Cell = s.cellOf(announcement.Addr, string(own), now)
	}
	announcement.Epoch, announcement.Pulse = 0, 0
	if table := s.Cells[ident.Cell(announcement.Cell)]; table != nil && table.Known {
		announcement.Epoch, announcement.Pulse = uint64(table.Epoch), table.Pulse
	}
}

// ObserveTick notices a pause of the process between two ticks.
func (s *State) ObserveTick(now ident.Moment) {
	if s.lastTickAt != 0 && now.Sub(s.lastTickAt) > PauseThreshold {
		s.pauseEndedAt = now
	}
	s.lastTickAt = now
}

// RecentlyPaused tells whether a pause of the process ended less than PauseRecovery ago.
func (s *State) RecentlyPaused(now ident.Moment) bool {
	return s.pauseEndedAt != 0 && now.Sub(s.pauseEndedAt) < PauseRecovery
}

func (s *State) cellNames() []ident.Cell {
	return ident.SortedKeys(s.Cells)
}

// Flush returns the messages to send since the last call.
func (s *State) Flush() []wire.Send {
	out := s.out
	s.out = nil
	return out
}
