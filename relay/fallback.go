package relay

import (
	"slices"
	"time"

	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/wire"
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
	return now.Sub(s.CoreAsOf) > LateNews || len(s.lateHolders(now)) > 0
}

// lateHolders lists the holders of the cells whose news is late.
func (s *State) lateHolders(now ident.Moment) (holders []string) {
	for _, h := range s.Core.GetHolds() {
		k := s.Cells[ident.Cell(h.Cell)]
		if late := k != nil && k.Known && now.Sub(k.AsOf) > LateNews; late && h.Addr != "" && !slices.Contains(holders, h.Addr) {
			holders = append(holders, h.Addr)
		}
	}
	return holders
}

// fallBack sounds some control processes, those first that hold the cells whose news is late, and asks
// one of those that answered. A sounding is a few bytes, so a lost one costs a slow link nothing.
func (s *State) fallBack(targets []string, now ident.Moment) {
	if !s.falling {
		s.falling, s.sources = true, nil
		s.giveUpAsks()
	}
	holders := s.lateHolders(now)
	list := slices.Clone(holders)
	for range SoundedAtOnce {
		s.turn++
		list = append(list, targets[s.turn%len(targets)])
	}
	slices.Sort(list)
	for _, to := range slices.Compact(list) {
		if s.waits(to) == 0 {
			s.sound(to, now)
		}
	}
	answering := slices.DeleteFunc(holders, func(h string) bool { return !slices.Contains(s.sources, h) })
	if known := append(answering, s.sources...); len(known) > 0 {
		s.askOne(known, now)
	}
}

// giveUpAsks has nothing wait any more for the asks that are under way; a late answer counts still.
func (s *State) giveUpAsks() {
	for token, a := range s.asks {
		a.late = true
		s.asks[token] = a
	}
}

// holderAnswers says whether the holder that a copy came from has answered an ask of this process that
// was sent after the copy's moment, and not long ago.
func (s *State) holderAnswers(k *cell.Copy, now ident.Moment) bool {
	i := slices.IndexFunc(s.Core.GetHolds(), func(h *wire.Hold) bool {
		return h.Cell == string(k.Cell) && h.Epoch == uint64(k.Epoch)
	})
	if i < 0 {
		return false
	}
	at, ok := s.heardFrom[s.Core.Holds[i].Addr]
	return ok && at.After(k.AsOf) && now.Sub(at) < CellFresh
}
