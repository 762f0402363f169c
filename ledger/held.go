package ledger

import (
	"fmt"
	"slices"
	"sort"

	"sloeturn/wire"
)

// Bounds of the changes that blackout periods hold back, in number and in bytes of their patches.
const (
	MaxHeldChanges = 256
	MaxHeldBytes   = 4 << 20
)

// Kinds of changes of a blackout period. A period is opened in doubt while the clocks of a minority of
// the voters are still well before its start; only such a period can be canceled.
const (
	PeriodOpened = iota + 1
	PeriodExtended
	PeriodClosed
	PeriodCanceled
	PeriodOpenedInDoubt
)

// OpenPeriod returns the blackout period that is open in a region, or nil.
func (b *StateMachine) OpenPeriod(region string) *wire.Period {
	if period := b.BlackoutPeriods[region]; period != nil && period.Open {
		return period
	}
	return nil
}

// RegionsInBlackout returns the regions in which a blackout period is open, sorted.
func (b *StateMachine) RegionsInBlackout() []string {
	var regions []string
	for region, period := range b.BlackoutPeriods {
		if period.Open {
			regions = append(regions, region)
		}
	}
	sort.Strings(regions)
	return regions
}

// HeldChangeAt returns the held change at a position in the queue, or nil; changes in effect are passed
// over.
func (b *StateMachine) HeldChangeAt(place uint64) *wire.Held {
	for _, held := range b.HeldChanges {
		if held.Place == place && !held.Applied {
			return held
		}
	}
	return nil
}

// HeldChangeRemoved tells whether a request with this ID removed a change from the held queue.
func (b *StateMachine) HeldChangeRemoved(id string) bool {
	record := b.ChangeRecordOf(id)
	return record != nil && record.Kind == KindHeldRemoved
}

// BasisTail returns the end of the held queue that a change must be based on, beside the version of the
// configuration; 0 when nothing is held.
func (b *StateMachine) BasisTail() uint64 {
	if len(b.HeldChanges) == 0 {
		return 0
	}
	return b.QueueTail
}

// LatestEdition returns the edition that the configuration has once all held changes are in effect.
func (b *StateMachine) LatestEdition() uint64 {
	for i := len(b.HeldChanges) - 1; i >= 0; i-- {
		if edition := b.HeldChanges[i].Edition; edition > 0 {
			return edition
		}
	}
	return b.EditionOf(b.Generation)
}

// HeldBytes returns the total size of the held patches.
func (b *StateMachine) HeldBytes() int {
	total := 0
	for _, held := range b.HeldChanges {
		total += len(held.Patch)
	}
	return total
}

// appendGeneration adds a version of the configuration and drops old documents beyond the bounds of the
// history.
func (b *StateMachine) appendGeneration(entry *wire.DesiredLine) {
	b.Generation++
	entry.Generation, entry.Stamp = uint64(b.Generation), b.TimestampMs
	b.History = append(b.History, entry)
	bytes, first := len(entry.Doc), len(b.History)-1
	for first > 0 && len(b.History)-first < MaxHistoryEntries && bytes+len(b.History[first-1].Doc) <= MaxHistoryBytes {
		first--
		bytes += len(b.History[first].Doc)
	}
	b.History = append([]*wire.DesiredLine(nil), b.History[first:]...)
	clear(b.parsedStates)
	b.pushCurrentGeneration()
}

// basisMatches tells whether a change is based on the newest configuration and held queue.
func (b *StateMachine) basisMatches(basis, turn uint64) bool {
	return basis == uint64(b.Generation) && turn == b.QueueVersion
}

