package ledger

import (
	"crypto/sha256"
	"encoding/binary"

	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

// MaxChangeRecords is how many of the newest change IDs are remembered. A change that is sent again after
// its ID was forgotten is checked by its basis alone.
const MaxChangeRecords = 32768

// Kinds of a ChangeRecord: how a change was accepted. The numbers are part of the snapshot.
const (
	KindApplied = uint8(iota + 1)
	KindTrial
	KindTrialWithdrawn
	KindHeld
	KindHeldRemoved
)

// ChangeRecord records an accepted change, so that a retry of it is recognized; it outlives the document.
type ChangeRecord struct {
	// ID is a digest of the change ID.
	ID            [16]byte
	Checksum      uint64
	Kind          uint8
	Generation    uint64
	Edition       uint64
	QueuePosition uint64
}

// changeKey returns the digest under which a change ID is recorded.
func changeKey(id string) (key [16]byte) {
	sum := sha256.Sum256([]byte(id))
	copy(key[:], sum[:])
	return key
}

// ConflictsWith tells whether a change with this checksum differs from the one recorded under the same ID;
// a checksum of 0 is unknown and matches any.
func (k *ChangeRecord) ConflictsWith(sum uint64) bool {
	return k.Checksum != 0 && sum != 0 && k.Checksum != sum
}

// repeatedResult is the result of a retry of the recorded change.
func (k *ChangeRecord) repeatedResult(sum uint64) Result {
	result := Result{Generation: ident.Generation(k.Generation), QueuePosition: k.QueuePosition}
	switch {
	case k.ConflictsWith(sum):
		result.Code = Invalid
	case k.Kind == KindHeld:
		result.Code = Held
	case k.Kind == KindApplied:
		result.QueuePosition = 0
	}
	return result
}

// ChangeRecordOf returns the record of an accepted change, or nil.
func (b *StateMachine) ChangeRecordOf(id string) *ChangeRecord { return b.changeRecords[changeKey(id)] }

// AppliedChange returns the record of a change that became a version of the configuration, or nil.
func (b *StateMachine) AppliedChange(id string) *ChangeRecord {
	if record := b.ChangeRecordOf(id); record != nil && record.Kind == KindApplied {
		return record
	}
	return nil
}

func (b *StateMachine) recordChange(id string, record ChangeRecord) {
	record.ID = changeKey(id)
	b.storeChangeRecord(record)
}

// storeChangeRecord replaces the record of the same ID in place, or adds one and drops the oldest beyond
// MaxChangeRecords.
func (b *StateMachine) storeChangeRecord(record ChangeRecord) {
	if previous := b.changeRecords[record.ID]; previous != nil {
		*previous = record
		return
	}
	b.changeRecords[record.ID] = &record
	b.changeRecordOrder.PushBack(&record)
	for b.changeRecordOrder.Len() > MaxChangeRecords {
		delete(b.changeRecords, b.changeRecordOrder.PopFront().ID)
	}
}

// recordedEdition returns the edition of a version whose document is gone; 0 if its record is gone, too.
func (b *StateMachine) recordedEdition(generation ident.Generation) uint64 {
	for i := b.changeRecordOrder.Len() - 1; i >= 0; i-- {
		if record := b.changeRecordOrder.At(i); record.Kind == KindApplied && record.Generation == uint64(generation) {
			return record.Edition
		}
	}
	return 0
}

func (b *StateMachine) encodeChangeRecords() *wire.Keys {
	keys := &wire.Keys{}
	for i := 0; i < b.changeRecordOrder.Len(); i++ {
		record := b.changeRecordOrder.At(i)
		keys.Ids = append(keys.Ids, record.ID[:]...)
		keys.Sums = binary.LittleEndian.AppendUint64(keys.Sums, record.Checksum)
		keys.Kinds = append(keys.Kinds, record.Kind)
		keys.Generations = append(keys.Generations, record.Generation)
		keys.Editions = append(keys.Editions, record.Edition)
		keys.Places = append(keys.Places, record.QueuePosition)
	}
	return keys
}

// decodeChangeRecords returns false if the columns differ in length.
func (b *StateMachine) decodeChangeRecords(keys *wire.Keys) bool {
	count := len(keys.GetKinds())
	if len(keys.GetIds()) != 16*count || len(keys.GetSums()) != 8*count || len(keys.GetGenerations()) != count || len(keys.GetEditions()) != count || len(keys.GetPlaces()) != count {
		return false
	}
	for i := 0; i < count; i++ {
		record := ChangeRecord{ID: [16]byte(keys.Ids[16*i:]), Checksum: binary.LittleEndian.Uint64(keys.Sums[8*i:]), Kind: keys.Kinds[i], Generation: keys.Generations[i], Edition: keys.Editions[i], QueuePosition: keys.Places[i]}
		b.storeChangeRecord(record)
	}
	return true
}

// restoreFromHistory rebuilds the change records and slot minimums from the documents of a snapshot of
// format 0, which does not contain them. Versions whose document is missing count as giving no slots.
func (b *StateMachine) restoreFromHistory(image *wire.Image) {
	b.seatMinimum = nil
	next := uint64(b.ExpandedGeneration)
	if next == 0 {
		b.seatMinimum, next = newSlidingMinimum(0), 1
	}
	for _, entry := range image.History {
		edition := desired.EditionOf(entry.Doc)
		if len(entry.Changes) == 0 {
			b.recordChange(entry.ChangeId, ChangeRecord{Kind: KindApplied, Generation: entry.Generation, Edition: edition})
		}
		for _, id := range entry.Changes {
			b.recordChange(id, ChangeRecord{Kind: KindApplied, Generation: entry.Generation, Edition: edition})
		}
		if entry.Generation < uint64(b.ExpandedGeneration) {
			continue
		}
		if entry.Generation != next {
			b.pushGeneration(entry.Generation-1, nil)
		}
		next = entry.Generation + 1
		state, faults := desired.Read(entry.Doc)
		if len(faults) > 0 {
			state = nil
		}
		b.pushGeneration(entry.Generation, state)
	}
	if b.seatMinimum == nil {
		b.seatMinimum = newSlidingMinimum(0)
	}
	for _, id := range image.TakenOut {
		b.recordChange(id, ChangeRecord{Kind: KindHeldRemoved, Generation: image.Generation, Edition: b.LatestEdition()})
	}
	for _, held := range image.Held {
		if !held.Applied {
			b.recordChange(held.ChangeId, ChangeRecord{Kind: KindHeld, Generation: image.Generation, Edition: held.Edition, QueuePosition: held.Place})
		}
	}
	if trial := image.Trial; trial != nil {
		b.recordChange(trial.ChangeId, ChangeRecord{Kind: KindTrial, Generation: trial.Basis, Edition: b.EditionOf(ident.Generation(trial.Basis))})
	}
}
