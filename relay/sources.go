package relay

import (
	"cmp"
	"maps"
	"slices"

	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/wire"
)

// source is what a process said of its own news when it answered a sounding.
type source struct {
	address string
	// heardAt is when the sounding that it answered last was sent.
	heardAt ident.Moment
	core    uint64
	// precise is false for a process that doesn't tell how fresh its news is.
	precise  bool
	coreAsOf ident.Moment
	cells    map[ident.Cell]cellMark
}

// cellMark is the version of a cell's table that a process knows, and the moment of its news.
type cellMark struct {
	epoch ident.Epoch
	upto  uint64
	asOf  ident.Moment
}

func (m cellMark) newerThan(k *cell.Copy) bool {
	return m.epoch > k.Epoch || m.epoch == k.Epoch && m.upto > k.Upto
}

// freshness tells how old the news is that this process could pass on.
func (s *State) freshness(now ident.Moment) *wire.Freshness {
	f := &wire.Freshness{CoreAgeNs: int64(now.Sub(s.CoreAsOf))}
	for _, c := range s.cellNames() {
		if k := s.Cells[c]; k.Known {
			f.Cells = append(f.Cells, &wire.CellMark{Cell: string(c), Epoch: uint64(k.Epoch), Upto: k.Upto, AgeNs: int64(now.Sub(k.AsOf))})
		}
	}
	return f
}

// sounded takes up the answer to a sounding that was sent at a moment.
func (s *State) sounded(n *wire.News, from string, at ident.Moment) {
	if n.Newest == 0 {
		return
	}
	heard := &source{address: from, heardAt: at, core: n.Newest, precise: n.Freshness != nil, cells: map[ident.Cell]cellMark{}}
	heard.coreAsOf = past(at, n.Freshness.GetCoreAgeNs())
	for _, m := range n.Freshness.GetCells() {
		heard.cells[ident.Cell(m.Cell)] = cellMark{ident.Epoch(m.Epoch), m.Upto, past(at, m.AgeNs)}
	}
	i := slices.IndexFunc(s.sources, func(k *source) bool { return k.address == from })
	switch {
	case i < 0:
		s.sources = append(s.sources, heard)
	case at.After(s.sources[i].heardAt):
		s.sources[i] = heard
	}
}

func (s *State) sourceAt(address string) *source {
	for _, k := range s.sources {
		if k.address == address {
			return k
		}
	}
	return nil
}

// forgetSources drops what was said, and whom was asked directly, too long ago.
func (s *State) forgetSources(now ident.Moment) {
	maps.DeleteFunc(s.directAt, func(_ string, at ident.Moment) bool { return now.Sub(at) > AskKept })
	s.sources = slices.DeleteFunc(s.sources, func(k *source) bool { return now.Sub(k.heardAt) > AskKept })
}

func (s *State) sourceAddresses() (addresses []string) {
	for _, k := range s.sources {
		addresses = append(addresses, k.address)
	}
	return addresses
}

// CoreBehind says whether a process that answered lately knows a newer core than this one.
func (s *State) CoreBehind() bool {
	return slices.ContainsFunc(s.sources, func(k *source) bool { return k.core > s.Core.GetVersion() })
}

// cellBehind says whether a process that answered lately knows, or may know, a newer table of a cell.
func (s *State) cellBehind(k *cell.Copy, now ident.Moment) bool {
	return slices.ContainsFunc(s.sources, func(from *source) bool {
		if !from.precise {
			return s.holds(from.address, k) && from.heardAt.After(k.AsOf) && now.Sub(from.heardAt) < CellFresh
		}
		mark, ok := from.cells[k.Cell]
		return ok && mark.newerThan(k)
	})
}

// holds says whether a process at an address is the holder that a copy came from.
func (s *State) holds(address string, k *cell.Copy) bool {
	return slices.ContainsFunc(s.Core.GetHolds(), func(h *wire.Hold) bool {
		return h.Cell == string(k.Cell) && h.Epoch == uint64(k.Epoch) && h.Addr == address
	})
}

// offers counts what a source could bring: a newer core, or one that makes late news fresh, before
// all, and tables of late cells.
func (s *State) offers(from *source, late []*cell.Copy, now ident.Moment) (count int) {
	if !from.precise {
		return 1
	}
	if from.core > s.Core.Version || s.coreLate(now) && from.coreAsOf.Sub(s.CoreAsOf) > AskEvery {
		count += 1 + len(late)
	}
	for _, k := range late {
		mark, ok := from.cells[k.Cell]
		if ok && (mark.newerThan(k) || mark.epoch == k.Epoch && mark.asOf.Sub(k.AsOf) > AskEvery) {
			count++
		}
	}
	return count
}

// worthAsking lists the sources that have something newer than the late news here, best first.
func (s *State) worthAsking(late []*cell.Copy, now ident.Moment) (addresses []string) {
	offered := map[string]int{}
	for _, from := range s.sources {
		if n := s.offers(from, late, now); n > 0 {
			offered[from.address] = n
			addresses = append(addresses, from.address)
		}
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(offered[b], offered[a]) })
	return addresses
}
