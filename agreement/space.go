package agreement

import (
	"math"
	"sort"

	"google.golang.org/protobuf/proto"

	"sloeturn/wire"
)

// recordOverheadBytes bounds what a record takes on disk beyond its encoded message. Changes of
// more than smallChangeBytes must leave a larger reserve in the ring. unboundedBytes is the free
// space of a ring without a bound; sums of a few such values do not overflow.
const (
	recordOverheadBytes = 64
	smallChangeBytes    = 4 << 10
	unboundedBytes      = math.MaxInt64 / 8
)

// unwrittenBatch is a batch of records whose bytes are not yet counted in ringFreeBytes.
type unwrittenBatch struct {
	seq  uint64
	size int64
}

// SetRingCapacity sets how many bytes the on-disk log ring holds at least between the start of a
// snapshot and its end, and how many may be written now.
func (s *State) SetRingCapacity(capacity, free int64) {
	s.ringCapacity, s.ringFreeBytes = capacity, free
}

// SetRingFree sets how many bytes may still be written after the batch seq.
func (s *State) SetRingFree(seq uint64, free int64) {
	s.ringFreeBytes = free
	for s.unwrittenBatches.Len() > 0 && s.unwrittenBatches.Front().seq <= seq {
		s.unwrittenBytes -= s.unwrittenBatches.PopFront().size
	}
}

func sizeOf(m proto.Message) int64 { return int64(proto.Size(m)) + recordOverheadBytes }

func (s *State) appendRecord(record *wire.Record) {
	s.pendingRecords = append(s.pendingRecords, record)
	size := sizeOf(record)
	if record.GetSnapshot() != nil {
		size += 4 * recordOverheadBytes
	}
	s.unwrittenBytes += size
	s.pendingRecordBytes += size
	s.bytesSinceSnapshot += size
}

// freeBytes returns the bytes that the ring still takes, less those of records not yet written.
func (s *State) freeBytes() int64 {
	if s.ringCapacity == 0 {
		return unboundedBytes
	}
	return s.ringFreeBytes - s.unwrittenBytes
}

// nextSnapshotBytes bounds the size of the next snapshot: the current image, what the log adds to
// it, and the log after it.
func (s *State) nextSnapshotBytes() int64 { return s.imageBytes + s.logBytes }

// recountLogBytes recomputes the size of the log after the snapshot.
func (s *State) recountLogBytes() {
	s.logBytes = 0
	for i := len(s.log) - 1; i >= 0 && s.log[i].Index > s.snapshot.LastIndex; i-- {
		s.logBytes += sizeOf(s.log[i])
	}
}

func (s *State) snapshotPending() bool { return s.snapshotSeq > s.seqDone }

// ringHoldsSnapshots reports whether a ring of the given capacity holds two snapshots, the live one
// and the next, after so many bytes are added.
func (s *State) ringHoldsSnapshots(capacity, added, reserve int64) bool {
	return capacity == 0 || 2*(s.nextSnapshotBytes()+added) <= capacity-reserve
}

// fitsInRing reports whether the ring takes an entry of the given size and, after it, the next
// snapshot.
func (s *State) fitsInRing(size, reserve int64) bool {
	if s.snapshotPending() {
		return s.freeBytes()-size >= reserve && s.ringHoldsSnapshots(s.ringCapacity, size, reserve)
	}
	return s.freeBytes()-size >= s.nextSnapshotBytes()+size+reserve
}

// quorumCapacity returns the ring capacity that a majority of the voters have, at most the own one.
func (s *State) quorumCapacity() int64 {
	var capacities []int64
	for _, v := range Voters(s.Roster()) {
		switch peer := s.progress[v.Id]; {
		case v.Id == string(s.Self.Voter):
			capacities = append(capacities, s.ringCapacity)
		case peer != nil && peer.ringBytes > 0:
			capacities = append(capacities, peer.ringBytes)
		}
	}
	if len(capacities) == 0 {
		return s.ringCapacity
	}
	sort.Slice(capacities, func(i, j int) bool { return capacities[i] > capacities[j] })
	return min(s.ringCapacity, capacities[len(capacities)/2])
}

