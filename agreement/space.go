package agreement

import (
	"math"
	"sort"

	"google.golang.org/protobuf/proto"

	"sloeturn/wire"
)

const (
	recordCost = 64
	smallEntry = 4 << 10
	unbounded  = math.MaxInt64 / 8
)

type owed struct {
	seq   uint64
	bytes int64
}

// Space says how many bytes the ring holds at least between the start of a snapshot and its end, and how many may be written now.
func (s *State) Space(capacity, room int64) { s.capacity, s.room = capacity, room }

// Room says how many bytes may yet be written after seq.
func (s *State) Room(seq uint64, room int64) {
	s.room = room
	for s.owed.Len() > 0 && s.owed.Front().seq <= seq {
		s.due -= s.owed.PopFront().bytes
	}
}

func sizeOf(m proto.Message) int64 { return int64(proto.Size(m)) + recordCost }

func (s *State) record(r *wire.Record) {
	s.recs = append(s.recs, r)
	n := sizeOf(r)
	if r.GetSnapshot() != nil {
		n += 4 * recordCost
	}
	s.due += n
	s.recBytes += n
	s.since += n
}

func (s *State) free() int64 {
	if s.capacity == 0 {
		return unbounded
	}
	return s.room - s.due
}

// next bounds the bytes of the next snapshot: the image, what the log adds to it, and the log behind it.
func (s *State) next() int64 { return s.imageBytes + s.logBytes }

func (s *State) measure() {
	s.logBytes = 0
	for i := len(s.log) - 1; i >= 0 && s.log[i].Index > s.snapshot.LastIndex; i-- {
		s.logBytes += sizeOf(s.log[i])
	}
}

func (s *State) saving() bool { return s.snapSeq > s.seqDone }

// holds tells whether a ring of that capacity takes a live snapshot, the next one and what was added.
func (s *State) holds(capacity, more, spare int64) bool {
	return capacity == 0 || 2*(s.next()+more) <= capacity-spare
}

// fitsRing tells whether the ring takes an entry of so many bytes and, after it, the next snapshot.
func (s *State) fitsRing(n, spare int64) bool {
	if s.saving() {
		return s.free()-n >= spare && s.holds(s.capacity, n, spare)
	}
	return s.free()-n >= s.next()+n+spare
}

// quorumCapacity is what a majority of the voters can hold.
func (s *State) quorumCapacity() int64 {
	var all []int64
	for _, v := range Voters(s.Roster()) {
		switch l := s.progress[v.Id]; {
		case v.Id == string(s.Self.Voter):
			all = append(all, s.capacity)
		case l != nil && l.ringBytes > 0:
			all = append(all, l.ringBytes)
		}
	}
	if len(all) == 0 {
		return s.capacity
	}
	sort.Slice(all, func(i, j int) bool { return all[i] > all[j] })
	return min(s.capacity, all[len(all)/2])
}

// admits tells whether a change may be taken: what is acknowledged must stay writable on a majority's disks.
func (s *State) admits(c *wire.Change) bool {
	if s.capacity == 0 {
		return true
	}
	n, spare := int64(proto.Size(c))+2*recordCost, s.capacity/32
	if n > smallEntry {
		spare = s.capacity / 8
	}
	if s.fitsRing(n, spare) && s.holds(s.quorumCapacity(), n, spare) {
		s.tight, s.Refused = false, false
		return true
	}
	s.tight = true
	if !s.Refused {
		s.note("Refuses changes: the ring of %d bytes, %d of them free, does not hold two snapshots of %d bytes; give the machine a larger disk or shorten the desired state.", s.quorumCapacity(), s.free(), s.next()+n)
	}
	s.Refused = true
	return false
}

// NoRoom tells whether the last change was refused and no snapshot that is under way or due will make room for it.
func (s *State) NoRoom() bool { return s.Refused && !s.saving() && s.since < s.capacity/32 }

func (s *State) takes(e *wire.Entry) bool {
	if s.capacity == 0 || s.fitsRing(sizeOf(e), s.capacity/32) {
		s.full, s.fullBy = 0, false
		return true
	}
	if s.full == 0 {
		s.note("Takes no entry of %d bytes yet: %d bytes of the ring are free, the next snapshot needs %d.", sizeOf(e), s.free(), s.next())
	}
	s.full, s.fullBy, s.tight = sizeOf(e), false, true
	return false
}

// takesSnapshot tells whether a snapshot of so many bytes, and the log behind it, may be written.
func (s *State) takesSnapshot(n int64) bool {
	if s.capacity == 0 || s.free() >= n+s.logBytes+s.capacity/32 {
		return true
	}
	if s.full == 0 {
		s.note("Takes no snapshot of %d bytes: %d bytes of the ring are free; give the machine a larger disk.", n, s.free())
	}
	s.full, s.fullBy = n, true
	return false
}

func (s *State) crowded() bool {
	switch {
	case s.full == 0:
		return false
	case s.fullBy:
		return s.free() < s.full+s.logBytes+s.capacity/32
	}
	return !s.fitsRing(s.full, s.capacity/32)
}

// Full tells whether entries or changes wait for room in the ring.
func (s *State) Full() bool { return s.Refused || s.full > 0 }

// Free gives the bytes that the ring still takes, the bytes of the next snapshot at most, and the capacity; none without a bound.
func (s *State) Free() (free, next, capacity int64) {
	if s.capacity == 0 {
		return 0, 0, 0
	}
	return s.free(), s.next(), s.capacity
}

func (s *State) ripe() bool {
	if s.applied >= s.snapshot.LastIndex+2*KeepEntries || s.logBytes > LogBytes {
		return s.applied > s.snapshot.LastIndex
	}
	if s.capacity == 0 || s.since < s.capacity/32 {
		return false
	}
	return s.tight || 4*(s.next()-s.imageBytes) > s.capacity-s.capacity/8-2*s.imageBytes || s.free() < s.next()+max(s.capacity/2-s.imageBytes, s.capacity/16)
}
