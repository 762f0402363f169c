package relay

import (
	"slices"
	"sort"
	"strconv"

	"sloeturn/ident"
	"sloeturn/wire"
)

// MaxCoreVersions bounds the core versions that are remembered to answer polls with changes alone.
const MaxCoreVersions = 128

// coreChanges tells at which version of the core each seat and the slot limits last changed, and which
// versions were seen here. What changed and changed back between two seen versions is unknown.
type coreChanges struct {
	seenVersions    []uint64
	seatChangedAt   map[uint32]uint64
	floorsChangedAt uint64
}

func sameSeat(a, b *wire.Seat) bool {
	return a == b || a != nil && b != nil && a.Member == b.Member && a.Addr == b.Addr && a.Incarnation == b.Incarnation && a.Heeds == b.Heeds
}

// sameFloors compares the slot limits of lanes.
func sameFloors(a, b []*wire.Floor) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Floor) bool {
		return x == y || x.Lane == y.Lane && x.Service == y.Service && x.Slots == y.Slots
	})
}

// record notes the changes in a newer core and returns the members whose seats changed.
func (c *coreChanges) record(previous, core *wire.Core) []string {
	if previous == nil {
		*c = coreChanges{seatChangedAt: map[uint32]uint64{}}
	}
	if c.seenVersions = append(c.seenVersions, core.Version); len(c.seenVersions) > MaxCoreVersions {
		c.seenVersions = slices.Clone(c.seenVersions[MaxCoreVersions/2:])
	}
	old := make(map[uint32]*wire.Seat, len(previous.GetSeats()))
	for _, seat := range previous.GetSeats() {
		old[seat.Seat] = seat
	}
	var members []string
	for _, seat := range core.Seats {
		if !sameSeat(old[seat.Seat], seat) {
			c.seatChangedAt[seat.Seat] = core.Version
			members = append(members, seat.Member)
		}
		delete(old, seat.Seat)
	}
	for number := range old {
		c.seatChangedAt[number] = core.Version
	}
	if previous != nil && !sameFloors(previous.Floors, core.Floors) {
		c.floorsChangedAt = core.Version
	}
	return members
}

// seatsChecksum does not depend on the order of the seats.
func seatsChecksum(core *wire.Core) uint64 {
	sum := uint64(len(core.Seats))
	for _, seat := range core.Seats {
		sum += ident.Hash(seat.Member, seat.Addr, strconv.FormatUint(seat.Incarnation, 16), strconv.FormatUint(uint64(seat.Seat), 16), strconv.FormatBool(seat.Heeds))
	}
	return sum
}

// withoutTables copies a core without its seats and slot limits, of which an answer may contain the
// changes alone.
func withoutTables(c *wire.Core) *wire.Core {
	return &wire.Core{Version: c.Version, Generation: c.Generation, InForce: c.InForce, Grown: c.Grown, Holds: c.Holds, Leader: c.Leader, LeaderAddr: c.LeaderAddr, SeatCount: c.SeatCount, Roster: c.Roster, Term: c.Term, Trial: c.Trial, Revoked: c.Revoked}
}

// coreSince returns the core for a poll that names an older version: only the changes since, if the other
// process can merge them and they are known here, otherwise the whole core.
func (s *State) coreSince(ask *wire.Ask) *wire.Core {
	if _, seen := slices.BinarySearch(s.coreChanges.seenVersions, ask.Core); !ask.Deltas || !seen {
		return s.Core
	}
	core := s.Core
	changes := withoutTables(core)
	changes.Base, changes.SeatsSum = ask.Core, seatsChecksum(core)
	taken := make(map[uint32]bool, len(core.Seats))
	for _, seat := range core.Seats {
		taken[seat.Seat] = true
		if s.coreChanges.seatChangedAt[seat.Seat] > ask.Core {
			changes.Seats = append(changes.Seats, seat)
		}
	}
	for _, number := range ident.SortedKeys(s.coreChanges.seatChangedAt) {
		if !taken[number] && s.coreChanges.seatChangedAt[number] > ask.Core {
			changes.Freed = append(changes.Freed, number)
		}
	}
	if changes.FloorsSame = s.coreChanges.floorsChangedAt <= ask.Core; !changes.FloorsSame {
		changes.Floors = core.Floors
	}
	return changes
}

// mergeCore applies the changes of a core to the one known here. It returns nil if they do not fit; the
// next poll then requests the whole core.
func (s *State) mergeCore(changes *wire.Core) *wire.Core {
	if changes.GetBase() == 0 {
		s.needsFullCore = s.needsFullCore && changes == nil
		return changes
	}
	if !s.CoreKnown || s.Core.Version < changes.Base {
		s.needsFullCore = true
		return nil
	}
	if changes.Version < s.Core.Version {
		return nil
	}
	merged := withoutTables(changes)
	merged.Floors = changes.Floors
	if changes.FloorsSame {
		merged.Floors = s.Core.Floors
	}
	changed := make(map[uint32]bool, len(changes.Seats)+len(changes.Freed))
	for _, seat := range changes.Seats {
		changed[seat.Seat] = true
	}
	for _, number := range changes.Freed {
		changed[number] = true
	}
	for _, seat := range s.Core.Seats {
		if !changed[seat.Seat] {
			merged.Seats = append(merged.Seats, seat)
		}
	}
	merged.Seats = append(merged.Seats, changes.Seats...)
	sort.Slice(merged.Seats, func(i, j int) bool { return merged.Seats[i].Seat < merged.Seats[j].Seat })
	if seatsChecksum(merged) != changes.SeatsSum {
		// Changes since an older core than the one known here may leave out a seat that was taken and freed
		// in between; the next poll names the newer core.
		s.needsFullCore = s.needsFullCore || s.Core.Version == changes.Base
		return nil
	}
	return merged
}