// admitsChange reports whether a change may be proposed: whatever is acknowledged must remain
// writable on the disks of a majority. A reserve of 1/32 of the ring stays free, or of 1/8 if the
// change has more than smallChangeBytes.
func (s *State) admitsChange(c *wire.Change) bool {
	if s.ringCapacity == 0 {
		return true
	}
	size, reserve := int64(proto.Size(c))+2*recordOverheadBytes, s.ringCapacity/32
	if size > smallChangeBytes {
		reserve = s.ringCapacity / 8
	}
	if s.fitsInRing(size, reserve) && s.ringHoldsSnapshots(s.quorumCapacity(), size, reserve) {
		s.spaceNeeded, s.RefusingChanges = false, false
		return true
	}
	s.spaceNeeded = true
	if !s.RefusingChanges {
		s.logf("Refuses changes: the ring of %d bytes, %d of them free, does not hold two snapshots of %d bytes; give the machine a larger disk or shorten the desired state.", s.quorumCapacity(), s.freeBytes(), s.nextSnapshotBytes()+size)
	}
	s.RefusingChanges = true
	return false
}

// RingExhausted reports whether the last change was refused and no snapshot, pending or due, will
// free the space for it.
func (s *State) RingExhausted() bool {
	return s.RefusingChanges && !s.snapshotPending() && s.bytesSinceSnapshot < s.ringCapacity/32
}

// acceptsEntry reports whether the ring takes a replicated entry, and remembers its size if not.
func (s *State) acceptsEntry(e *wire.Entry) bool {
	if s.ringCapacity == 0 || s.fitsInRing(sizeOf(e), s.ringCapacity/32) {
		s.waitingBytes, s.waitingForSnapshot = 0, false
		return true
	}
	if s.waitingBytes == 0 {
		s.logf("Postponed an entry of %d bytes: %d bytes of the ring are free and the next snapshot needs %d.", sizeOf(e), s.freeBytes(), s.nextSnapshotBytes())
	}
	s.waitingBytes, s.waitingForSnapshot, s.spaceNeeded = sizeOf(e), false, true
	return false
}

// acceptsSnapshot reports whether a snapshot of the given size, and the log after it, may be
// written.
func (s *State) acceptsSnapshot(size int64) bool {
	if s.ringCapacity == 0 || s.freeBytes() >= size+s.logBytes+s.ringCapacity/32 {
		return true
	}
	if s.waitingBytes == 0 {
		s.logf("Takes no snapshot of %d bytes: %d bytes of the ring are free; give the machine a larger disk.", size, s.freeBytes())
	}
	s.waitingBytes, s.waitingForSnapshot = size, true
	return false
}

// lacksSpace reports whether the entry or snapshot that was last turned away still does not fit.
func (s *State) lacksSpace() bool {
	switch {
	case s.waitingBytes == 0:
		return false
	case s.waitingForSnapshot:
		return s.freeBytes() < s.waitingBytes+s.logBytes+s.ringCapacity/32
	}
	return !s.fitsInRing(s.waitingBytes, s.ringCapacity/32)
}

// WaitsForRing reports whether entries or changes wait for space in the ring.
func (s *State) WaitsForRing() bool { return s.RefusingChanges || s.waitingBytes > 0 }

// RingUsage returns the bytes that the ring still takes, an upper bound for the next snapshot, and
// the capacity; all are 0 without a bound.
func (s *State) RingUsage() (free, next, capacity int64) {
	if s.ringCapacity == 0 {
		return 0, 0, 0
	}
	return s.freeBytes(), s.nextSnapshotBytes(), s.ringCapacity
}

// compactionDue reports whether the log is long enough, or space in the ring short enough, for a
// snapshot. Space is short if something did not fit, if the log after the snapshot exceeds a quarter
// of what 7/8 of the ring holds beside two snapshots, or if less is free than the next snapshot and
// a margin. It does not count as short before 1/32 of the ring has been written since the last
// snapshot.
func (s *State) compactionDue() bool {
	if s.applied >= s.snapshot.LastIndex+2*RetainedEntries || s.logBytes > CompactionLogBytes {
		return s.applied > s.snapshot.LastIndex
	}
	if s.ringCapacity == 0 || s.bytesSinceSnapshot < s.ringCapacity/32 {
		return false
	}
	return s.spaceNeeded || 4*(s.nextSnapshotBytes()-s.imageBytes) > s.ringCapacity-s.ringCapacity/8-2*s.imageBytes || s.freeBytes() < s.nextSnapshotBytes()+max(s.ringCapacity/2-s.imageBytes, s.ringCapacity/16)
}
