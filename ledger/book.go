// Package ledger is the replicated state machine of the control plane: versions of the desired
// configuration, the seats of data plane nodes, the holders of cells, claims of idempotency keys and
// changes held back by blackout periods. It also limits the slots of each lane so that the nodes
// together stay under a backend's connection cap while the configuration changes.
package ledger

import (
	"bytes"
	"sort"

	"github.com/ansel1/merry/v2"
	"github.com/gammazero/deque"
	"google.golang.org/protobuf/proto"

	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

// Code is the outcome of a proposed change. The numbers are sent in wire.ProposeReply.
type Code uint32

const (
	Done Code = iota
	// NotLeader is the answer of a control process that doesn't lead; no log entry has it as a result.
	NotLeader
	// Stale means that the state on which the change is based is no longer the newest one.
	Stale
	// Invalid also means that another change was already sent under the same ID or key.
	Invalid
	NoSeat
	// Claimed means that another request holds the claim.
	Claimed
	// TooManyClaims means that MaxClaims are kept already.
	TooManyClaims
	// Lost means that the outcome is unknown, or that the claim was released in the meantime.
	Lost
	Waiting
	// Held means that the change waits for the end of a blackout period.
	Held
	// NoLogSpace means that the on-disk log ring has no room for the change.
	NoLogSpace
)

func (c Code) String() string {
	names := [...]string{"done", "not leader", "stale", "invalid", "no seat", "claimed", "full", "lost", "waiting", "held", "no room"}
	return names[min(int(c), len(names)-1)]
}

const (
	// MaxHistoryEntries and MaxHistoryBytes bound the configuration documents that are kept; the newest one
	// is always kept.
	MaxHistoryEntries = 64
	MaxHistoryBytes   = 2 << 20
	MaxClaims         = 131072
	ClaimLifetimeMs   = 15 * 60 * 1000
	// ClaimReleased is the status of a claim whose request was not sent to a backend.
	ClaimReleased = 1
)

// ErrSnapshot is returned for a snapshot that cannot be decoded.
var ErrSnapshot = merry.Sentinel("ledger: snapshot is unreadable")

// Result is the outcome of a log entry.
type Result struct {
	Code       Code
	Generation ident.Generation
	Seat       ident.Seat
	RequestID  ident.RequestID
	Status     uint32
	Faults     []desired.Fault
	// QueuePosition is the position of the change in the queue of held changes.
	QueuePosition uint64
}

// LaneKey identifies the slots of a lane at a service; those of a service's health probes have no lane.
type LaneKey struct {
	Lane    ident.Lane
	Service ident.Service
}

// StateMachine is the replicated state. It depends on nothing but the log entries applied to it.
type StateMachine struct {
	// TimestampMs is the newest timestamp of an applied log entry, in milliseconds.
	TimestampMs uint64
	Index       ident.Index
	// Version counts the changes of the core, the part of the state that all processes receive.
	Version    uint64
	Generation ident.Generation
	// EffectiveGeneration is the newest version of the configuration that is in effect on all nodes.
	EffectiveGeneration ident.Generation
	// ExpandedGeneration is the newest version whose additional slots may be used, since no node uses more
	// slots than it allows.
	ExpandedGeneration ident.Generation
	// Epoch is the newest epoch given to a holder of a cell.
	Epoch   ident.Epoch
	History []*wire.DesiredLine
	// Seats are the nodes' numbered shares of each backend's capacity.
	Seats         map[ident.Seat]*wire.Seat
	RevokedLeases map[ident.Seat]*wire.Revoked
	CellHolders   map[ident.Cell]*wire.Hold
	Claims        map[string]*wire.ClaimLine
	Trial         *wire.Trial
	// HeldChanges are the changes held back by blackout periods, in the order of their arrival.
	HeldChanges []*wire.Held
	// BlackoutPeriods are the blackout periods by region, at most one each.
	BlackoutPeriods map[string]*wire.Period
	// QueueVersion counts the changes of the held queue and of the blackout periods.
	QueueVersion uint64
	// QueueTail is the position given last in the held queue.
	QueueTail uint64
	// HighestHeldEdition is the highest edition of any change that was ever held.
	HighestHeldEdition uint64

	// claimOrder lists the claims oldest first, also those replaced since.
	claimOrder        deque.Deque[*wire.ClaimLine]
	parsedStates      map[ident.Generation]*desired.State
	cachedCore        *wire.Core
	changeRecords     map[[16]byte]*ChangeRecord
	changeRecordOrder deque.Deque[*ChangeRecord]
	slotMinimums      map[LaneKey]*slidingMinimum
	seatMinimum       *slidingMinimum
}

func NewStateMachine() *StateMachine {
	return &StateMachine{
		Seats:           map[ident.Seat]*wire.Seat{},
		RevokedLeases:   map[ident.Seat]*wire.Revoked{},
		CellHolders:     map[ident.Cell]*wire.Hold{},
		Claims:          map[string]*wire.ClaimLine{},
		BlackoutPeriods: map[string]*wire.Period{},
		parsedStates:    map[ident.Generation]*desired.State{},
		changeRecords:   map[[16]byte]*ChangeRecord{},
		slotMinimums:    map[LaneKey]*slidingMinimum{},
		seatMinimum:     newSlidingMinimum(0),
	}
}

// Apply applies a committed log entry.
func (b *StateMachine) Apply(e *wire.Entry) Result {
	b.Index = ident.Index(e.Index)
	if e.Stamp > b.TimestampMs {
		b.TimestampMs = e.Stamp
	}
	b.expireClaims()
	switch c := e.Change.GetBody().(type) {
	case *wire.Change_SetDesired:
		return b.applySetDesired(c.SetDesired)
	case *wire.Change_Mark:
		return b.applyMark(c.Mark)
	case *wire.Change_SeatTake:
		return b.applySeatTake(c.SeatTake)
	case *wire.Change_SeatFree:
		return b.applySeatFree(c.SeatFree)
	case *wire.Change_CellHold:
		return b.applyCellHold(c.CellHold)
	case *wire.Change_Claim:
		return b.applyClaim(c.Claim)
	case *wire.Change_Release:
		return b.applyRelease(c.Release)
	case *wire.Change_Outcome:
		return b.applyOutcome(c.Outcome)
	case *wire.Change_HoldBack:
		return b.applyHoldBack(c.HoldBack)
	case *wire.Change_TakeOut:
		return b.applyTakeOut(c.TakeOut)
	case *wire.Change_PeriodTurn:
		return b.applyPeriodTurn(c.PeriodTurn)
	case *wire.Change_Land:
		return b.applyLand(c.Land)
	case *wire.Change_Roster:
		b.bumpVersion()
	case *wire.Change_Noop:
		b.bumpVersion()
		b.applySeatMarks(c.Noop)
	}
	return Result{}
}

// bumpVersion marks the core as changed.
func (b *StateMachine) bumpVersion() {
	b.Version++
	b.cachedCore = nil
}

// HistoryEntry returns the history entry of a version, or nil if its document is no longer kept.
func (b *StateMachine) HistoryEntry(generation ident.Generation) *wire.DesiredLine {
	for i := len(b.History) - 1; i >= 0; i-- {
		if b.History[i].Generation == uint64(generation) {
			return b.History[i]
		}
	}
	return nil
}

// DesiredState returns the parsed configuration of a version; nil if it is no longer kept or is invalid.
func (b *StateMachine) DesiredState(generation ident.Generation) *desired.State {
	if state := b.parsedStates[generation]; state != nil {
		return state
	}
	entry := b.HistoryEntry(generation)
	if entry == nil {
		return nil
	}
	state, faults := desired.Read(entry.Doc)
	if len(faults) > 0 {
		return nil
	}
	b.parsedStates[generation] = state
	return state
}

// EditionOf returns the edition of a version: the number that its author wrote in the document, 0 for none.
func (b *StateMachine) EditionOf(generation ident.Generation) uint64 {
	if state := b.DesiredState(generation); state != nil {
		return state.Edition
	}
	if entry := b.HistoryEntry(generation); entry != nil {
		return desired.EditionOf(entry.Doc)
	}
	return b.recordedEdition(generation)
}

func (b *StateMachine) applySetDesired(c *wire.SetDesired) Result {
	if record := b.ChangeRecordOf(c.ChangeId); record != nil {
		return record.repeatedResult(c.Sum)
	}
	if !b.basisMatches(c.Basis, c.Turn) {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.Trial = nil
	kind := KindApplied
	switch {
	case c.Withdraw:
		kind = KindTrialWithdrawn
	case len(c.Only) > 0:
		kind = KindTrial
		b.Trial = &wire.Trial{ChangeId: c.ChangeId, Basis: c.Basis, Doc: c.Doc, Only: c.Only}
	default:
		b.appendGeneration(&wire.DesiredLine{ChangeId: c.ChangeId, Doc: c.Doc, Author: c.Author})
	}
	b.recordChange(c.ChangeId, ChangeRecord{Checksum: c.Sum, Kind: kind, Generation: uint64(b.Generation), Edition: b.EditionOf(b.Generation)})
	b.bumpVersion()
	return Result{Generation: b.Generation}
}

func (b *StateMachine) applyMark(c *wire.Mark) Result {
	if g := ident.Generation(c.InForce); g > b.EffectiveGeneration && g <= b.Generation {
		b.EffectiveGeneration = g
		b.bumpVersion()
	}
	if g := ident.Generation(c.Grown); g > b.ExpandedGeneration && g <= b.Generation {
		b.ExpandedGeneration = g
		b.trimMinimums()
		b.bumpVersion()
	}
	return Result{}
}

// SeatWithinLimit tells whether a seat is among the seats that the core allows. A seat beyond them has no
// slots.
func SeatWithinLimit(c *wire.Core, s *wire.Seat) bool { return s.Seat < c.SeatCount }

// LaneSlots returns the slots that a configuration gives each seat, by lane; those of a service's health
// probes have an empty lane.
func LaneSlots(state *desired.State) map[LaneKey]int {
	slots := map[LaneKey]int{}
	for name, lane := range state.Lanes {
		slots[LaneKey{name, lane.Service}] = lane.Slots
	}
	for name, service := range state.Services {
		if service.Probe.Slots > 0 {
			slots[LaneKey{"", name}] = service.Probe.Slots
		}
	}
	return slots
}

// SeatByAddress returns the seat taken at an address, or nil.
func (b *StateMachine) SeatByAddress(addr ident.Addr) *wire.Seat {
	for _, seat := range b.Seats {
		if seat.Addr == string(addr) {
			return seat
		}
	}
	return nil
}

func (b *StateMachine) applySeatTake(c *wire.SeatTake) Result {
	if seat := b.SeatByAddress(ident.Addr(c.Addr)); seat != nil {
		if seat.Incarnation != c.Incarnation || seat.Member != c.Member {
			if seat.Incarnation != c.Basis {
				return Result{Code: Stale}
			}
			delete(b.RevokedLeases, ident.Seat(seat.Seat))
			b.Seats[ident.Seat(seat.Seat)] = &wire.Seat{Seat: seat.Seat, Member: c.Member, Addr: c.Addr, Incarnation: c.Incarnation, Heeds: c.Heeds}
			b.bumpVersion()
		}
		return Result{Seat: ident.Seat(seat.Seat)}
	}
	if c.Basis != 0 {
		return Result{Code: Stale}
	}
	count := b.SeatCount()
	for i := 0; i < count; i++ {
		number := ident.Seat(i)
		if b.Seats[number] == nil {
			b.Seats[number] = &wire.Seat{Seat: uint32(i), Member: c.Member, Addr: c.Addr, Incarnation: c.Incarnation, Heeds: c.Heeds}
			b.bumpVersion()
			return Result{Seat: number}
		}
	}
	return Result{Code: NoSeat}
}

func (b *StateMachine) applySeatFree(c *wire.SeatFree) Result {
	seat := b.Seats[ident.Seat(c.Seat)]
	if seat == nil || seat.Member != c.Member || seat.Incarnation != c.Incarnation {
		return Result{Code: Stale}
	}
	delete(b.Seats, ident.Seat(c.Seat))
	delete(b.RevokedLeases, ident.Seat(c.Seat))
	b.bumpVersion()
	return Result{}
}

func (b *StateMachine) applyCellHold(c *wire.CellHold) Result {
	previous := b.CellHolders[ident.Cell(c.Cell)]
	if previous != nil && previous.Epoch != c.Basis || previous == nil && c.Basis != 0 {
		return Result{Code: Stale}
	}
	b.Epoch++
	next := &wire.Hold{Cell: c.Cell, Holder: c.Holder, Incarnation: c.Incarnation, Epoch: uint64(b.Epoch), Before: c.Basis, Addr: c.Addr, Since: uint64(b.Epoch)}
	if previous != nil && previous.Since != 0 && previous.Holder == c.Holder && previous.Addr == c.Addr {
		next.Since = previous.Since
	}
	b.CellHolders[ident.Cell(c.Cell)] = next
	b.bumpVersion()
	return Result{}
}

// expireClaims drops the claims that are older than ClaimLifetimeMs.
func (b *StateMachine) expireClaims() {
	for b.claimOrder.Len() > 0 {
		oldest := b.claimOrder.Front()
		if oldest.Stamp+ClaimLifetimeMs > b.TimestampMs {
			return
		}
		b.claimOrder.PopFront()
		if b.Claims[string(oldest.Key)] == oldest {
			delete(b.Claims, string(oldest.Key))
		}
	}
}

func (b *StateMachine) applyClaim(c *wire.Claim) Result {
	if claim := b.Claims[string(c.Key)]; claim != nil && claim.Status == ClaimReleased {
		if claim.Visit == c.Visit {
			return Result{Code: Lost, RequestID: ident.RequestID(claim.Visit)}
		}
	} else if claim != nil {
		if claim.Visit == c.Visit {
			return Result{RequestID: ident.RequestID(claim.Visit), Status: claim.Status}
		}
		if !bytes.Equal(claim.Body, c.Body) {
			return Result{Code: Invalid, RequestID: ident.RequestID(claim.Visit), Status: claim.Status}
		}
		return Result{Code: Claimed, RequestID: ident.RequestID(claim.Visit), Status: claim.Status}
	}
	if b.claimOrder.Len() >= MaxClaims {
		return Result{Code: TooManyClaims}
	}
	claim := &wire.ClaimLine{Key: c.Key, Visit: c.Visit, Body: c.Body, Stamp: b.TimestampMs}
	b.Claims[string(c.Key)] = claim
	b.claimOrder.PushBack(claim)
	return Result{RequestID: ident.RequestID(c.Visit)}
}

func (b *StateMachine) applyRelease(c *wire.Release) Result {
	claim := b.Claims[string(c.Key)]
	if claim == nil {
		claim = &wire.ClaimLine{Key: c.Key, Visit: c.Visit, Stamp: b.TimestampMs}
		b.Claims[string(c.Key)] = claim
		b.claimOrder.PushBack(claim)
	}
	if claim.Visit == c.Visit && claim.Status == 0 {
		claim.Status = ClaimReleased
	}
	return Result{}
}

func (b *StateMachine) applyOutcome(c *wire.Outcome) Result {
	claim := b.Claims[string(c.Key)]
	if claim == nil || claim.Visit != c.Visit {
		return Result{Code: Stale}
	}
	claim.Status = c.Status
	return Result{}
}

// Core returns the part of the state that all processes receive. The caller must not modify it.
func (b *StateMachine) Core() *wire.Core {
	if b.cachedCore != nil {
		return b.cachedCore
	}
	core := &wire.Core{Version: b.Version, Generation: uint64(b.Generation), InForce: uint64(b.EffectiveGeneration), Grown: uint64(b.ExpandedGeneration), SeatCount: uint32(max(0, b.SeatCount())), Trial: b.Trial}
	for _, s := range b.Seats {
		core.Seats = append(core.Seats, s)
	}
	sort.Slice(core.Seats, func(i, j int) bool { return core.Seats[i].Seat < core.Seats[j].Seat })
	for _, k := range ident.SortedKeys(b.RevokedLeases) {
		core.Revoked = append(core.Revoked, b.RevokedLeases[k])
	}
	for _, h := range b.CellHolders {
		core.Holds = append(core.Holds, h)
	}
	sort.Slice(core.Holds, func(i, j int) bool { return core.Holds[i].Cell < core.Holds[j].Cell })
	for k, v := range b.LaneSlotLimits() {
		core.Floors = append(core.Floors, &wire.Floor{Lane: string(k.Lane), Service: string(k.Service), Slots: uint32(v)})
	}
	sort.Slice(core.Floors, func(i, j int) bool {
		return core.Floors[i].Lane < core.Floors[j].Lane || core.Floors[i].Lane == core.Floors[j].Lane && core.Floors[i].Service < core.Floors[j].Service
	})
	b.cachedCore = core
	return core
}

// EncodeSnapshot encodes the state for a snapshot. Equal states give equal bytes on all voters.
func (b *StateMachine) EncodeSnapshot() []byte {
	image := &wire.Image{Stamp: b.TimestampMs, Index: uint64(b.Index), Version: b.Version, Generation: uint64(b.Generation), InForce: uint64(b.EffectiveGeneration), Grown: uint64(b.ExpandedGeneration), Epoch: uint64(b.Epoch), History: b.History, Trial: b.Trial, Held: b.HeldChanges, Turn: b.QueueVersion, Tail: b.QueueTail, Floor: b.HighestHeldEdition, Format: snapshotFormat, Keys: b.encodeChangeRecords()}
	image.Floors, image.SeatCount = b.encodeMinimums()
	for _, region := range ident.SortedKeys(b.BlackoutPeriods) {
		image.Periods = append(image.Periods, b.BlackoutPeriods[region])
	}
	core := b.Core()
	image.Seats, image.Holds, image.Revoked = core.Seats, core.Holds, core.Revoked
	for i := 0; i < b.claimOrder.Len(); i++ {
		if claim := b.claimOrder.At(i); b.Claims[string(claim.Key)] == claim {
			image.Claims = append(image.Claims, claim)
		}
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(image)
	if err != nil {
		panic(err)
	}
	return encoded
}

// RestoreStateMachine restores the state from a snapshot that EncodeSnapshot wrote.
func RestoreStateMachine(encoded []byte) (*StateMachine, error) {
	image := &wire.Image{}
	if err := proto.Unmarshal(encoded, image); err != nil {
		return nil, merry.Wrap(ErrSnapshot, merry.WithCause(err))
	}
	b := NewStateMachine()
	b.TimestampMs, b.Index, b.Version = image.Stamp, ident.Index(image.Index), image.Version
	b.Generation, b.EffectiveGeneration, b.ExpandedGeneration = ident.Generation(image.Generation), ident.Generation(image.InForce), ident.Generation(image.Grown)
	b.Epoch, b.History, b.Trial = ident.Epoch(image.Epoch), image.History, image.Trial
	b.HeldChanges, b.QueueVersion, b.QueueTail, b.HighestHeldEdition = image.Held, image.Turn, image.Tail, image.Floor
	for _, p := range image.Periods {
		b.BlackoutPeriods[p.Region] = p
	}
	for _, s := range image.Seats {
		b.Seats[ident.Seat(s.Seat)] = s
	}
	for _, r := range image.Revoked {
		b.RevokedLeases[ident.Seat(r.Seat)] = r
	}
	for _, h := range image.Holds {
		b.CellHolders[ident.Cell(h.Cell)] = h
	}
	for _, l := range image.Claims {
		b.Claims[string(l.Key)] = l
		b.claimOrder.PushBack(l)
	}
	if image.Format == 0 {
		b.restoreFromHistory(image)
		return b, nil
	}
	if image.Format > snapshotFormat {
		return nil, merry.Prependf(ErrSnapshot, "format %d was written by a newer build", image.Format)
	}
	if !b.decodeChangeRecords(image.Keys) || !b.decodeMinimums(image.Floors, image.SeatCount) {
		return nil, ErrSnapshot
	}
	return b, nil
}
