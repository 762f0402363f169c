package data

import (
	"sloeturn/ident"
	"sloeturn/wire"
)

func (s *State) drain(now ident.Moment) {
	if s.draining {
		return
	}
	s.draining = true
	s.drainAt = now
	s.out = append(s.out, Note{"Draining."})
}

func (s *State) finish(heads []string, now ident.Moment) {
	if !s.draining {
		return
	}
	if s.Open() == 0 && now.Sub(s.drainAt) > DrainGrace && !s.signedOff {
		s.signedOff, s.signedAt = true, now
		s.rev = 0
		s.out = append(s.out, Shed{map[ident.Addr]string{}}, Note{"All visits have ended."})
		s.refresh(now)
	}
	if s.signedOff && !s.gone && !s.freeing && s.Pass.Held() == 0 {
		if s.seat == nil {
			s.gone = true
		} else {
			s.freeing = true
			s.Mail.Post(&wire.Change{Body: &wire.Change_SeatFree{SeatFree: &wire.SeatFree{Seat: s.seat.Seat, Member: s.seat.Member, Incarnation: s.seat.Incarnation, Reason: "sign-off"}}}, now.Add(SeatWait), freeTag{}, heads, now)
		}
	}
	if s.signedOff && !s.gone && s.Pass.Held() == 0 && now.Sub(s.signedAt) > SignOffWait {
		s.gone = true
		s.out = append(s.out, Note{"Nobody heard the sign-off; the seat stays with this address."})
	}
	if s.gone {
		s.Members.Leave(now)
		s.out = append(s.out, Note{"Signed off."}, Exit{})
	}
}
