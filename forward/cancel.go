package forward

import (
	"sloeturn/ident"
)

// Gone hears that a client closed its connection before it was answered: nothing more is sent for
// it, and what was sent is canceled where its work may be repeated.
func (s *State) Gone(id ident.Visit, now ident.Moment) {
	for _, attempt := range []*Visit{s.visits[id], s.visits[id+besideName]} {
		if attempt != nil {
			s.leave(attempt, "client left", now)
		}
	}
	s.passed(now)
}

// leave ends the wait for an attempt's answer. An attempt that was not sent is withdrawn, one that
// was is canceled.
func (s *State) leave(v *Visit, why string, now ident.Moment) {
	v.Told = true
	if v.Phase < Sent {
		s.unsent(v, why, v.Phase >= Connected, now)
		return
	}
	s.cancel(v, now)
}

// cancel asks a backend to stop work whose answer nobody waits for. Work that must not be repeated
// runs to its end: broken off midway, nobody could tell what became of it.
func (s *State) cancel(v *Visit, now ident.Moment) {
	if v.Phase != Sent || v.canceled || !v.Rule.Again {
		return
	}
	if !v.late {
		s.State.Unanswered(v.Backend.Addr, v.Backend.Life, v.kind(), now.Sub(v.sent), now)
	}
	v.canceled = true
	s.emit(Cancel{v.Visit})
}
