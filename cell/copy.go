package cell

import (
	"sort"
	"strings"
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

type Copy struct {
	Cell  ident.Cell
	Epoch ident.Epoch
	Pulse uint64
	AsOf  ident.Moment
	Known bool
	Roll
	Table map[ident.Addr]*wire.Backend
	Upto  uint64
	sums  [Parts]uint64
	tombs tombs
	rev   uint64
	asks  int

	rollSum uint64

	Turns  uint64
	Leaves uint64
}

func NewCopy(c ident.Cell) *Copy {
	return &Copy{Cell: c, Table: map[ident.Addr]*wire.Backend{}}
}

func Kept(k *wire.CellKept) *Copy {
	c := NewCopy(ident.Cell(k.Cell))
	c.Epoch, c.Pulse, c.Upto = ident.Epoch(k.Epoch), k.Pulse, k.Upto
	c.tombs.from = k.Upto
	for _, b := range k.Backends {
		if a := ident.Addr(b.Addr); c.Table[a] == nil {
			c.Table[a] = b
			c.sums[Part(b.Addr)] += Sum(b.Addr, b.Version)
		}
	}
	return c
}

func (c *Copy) Revision() uint64 { return c.rev }

func (c *Copy) Digests() []uint64 { return append([]uint64(nil), c.sums[:]...) }

func (c *Copy) Take(n *wire.CellNews, asOf ident.Moment) bool {
	e := ident.Epoch(n.Epoch)
	if e < c.Epoch || e == c.Epoch && c.Known && asOf.Before(c.AsOf) {
		return false
	}
	if e > c.Epoch {
		c.Epoch = e
		c.Table = map[ident.Addr]*wire.Backend{}
		c.sums = [Parts]uint64{}
		c.Upto, c.tombs, c.Pulse = 0, tombs{from: n.Upto}, 0
		c.Known = false
		c.rev++
		c.Turns++
		if len(n.Ranges) < Parts {
			return true
		}
	}
	if n.Delta {
		if !c.Known {
			return false
		}
		c.delta(n)
	}
	for _, r := range n.Ranges {
		if r.Part >= Parts {
			continue
		}
		here := map[string]bool{}
		for _, b := range r.Backends {
			here[b.Addr] = true
			c.turned(c.Table[ident.Addr(b.Addr)], b)
		}
		for _, a := range ident.Keys(c.Table) {
			if Part(string(a)) == int(r.Part) {
				delete(c.Table, a)
				if !here[string(a)] {
					c.Turns++
					c.tombs.add(string(a), n.Upto)
				}
			}
		}
		c.sums[r.Part] = 0
		for _, b := range r.Backends {
			c.Table[ident.Addr(b.Addr)] = b
			c.sums[r.Part] += Sum(b.Addr, b.Version)
		}
		c.rev++
	}
	c.Upto = max(c.Upto, n.Upto)
	if r := (Roll{n.Nodes, n.Wants}); !n.NodesSame && r.Sum() != c.sumOfRoll() {
		c.Roll, c.rollSum = r, r.Sum()
		c.rev++
	}
	c.Pulse = max(c.Pulse, n.Pulse)
	c.Known, c.AsOf = true, asOf
	return true
}

func (c *Copy) sumOfRoll() uint64 {
	if c.rollSum == 0 {
		c.rollSum = c.Roll.Sum()
	}
	return c.rollSum
}

func (c *Copy) Stand(pulse uint64, asOf ident.Moment) {
	c.Pulse, c.AsOf = max(c.Pulse, pulse), max(c.AsOf, asOf)
}

func (c *Copy) delta(n *wire.CellNews) {
	for _, g := range n.Gone {
		a := ident.Addr(g.Addr)
		if b := c.Table[a]; b != nil && b.Version < g.Version {
			c.sums[Part(g.Addr)] -= Sum(b.Addr, b.Version)
			delete(c.Table, a)
			c.rev++
			c.Turns++
		}
		if g.Version > c.Upto {
			c.tombs.add(g.Addr, g.Version)
		}
	}
	for _, b := range n.Changed {
		a := ident.Addr(b.Addr)
		old := c.Table[a]
		if old != nil && old.Version >= b.Version {
			continue
		}
		if old != nil {
			c.sums[Part(b.Addr)] -= Sum(b.Addr, old.Version)
		}
		c.sums[Part(b.Addr)] += Sum(b.Addr, b.Version)
		c.turned(old, b)
		c.Table[a] = b
		c.rev++
	}
}

func (c *Copy) turned(old, b *wire.Backend) {
	if old != nil && old.Incarnation == b.Incarnation && old.State == b.State {
		return
	}
	c.Turns++
	if b.State == Leaving {
		c.Leaves++
	}
}

func (c *Copy) Keep() *wire.CellKept {
	k := &wire.CellKept{Cell: string(c.Cell), Epoch: uint64(c.Epoch), Pulse: c.Pulse, Upto: c.Upto}
	for _, a := range ident.Keys(c.Table) {
		if b := c.Table[a]; !strings.HasPrefix(b.Incarnation, Bare) || b.State == Leaving {
			k.Backends = append(k.Backends, b)
		}
	}
	return k
}

func (c *Copy) Old() *wire.CellNews {
	return &wire.CellNews{Cell: string(c.Cell), Epoch: uint64(c.Epoch), Pulse: c.Pulse, Upto: c.Upto, Ranges: c.Ranges(nil), Old: true}
}

func (c *Copy) Remember(n *wire.CellNews) {
	e := ident.Epoch(n.Epoch)
	if e < c.Epoch || e == c.Epoch && (c.Known || n.Upto <= c.Upto) {
		return
	}
	k := &wire.CellKept{Cell: string(c.Cell), Epoch: n.Epoch, Pulse: n.Pulse, Upto: n.Upto}
	for _, r := range n.Ranges {
		k.Backends = append(k.Backends, r.Backends...)
	}
	old := *c
	*c = *Kept(k)
	c.rev, c.asks, c.Turns, c.Leaves = old.rev+1, old.asks, old.Turns+1, old.Leaves
}

func (c *Copy) Have() *wire.CellHave {
	h := &wire.CellHave{Cell: string(c.Cell), Epoch: uint64(c.Epoch), Upto: c.Upto, NodesSum: c.sumOfRoll()}
	if c.asks%WholeEvery == 0 || !c.Known {
		h.Digests = c.Digests()
	}
	c.asks++
	return h
}

func (c *Copy) News(have *wire.CellHave, age time.Duration) *wire.CellNews {
	newer := func(ver uint64) []*wire.Backend {
		var out []*wire.Backend
		for _, a := range ident.Keys(c.Table) {
			if b := c.Table[a]; b.Version > ver {
				out = append(out, b)
			}
		}
		return out
	}
	n := sheet{c.Epoch, c.Pulse, c.Upto, c.Roll, &c.tombs, newer, c.Ranges}.news(c.Cell, have)
	n.AgeNs = int64(age)
	return n
}

func (c *Copy) Ranges(have []uint64) []*wire.Range {
	var out []*wire.Range
	for p := 0; p < Parts; p++ {
		if p < len(have) && have[p] == c.sums[p] {
			continue
		}
		r := &wire.Range{Part: uint32(p)}
		for a, b := range c.Table {
			if Part(string(a)) == p {
				r.Backends = append(r.Backends, b)
			}
		}
		sort.Slice(r.Backends, func(i, j int) bool { return r.Backends[i].Addr < r.Backends[j].Addr })
		out = append(out, r)
	}
	return out
}
