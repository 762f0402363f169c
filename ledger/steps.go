package ledger

import (
	"sort"

	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

// The law asks for the least of each lot over all generations from grown to the newest. Of a
// lot's past only what a later generation has not undercut can be that least, so each lot
// keeps rising steps: until a generation, the least from there on.

// StepsMost bounds the steps of one lot; beyond it two are folded into the lower of them, which only ever lends less.
const StepsMost = 64

const imageFormat = 1

type step struct {
	until uint64
	least int
}

type steps struct {
	past []step
	now  int
}

func newSteps(now int) *steps { return &steps{now: now} }

func (s *steps) least() int {
	if len(s.past) > 0 {
		return s.past[0].least
	}
	return s.now
}

func (s *steps) push(gen uint64, n int) {
	if n > s.now {
		s.past = append(s.past, step{gen - 1, s.now})
	}
	for len(s.past) > 0 && s.past[len(s.past)-1].least >= n {
		s.past = s.past[:len(s.past)-1]
	}
	s.now = n
	if n := len(s.past); n > StepsMost {
		s.past[n-1].least = s.past[n-2].least
		s.past = append(s.past[:n-2], s.past[n-1])
	}
}

func (s *steps) trim(grown uint64) {
	i := 0
	for i < len(s.past) && s.past[i].until < grown {
		i++
	}
	s.past = append([]step(nil), s.past[i:]...)
}

func (b *Book) rise() { b.raise(uint64(b.Generation), b.State(b.Generation)) }

func (b *Book) raise(gen uint64, s *desired.State) {
	now, seats := map[Lot]int{}, 0
	if s != nil {
		now, seats = Slots(s), s.Seats()
	}
	if b.seats == nil {
		b.seats = newSteps(seats)
		for k, n := range now {
			b.floors[k] = newSteps(n)
		}
		return
	}
	b.seats.push(gen, seats)
	for k, n := range now {
		if b.floors[k] == nil {
			b.floors[k] = newSteps(0)
		}
		b.floors[k].push(gen, n)
	}
	for k, f := range b.floors {
		if _, ok := now[k]; !ok {
			f.push(gen, 0)
			delete(b.floors, k)
		}
	}
}

func (b *Book) trim() {
	b.seats.trim(uint64(b.Grown))
	for _, f := range b.floors {
		f.trim(uint64(b.Grown))
	}
}

func (b *Book) SeatCount() int { return b.seats.least() }

func (b *Book) Floors() map[Lot]int {
	out := map[Lot]int{}
	for k, f := range b.floors {
		if n := f.least(); n > 0 {
			out[k] = n
		}
	}
	return out
}

func (s *steps) line(k Lot) *wire.Steps {
	l := &wire.Steps{Lane: string(k.Lane), Service: string(k.Service)}
	for _, p := range s.past {
		l.Until, l.Least = append(l.Until, p.until), append(l.Least, uint32(p.least))
	}
	l.Least = append(l.Least, uint32(s.now))
	return l
}

func (s *steps) read(l *wire.Steps) bool {
	n := len(l.GetUntil())
	if len(l.GetLeast()) != n+1 {
		return false
	}
	for i, u := range l.Until {
		if i > 0 && u <= l.Until[i-1] || l.Least[i+1] <= l.Least[i] {
			return false
		}
		s.past = append(s.past, step{u, int(l.Least[i])})
	}
	s.now = int(l.Least[n])
	return true
}

func (b *Book) stepLines() (floors []*wire.Steps, seats *wire.Steps) {
	for k, f := range b.floors {
		if len(f.past) > 0 {
			floors = append(floors, f.line(k))
		}
	}
	sort.Slice(floors, func(i, j int) bool {
		return floors[i].Lane < floors[j].Lane || floors[i].Lane == floors[j].Lane && floors[i].Service < floors[j].Service
	})
	return floors, b.seats.line(Lot{})
}

func (b *Book) readSteps(floors []*wire.Steps, seats *wire.Steps) bool {
	if !b.seats.read(seats) {
		return false
	}
	if s := b.State(b.Generation); s != nil {
		for k, n := range Slots(s) {
			b.floors[k] = newSteps(n)
		}
	}
	for _, l := range floors {
		f := newSteps(0)
		k := Lot{ident.Lane(l.Lane), ident.Service(l.Service)}
		if b.floors[k] == nil || !f.read(l) || f.now != b.floors[k].now {
			return false
		}
		b.floors[k] = f
	}
	return true
}
