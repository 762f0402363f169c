package relay

import (
	"cmp"
	"maps"
	"slices"

	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/wire"
)

// source is what another process reported of its data in the answer to a freshness probe.
type source struct {
	address string
	// probedAt is when the last probe that it answered was sent.
	probedAt    ident.Moment
	coreVersion uint64
	// reportsAges is false for a process of an older build, which does not report the ages of its data.
	reportsAges bool
	coreAsOf    ident.Moment
	cells       map[ident.Cell]tableVersion
}

// tableVersion is the version of a cell's table that a process knows, and the moment as of which it was
// current.
type tableVersion struct {
	epoch ident.Epoch
	upto  uint64
	asOf  ident.Moment
}

func (v tableVersion) newerThan(table *cell.Replica) bool {
	return v.epoch > table.Epoch || v.epoch == table.Epoch && v.upto > table.Version
}

// freshness reports the ages of the data that this process could pass on.
func (s *State) freshness(now ident.Moment) *wire.Freshness {
	report := &wire.Freshness{CoreAgeNs: int64(now.Sub(s.CoreAsOf))}
	for _, name := range s.cellNames() {
		if table := s.Cells[name]; table.Known {
			report.Cells = append(report.Cells, &wire.CellMark{Cell: string(name), Epoch: uint64(table.Epoch), Upto: table.Version, AgeNs: int64(now.Sub(table.AsOf))})
		}
	}
	return report
}

// recordProbe takes over the answer to a probe that was sent at a moment.
func (s *State) recordProbe(update *wire.News, from string, sentAt ident.Moment) {
	if update.Newest == 0 {
		return
	}
	reported := &source{address: from, probedAt: sentAt, coreVersion: update.Newest, reportsAges: update.Freshness != nil, cells: map[ident.Cell]tableVersion{}}
	reported.coreAsOf = asOfMoment(sentAt, update.Freshness.GetCoreAgeNs())
	for _, mark := range update.Freshness.GetCells() {
		reported.cells[ident.Cell(mark.Cell)] = tableVersion{ident.Epoch(mark.Epoch), mark.Upto, asOfMoment(sentAt, mark.AgeNs)}
	}
	i := slices.IndexFunc(s.sources, func(known *source) bool { return known.address == from })
	switch {
	case i < 0:
		s.sources = append(s.sources, reported)
	case sentAt.After(s.sources[i].probedAt):
		s.sources[i] = reported
	}
}

// sourceAt returns the source at an address, or nil.
func (s *State) sourceAt(address string) *source {
	for _, known := range s.sources {
		if known.address == address {
			return known
		}
	}
	return nil
}

// forgetSources drops old answers to probes and old direct polls.
func (s *State) forgetSources(now ident.Moment) {
	maps.DeleteFunc(s.directPollAt, func(_ string, at ident.Moment) bool { return now.Sub(at) > PollRetention })
	s.sources = slices.DeleteFunc(s.sources, func(known *source) bool { return now.Sub(known.probedAt) > PollRetention })
}

func (s *State) sourceAddresses() (addresses []string) {
	for _, known := range s.sources {
		addresses = append(addresses, known.address)
	}
	return addresses
}

// CoreBehind tells whether a process that answered recently knows a newer core.
func (s *State) CoreBehind() bool {
	return slices.ContainsFunc(s.sources, func(known *source) bool { return known.coreVersion > s.Core.GetVersion() })
}

// cellBehind tells whether a process that answered recently knows, or may know, a newer table of a cell.
func (s *State) cellBehind(table *cell.Replica, now ident.Moment) bool {
	return slices.ContainsFunc(s.sources, func(from *source) bool {
		if !from.reportsAges {
			return s.isHolderOf(from.address, table) && from.probedAt.After(table.AsOf) && now.Sub(from.probedAt) < CellFreshFor
		}
		mark, ok := from.cells[table.Cell]
		return ok && mark.newerThan(table)
	})
}

// isHolderOf tells whether the process at an address is the holder from which a copy came.
func (s *State) isHolderOf(address string, table *cell.Replica) bool {
	return slices.ContainsFunc(s.Core.GetHolds(), func(hold *wire.Hold) bool {
		return hold.Cell == string(table.Cell) && hold.Epoch == uint64(table.Epoch) && hold.Addr == address
	})
}

// countOffers counts what a source could provide: tables of late cells, and before all of them a newer
// core, or one that was current more recently while the core here is late.
func (s *State) countOffers(from *source, late []*cell.Replica, now ident.Moment) (count int) {
	if !from.reportsAges {
		return 1
	}
	if from.coreVersion > s.Core.Version || s.coreIsLate(now) && from.coreAsOf.Sub(s.CoreAsOf) > PollInterval {
		count += 1 + len(late)
	}
	for _, table := range late {
		mark, ok := from.cells[table.Cell]
		if ok && (mark.newerThan(table) || mark.epoch == table.Epoch && mark.asOf.Sub(table.AsOf) > PollInterval) {
			count++
		}
	}
	return count
}

// sourcesWithNewer returns the sources with something newer than the late data here, best first.
func (s *State) sourcesWithNewer(late []*cell.Replica, now ident.Moment) (addresses []string) {
	offered := map[string]int{}
	for _, from := range s.sources {
		if count := s.countOffers(from, late, now); count > 0 {
			offered[from.address] = count
			addresses = append(addresses, from.address)
		}
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(offered[b], offered[a]) })
	return addresses
}
