package relay

import (
	"slices"
	"time"

	"sloeturn/cell"
	"sloeturn/ident"
)

const (
	// LateUpdateAge is the age of its data at which a node no longer waits for the processes up the tree.
	LateUpdateAge = 800 * time.Millisecond
	// ProbesPerRound is how many control processes a node probes in a round, beside the holders of the
	// cells whose data is late.
	ProbesPerRound = 2
)

// needsFallback tells whether a node's data is so old that it polls control processes itself.
func (s *State) needsFallback(now ident.Moment) bool {
	if s.Control || !s.CoreKnown {
		return false
	}
	return s.coreIsLate(now) || len(s.lateCells(now)) > 0
}

func (s *State) coreIsLate(now ident.Moment) bool { return now.Sub(s.CoreAsOf) > LateUpdateAge }

// lateCells returns the cells that have a holder and whose data is late.
func (s *State) lateCells(now ident.Moment) (late []*cell.Replica) {
	for _, hold := range s.Core.GetHolds() {
		if table := s.Cells[ident.Cell(hold.Cell)]; table != nil && table.Known && now.Sub(table.AsOf) > LateUpdateAge {
			late = append(late, table)
		}
	}
	return late
}

// holdersOf returns the addresses of the holders of cells.
func (s *State) holdersOf(cells []*cell.Replica) (addresses []string) {
	for _, hold := range s.Core.GetHolds() {
		held := slices.ContainsFunc(cells, func(table *cell.Replica) bool { return string(table.Cell) == hold.Cell })
		if held && hold.Addr != "" {
			addresses = append(addresses, hold.Addr)
		}
	}
	return addresses
}

// pollDirectly probes some control processes, the holders of late cells among them, and polls one of those
// that reported something newer. A probe is a few bytes, so a lost one costs a slow link nothing.
func (s *State) pollDirectly(targets []string, now ident.Moment) {
	if now.Sub(s.probeRoundAt) < StartPollInterval {
		return
	}
	s.probeRoundAt = now
	late := s.lateCells(now)
	candidates := s.holdersOf(late)
	for range ProbesPerRound {
		s.rotation++
		candidates = append(candidates, targets[s.rotation%len(targets)])
	}
	slices.Sort(candidates)
	for _, to := range slices.Compact(candidates) {
		if s.probeDue(to, now) {
			s.sendProbe(to, now)
		}
	}
	if newer := s.sourcesWithNewer(late, now); len(newer) > 0 {
		s.pollOne(newer, now)
	}
}

// probeDue tells whether a process has no poll or probe under way and was last probed PollInterval ago or
// earlier.
func (s *State) probeDue(address string, now ident.Moment) bool {
	from := s.sourceAt(address)
	return s.pollsUnderWay(address) == 0 && (from == nil || now.Sub(from.probedAt) >= PollInterval)
}