// applyHoldBack appends a change to the held queue. A change with a document takes effect at once; it is
// queued as well while others are held, so that they are later applied on top of it.
func (b *StateMachine) applyHoldBack(c *wire.HoldBack) Result {
	if c.Held == nil {
		return Result{Code: Invalid, Generation: b.Generation}
	}
	if record := b.ChangeRecordOf(c.Held.ChangeId); record != nil {
		return record.repeatedResult(c.Sum)
	}
	if !b.basisMatches(c.Basis, c.Turn) {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.QueueVersion++
	b.HighestHeldEdition = max(b.HighestHeldEdition, c.Held.Edition)
	applied := len(c.Doc) > 0
	if !applied || len(b.HeldChanges) > 0 {
		b.QueueTail++
		held := c.Held
		b.HeldChanges = append(b.HeldChanges, &wire.Held{Place: b.QueueTail, ChangeId: held.ChangeId, Author: held.Author, Patch: held.Patch, Regions: held.Regions, Edition: held.Edition, Stamp: b.TimestampMs, Applied: applied})
	}
	if !applied {
		b.recordChange(c.Held.ChangeId, ChangeRecord{Checksum: c.Sum, Kind: KindHeld, Generation: uint64(b.Generation), Edition: c.Held.Edition, QueuePosition: b.QueueTail})
		return Result{Code: Held, Generation: b.Generation, QueuePosition: b.QueueTail}
	}
	if b.Trial != nil && len(c.Trial) > 0 {
		b.Trial = &wire.Trial{ChangeId: b.Trial.ChangeId, Basis: uint64(b.Generation) + 1, Doc: c.Trial, Only: b.Trial.Only}
	} else {
		b.Trial = nil
	}
	b.appendGeneration(&wire.DesiredLine{ChangeId: c.Held.ChangeId, Doc: c.Doc, Author: c.Held.Author})
	b.recordChange(c.Held.ChangeId, ChangeRecord{Checksum: c.Sum, Kind: KindApplied, Generation: uint64(b.Generation), Edition: b.EditionOf(b.Generation)})
	b.bumpVersion()
	return Result{Generation: b.Generation}
}

func (b *StateMachine) applyTakeOut(c *wire.TakeOut) Result {
	if record := b.ChangeRecordOf(c.ChangeId); record != nil {
		return record.repeatedResult(c.Sum)
	}
	position := slices.IndexFunc(b.HeldChanges, func(held *wire.Held) bool { return held.Place == c.Place && !held.Applied })
	if !b.basisMatches(c.Basis, c.Turn) || position < 0 {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.QueueVersion++
	b.QueueTail++
	b.HeldChanges = slices.Delete(slices.Clone(b.HeldChanges), position, position+1)
	if remaining := len(b.HeldChanges); remaining > 0 && c.Edition > 0 {
		held := b.HeldChanges[remaining-1]
		b.HeldChanges[remaining-1] = &wire.Held{Place: held.Place, ChangeId: held.ChangeId, Author: held.Author, Patch: held.Patch, Regions: held.Regions, Edition: c.Edition, Stamp: held.Stamp, Applied: held.Applied}
		b.HighestHeldEdition = max(b.HighestHeldEdition, c.Edition)
	}
	b.dropAppliedHead()
	b.recordChange(c.ChangeId, ChangeRecord{Checksum: c.Sum, Kind: KindHeldRemoved, Generation: uint64(b.Generation), Edition: b.LatestEdition(), QueuePosition: c.Place})
	return Result{Generation: b.Generation, QueuePosition: c.Place}
}

// dropAppliedHead drops changes from the head of the queue that are already in effect.
func (b *StateMachine) dropAppliedHead() {
	for len(b.HeldChanges) > 0 && b.HeldChanges[0].Applied {
		b.HeldChanges = b.HeldChanges[1:]
	}
}

func (b *StateMachine) applyPeriodTurn(c *wire.PeriodTurn) Result {
	previous := b.BlackoutPeriods[c.Region]
	next := &wire.Period{Region: c.Region, Number: previous.GetNumber(), FromMs: previous.GetFromMs(), UntilMs: previous.GetUntilMs(), Open: previous.GetOpen(), ClosedMs: previous.GetClosedMs(), Doubt: previous.GetDoubt()}
	allowed := c.Turn == b.QueueVersion && next.Open
	switch c.Kind {
	case PeriodOpened, PeriodOpenedInDoubt:
		allowed = c.Turn == b.QueueVersion && !next.Open && c.UntilMs > next.ClosedMs
		next.Number, next.FromMs, next.UntilMs, next.Open, next.Doubt = next.Number+1, c.FromMs, c.UntilMs, true, c.Kind == PeriodOpenedInDoubt
	case PeriodExtended:
		next.UntilMs = max(next.UntilMs, c.UntilMs)
	case PeriodClosed:
		next.Open, next.ClosedMs = false, max(next.ClosedMs, next.UntilMs)
	case PeriodCanceled:
		allowed = allowed && next.Doubt
		next.Open = false
	default:
		allowed = false
	}
	if !allowed {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.QueueVersion++
	b.BlackoutPeriods[c.Region] = next
	return Result{Generation: b.Generation}
}

// applyLand puts held changes into effect as one new version of the configuration.
func (b *StateMachine) applyLand(c *wire.Land) Result {
	if !b.basisMatches(c.Basis, c.Turn) {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.QueueVersion++
	entry := &wire.DesiredLine{ChangeId: fmt.Sprintf("landing-%d", b.Generation+1), Doc: c.Doc}
	remaining := make([]*wire.Held, 0, len(b.HeldChanges))
	for _, held := range b.HeldChanges {
		if slices.Contains(c.Places, held.Place) && !held.Applied {
			entry.Changes = append(entry.Changes, held.ChangeId)
			held = &wire.Held{Place: held.Place, ChangeId: held.ChangeId, Author: held.Author, Patch: held.Patch, Regions: held.Regions, Edition: held.Edition, Stamp: held.Stamp, Applied: true}
		}
		remaining = append(remaining, held)
	}
	b.HeldChanges = remaining
	b.dropAppliedHead()
	b.Trial = nil
	b.appendGeneration(entry)
	for _, id := range entry.Changes {
		record := ChangeRecord{Kind: KindApplied}
		if previous := b.ChangeRecordOf(id); previous != nil {
			record.Checksum, record.QueuePosition = previous.Checksum, previous.QueuePosition
		}
		record.Generation, record.Edition = uint64(b.Generation), b.EditionOf(b.Generation)
		b.recordChange(id, record)
	}
	b.bumpVersion()
	return Result{Generation: b.Generation}
}
