package ledger

import (
	"sort"

	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

// A lane may use no more slots than the least that any version of the configuration between
// StateMachine.ExpandedGeneration and the newest one gives it: nodes may still serve by any of these
// versions. Each lane therefore keeps a sliding minimum over the versions: an earlier value matters only
// until a later version goes below it, so the kept values rise.

// MaxMinimumSteps bounds the earlier values of one lane. Beyond it the newest two are merged into the lower
// one, which can only lower the limit.
const MaxMinimumSteps = 64

const snapshotFormat = 1

// minimumStep holds the minimum of a range that starts after lastGeneration of the step before and no
// later than its own.
type minimumStep struct {
	lastGeneration uint64
	minimum        int
}

// slidingMinimum is the least value of a range of versions that ends with the newest one.
type slidingMinimum struct {
	earlier []minimumStep
	current int
}

func newSlidingMinimum(current int) *slidingMinimum { return &slidingMinimum{current: current} }

func (s *slidingMinimum) minimum() int {
	if len(s.earlier) > 0 {
		return s.earlier[0].minimum
	}
	return s.current
}

// push adds the value of a newer version.
func (s *slidingMinimum) push(generation uint64, n int) {
	if n > s.current {
		s.earlier = append(s.earlier, minimumStep{generation - 1, s.current})
	}
	for len(s.earlier) > 0 && s.earlier[len(s.earlier)-1].minimum >= n {
		s.earlier = s.earlier[:len(s.earlier)-1]
	}
	s.current = n
	if n := len(s.earlier); n > MaxMinimumSteps {
		s.earlier[n-1].minimum = s.earlier[n-2].minimum
		s.earlier = append(s.earlier[:n-2], s.earlier[n-1])
	}
}

// dropBefore shortens the range to the versions from this one on.
func (s *slidingMinimum) dropBefore(first uint64) {
	dropped := 0
	for dropped < len(s.earlier) && s.earlier[dropped].lastGeneration < first {
		dropped++
	}
	s.earlier = append([]minimumStep(nil), s.earlier[dropped:]...)
}

func (b *StateMachine) pushCurrentGeneration() {
	b.pushGeneration(uint64(b.Generation), b.DesiredState(b.Generation))
}

// pushGeneration adds the slots and seats of a version to the minimums; a nil state gives none.
func (b *StateMachine) pushGeneration(generation uint64, state *desired.State) {
	slots, seats := map[LaneKey]int{}, 0
	if state != nil {
		slots, seats = LaneSlots(state), state.Seats()
	}
	if b.seatMinimum == nil {
		b.seatMinimum = newSlidingMinimum(seats)
		for key, value := range slots {
			b.slotMinimums[key] = newSlidingMinimum(value)
		}
		return
	}
	b.seatMinimum.push(generation, seats)
	for key, value := range slots {
		if b.slotMinimums[key] == nil {
			b.slotMinimums[key] = newSlidingMinimum(0)
		}
		b.slotMinimums[key].push(generation, value)
	}
	for key, minimum := range b.slotMinimums {
		if _, ok := slots[key]; !ok {
			minimum.push(generation, 0)
			delete(b.slotMinimums, key)
		}
	}
}

func (b *StateMachine) trimMinimums() {
	b.seatMinimum.dropBefore(uint64(b.ExpandedGeneration))
	for _, minimum := range b.slotMinimums {
		minimum.dropBefore(uint64(b.ExpandedGeneration))
	}
}

// SeatCount returns how many seats may be taken: the least over the versions that may still be in use.
func (b *StateMachine) SeatCount() int { return b.seatMinimum.minimum() }

// LaneSlotLimits returns the slots that each seat may use, by lane: the least over the versions that may
// still be in use.
func (b *StateMachine) LaneSlotLimits() map[LaneKey]int {
	limits := map[LaneKey]int{}
	for key, minimum := range b.slotMinimums {
		if slots := minimum.minimum(); slots > 0 {
			limits[key] = slots
		}
	}
	return limits
}

func (s *slidingMinimum) encode(key LaneKey) *wire.Steps {
	encoded := &wire.Steps{Lane: string(key.Lane), Service: string(key.Service)}
	for _, step := range s.earlier {
		encoded.Until, encoded.Least = append(encoded.Until, step.lastGeneration), append(encoded.Least, uint32(step.minimum))
	}
	encoded.Least = append(encoded.Least, uint32(s.current))
	return encoded
}

// decode returns false if the columns differ in length or do not rise.
func (s *slidingMinimum) decode(encoded *wire.Steps) bool {
	count := len(encoded.GetUntil())
	if len(encoded.GetLeast()) != count+1 {
		return false
	}
	for i, last := range encoded.Until {
		if i > 0 && last <= encoded.Until[i-1] || encoded.Least[i+1] <= encoded.Least[i] {
			return false
		}
		s.earlier = append(s.earlier, minimumStep{last, int(encoded.Least[i])})
	}
	s.current = int(encoded.Least[count])
	return true
}

func (b *StateMachine) encodeMinimums() (floors []*wire.Steps, seats *wire.Steps) {
	for key, minimum := range b.slotMinimums {
		if len(minimum.earlier) > 0 {
			floors = append(floors, minimum.encode(key))
		}
	}
	sort.Slice(floors, func(i, j int) bool {
		return floors[i].Lane < floors[j].Lane || floors[i].Lane == floors[j].Lane && floors[i].Service < floors[j].Service
	})
	return floors, b.seatMinimum.encode(LaneKey{})
}

// decodeMinimums restores the minimums. The lanes and their newest values come from the newest
// configuration; the snapshot adds the earlier values.
func (b *StateMachine) decodeMinimums(floors []*wire.Steps, seats *wire.Steps) bool {
	if !b.seatMinimum.decode(seats) {
		return false
	}
	if state := b.DesiredState(b.Generation); state != nil {
		for key, slots := range LaneSlots(state) {
			b.slotMinimums[key] = newSlidingMinimum(slots)
		}
	}
	for _, encoded := range floors {
		minimum := newSlidingMinimum(0)
		key := LaneKey{ident.Lane(encoded.Lane), ident.Service(encoded.Service)}
		if b.slotMinimums[key] == nil || !minimum.decode(encoded) || minimum.current != b.slotMinimums[key].current {
			return false
		}
		b.slotMinimums[key] = minimum
	}
	return true
}
