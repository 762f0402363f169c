package data

import (
	"sloeturn/ident"
	"sloeturn/wire"
)

// startDrain begins the planned stop; the node reports that it is not ready and serves on.
func (s *State) startDrain(now ident.Moment) {
	if s.draining {
		return
	}
	s.draining = true
	s.drainStartedAt = now
	s.effects = append(s.effects, LogNote{"Draining."})
}

// finishDrain ends the planned stop in steps: once DrainGracePeriod has passed and no request is open,
// the node deregisters, then gives its seat back and exits. If no control process confirms that within
// DeregistrationTimeout, it exits all the same and the seat stays bound to its address.
func (s *State) finishDrain(controlAddrs []string, now ident.Moment) {
	if !s.draining {
		return
	}
	if s.Open() == 0 && now.Sub(s.drainStartedAt) > DrainGracePeriod && !s.deregistered {
		s.deregistered, s.deregisteredAt = true, now
		s.appliedRevision = 0
		s.effects = append(s.effects, CloseStaleConns{map[ident.Addr]string{}}, LogNote{"All requests have ended."})
		s.refresh(now)
	}
	if s.deregistered && !s.mayExit && !s.freeingSeat && s.Pass.Held() == 0 {
		if s.seat == nil {
			s.mayExit = true
		} else {
			s.freeingSeat = true
			s.Proposals.Submit(&wire.Change{Body: &wire.Change_SeatFree{SeatFree: &wire.SeatFree{Seat: s.seat.Seat, Member: s.seat.Member, Incarnation: s.seat.Incarnation, Reason: "sign-off"}}}, now.Add(SeatChangeTimeout), seatFreeTag{}, controlAddrs, now)
		}
	}
	if s.deregistered && !s.mayExit && s.Pass.Held() == 0 && now.Sub(s.deregisteredAt) > DeregistrationTimeout {
		s.mayExit = true
		s.effects = append(s.effects, LogNote{"No control process confirmed the deregistration; the seat stays with this address."})
	}
	if s.mayExit {
		s.Members.Leave(now)
		s.effects = append(s.effects, LogNote{"Signed off."}, Exit{})
	}
}
