package control

import (
	"sloeturn/ident"
	"sloeturn/wire"
)

// leaseLapsed reports that no seat can still serve on state that lacks what could be published from the
// given moment on.
func (s *State) leaseLapsed(since, now ident.Moment) bool {
	return now.Sub(max(since, s.Agreement.LedSince())) > s.Relay.LeaseDuration+LeaseExpirySlack
}

// generationByLease is the newest generation for which no seat can still serve an older one by its
// lease, whatever it has confirmed.
func (s *State) generationByLease(now ident.Moment) ident.Generation {
	generation := s.Ledger.Generation
	for generation > s.Ledger.EffectiveGeneration && !s.leaseLapsed(s.appliedAt[generation], now) {
		generation--
	}
	return generation
}

// generationByAllSeats is the newest generation that all seats decide under, and none under an older
// one.
func (s *State) generationByAllSeats(now ident.Moment) ident.Generation {
	byLease, all := s.generationByLease(now), s.Ledger.Generation
	for number, seat := range s.Ledger.Seats {
		if s.Ledger.RevokedLeases[number].GetFenced() {
			continue
		}
		generation := byLease
		if confirm := s.Relay.ConfirmOf(seat.Member); confirm != nil && confirm.Incarnation == seat.Incarnation {
			generation = max(generation, ident.Generation(confirm.Staged))
		}
		all = min(all, generation)
	}
	return all
}

// allSeatsShrunk reports that every seat has given up the capacity that the newest generation takes
// from it.
func (s *State) allSeatsShrunk() bool {
	for _, seat := range s.Ledger.Seats {
		confirm := s.Relay.ConfirmOf(seat.Member)
		if confirm == nil || confirm.Incarnation != seat.Incarnation || confirm.Shrunk < uint64(s.Ledger.Generation) {
			return false
		}
	}
	return true
}

// proposeMark proposes which generation is in effect, and which one all seats have shrunk to.
func (s *State) proposeMark(now ident.Moment) {
	mark := &wire.Mark{InForce: uint64(s.Ledger.EffectiveGeneration), Grown: uint64(s.Ledger.ExpandedGeneration)}
	if s.Ledger.EffectiveGeneration < s.Ledger.Generation {
		mark.InForce = max(mark.InForce, uint64(s.generationByAllSeats(now)))
	}
	if s.Ledger.ExpandedGeneration < s.Ledger.Generation && s.allSeatsShrunk() {
		mark.Grown = uint64(s.Ledger.Generation)
	}
	urgent := mark.InForce > max(uint64(s.Ledger.EffectiveGeneration), s.lastMark.GetInForce())
	if mark.InForce == uint64(s.Ledger.EffectiveGeneration) && mark.Grown == uint64(s.Ledger.ExpandedGeneration) || !urgent && s.lastMarkAt != 0 && now.Sub(s.lastMarkAt) < MarkInterval {
		return
	}
	if _, ok := s.Agreement.Propose(&wire.Change{Body: &wire.Change_Mark{Mark: mark}}, now); ok {
		s.lastMark, s.lastMarkAt = mark, now
	}
}
