package relay

import (
	"slices"
	"sort"
	"strconv"

	"sloeturn/ident"
	"sloeturn/wire"
)

const VersionsKept = 128

// diff says at which version of the core each seat, and the floors, were last seen to change here, and which versions were seen here: what came and went between two of them is not known.
type diff struct {
	seen   []uint64
	seats  map[uint32]uint64
	floors uint64
}

func sameSeat(a, b *wire.Seat) bool {
	return a == b || a != nil && b != nil && a.Member == b.Member && a.Addr == b.Addr && a.Incarnation == b.Incarnation && a.Heeds == b.Heeds
}

func sameFloors(a, b []*wire.Floor) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Floor) bool {
		return x == y || x.Lane == y.Lane && x.Service == y.Service && x.Slots == y.Slots
	})
}

// note takes up a newer core and names the members whose seats are not the same in it.
func (d *diff) note(old, core *wire.Core) []string {
	if old == nil {
		*d = diff{seats: map[uint32]uint64{}}
	}
	if d.seen = append(d.seen, core.Version); len(d.seen) > VersionsKept {
		d.seen = slices.Clone(d.seen[VersionsKept/2:])
	}
	had := make(map[uint32]*wire.Seat, len(old.GetSeats()))
	for _, v := range old.GetSeats() {
		had[v.Seat] = v
	}
	var moved []string
	for _, v := range core.Seats {
		if !sameSeat(had[v.Seat], v) {
			d.seats[v.Seat] = core.Version
			moved = append(moved, v.Member)
		}
		delete(had, v.Seat)
	}
	for k := range had {
		d.seats[k] = core.Version
	}
	if old != nil && !sameFloors(old.Floors, core.Floors) {
		d.floors = core.Version
	}
	return moved
}

func seatsSum(core *wire.Core) uint64 {
	n := uint64(len(core.Seats))
	for _, v := range core.Seats {
		n += ident.Hash(v.Member, v.Addr, strconv.FormatUint(v.Incarnation, 16), strconv.FormatUint(uint64(v.Seat), 16), strconv.FormatBool(v.Heeds))
	}
	return n
}

// withoutTables is a core without its seats and floors, of which an answer may bring the changes alone.
func withoutTables(c *wire.Core) *wire.Core {
	return &wire.Core{Version: c.Version, Generation: c.Generation, InForce: c.InForce, Grown: c.Grown, Holds: c.Holds, Leader: c.Leader, LeaderAddr: c.LeaderAddr, SeatCount: c.SeatCount, Roster: c.Roster, Term: c.Term, Trial: c.Trial, Revoked: c.Revoked}
}

// coreFor is the core for an ask that names an older one: what changed since, if the asker can lay it on and that is known here, else the whole.
func (s *State) coreFor(a *wire.Ask) *wire.Core {
	if _, seen := slices.BinarySearch(s.diff.seen, a.Core); !a.Deltas || !seen {
		return s.Core
	}
	c := s.Core
	d := withoutTables(c)
	d.Base, d.SeatsSum = a.Core, seatsSum(c)
	held := make(map[uint32]bool, len(c.Seats))
	for _, v := range c.Seats {
		held[v.Seat] = true
		if s.diff.seats[v.Seat] > a.Core {
			d.Seats = append(d.Seats, v)
		}
	}
	for _, k := range ident.Keys(s.diff.seats) {
		if !held[k] && s.diff.seats[k] > a.Core {
			d.Freed = append(d.Freed, k)
		}
	}
	if d.FloorsSame = s.diff.floors <= a.Core; !d.FloorsSame {
		d.Floors = c.Floors
	}
	return d
}

// merge lays what changed on the core that is known; nil says that it doesn't fit, and the whole is asked for next.
func (s *State) merge(d *wire.Core) *wire.Core {
	if d.GetBase() == 0 {
		s.whole = s.whole && d == nil
		return d
	}
	if !s.CoreKnown || s.Core.Version < d.Base {
		s.whole = true
		return nil
	}
	if d.Version < s.Core.Version {
		return nil
	}
	c := withoutTables(d)
	c.Floors = d.Floors
	if d.FloorsSame {
		c.Floors = s.Core.Floors
	}
	news := make(map[uint32]bool, len(d.Seats)+len(d.Freed))
	for _, v := range d.Seats {
		news[v.Seat] = true
	}
	for _, k := range d.Freed {
		news[k] = true
	}
	for _, v := range s.Core.Seats {
		if !news[v.Seat] {
			c.Seats = append(c.Seats, v)
		}
	}
	c.Seats = append(c.Seats, d.Seats...)
	sort.Slice(c.Seats, func(i, j int) bool { return c.Seats[i].Seat < c.Seats[j].Seat })
	if seatsSum(c) != d.SeatsSum {
		s.whole = true
		return nil
	}
	return c
}
