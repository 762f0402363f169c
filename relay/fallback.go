package relay

import (
	"slices"
	"time"

	"sloeturn/cell"
	"sloeturn/ident"
)

const (
	// LateNews is the age of news at which a node no longer waits for those that pass it on.
	LateNews = 800 * time.Millisecond
	// SoundedAtOnce is how many control processes a node sounds in a turn, beside the holders of the
	// cells whose news is late.
	SoundedAtOnce = 2
)

// fallsBack says whether a node's news is so old that it asks control processes itself.
func (s *State) fallsBack(now ident.Moment) bool {
	if s.Control || !s.CoreKnown {
		return false
	}
	return s.coreLate(now) || len(s.lateCells(now)) > 0
}

func (s *State) coreLate(now ident.Moment) bool { return now.Sub(s.CoreAsOf) > LateNews }

// lateCells lists the held cells whose news is late.
func (s *State) lateCells(now ident.Moment) (late []*cell.Copy) {
	for _, h := range s.Core.GetHolds() {
		if k := s.Cells[ident.Cell(h.Cell)]; k != nil && k.Known && now.Sub(k.AsOf) > LateNews {
			late = append(late, k)
		}
	}
	return late
}

// holdersOf lists where the holders of cells are.
func (s *State) holdersOf(cells []*cell.Copy) (addresses []string) {
	for _, h := range s.Core.GetHolds() {
		held := slices.ContainsFunc(cells, func(k *cell.Copy) bool { return string(k.Cell) == h.Cell })
		if held && h.Addr != "" {
			addresses = append(addresses, h.Addr)
		}
	}
	return addresses
}

// fallBack sounds some control processes, the holders of late cells among them, and asks one of those
// whose answers told of something newer. A sounding is a few bytes, so a lost one costs a slow link
// nothing.
func (s *State) fallBack(targets []string, now ident.Moment) {
	if now.Sub(s.soundAt) < EagerEvery {
		return
	}
	s.soundAt = now
	late := s.lateCells(now)
	list := s.holdersOf(late)
	for range SoundedAtOnce {
		s.turn++
		list = append(list, targets[s.turn%len(targets)])
	}
	slices.Sort(list)
	for _, to := range slices.Compact(list) {
		if s.dueForSounding(to, now) {
			s.sound(to, now)
		}
	}
	if newer := s.worthAsking(late, now); len(newer) > 0 {
		s.askOne(newer, now)
	}
}

func (s *State) dueForSounding(address string, now ident.Moment) bool {
	from := s.sourceAt(address)
	return s.waits(address) == 0 && (from == nil || now.Sub(from.heardAt) >= AskEvery)
}
