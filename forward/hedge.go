package forward

import (
	"sloeturn/ident"
)

// other returns the attempt beside v if its answer is still waited for, else nil.
func (s *State) other(v *Visit) *Visit {
	if m := s.visits[v.mate]; v.mate != "" && m != nil && !m.Told {
		return m
	}
	return nil
}

// beside sends one further attempt of an overdue request to another backend. The first whole answer
// counts; the budget of the service pays for it.
func (s *State) beside(v *Visit, now ident.Moment) {
	if v.mate != "" || v.Told || !v.Rule.Again || v.Shot >= v.Rule.Shots {
		return
	}
	late, usual, ok := s.State.Overdue(v.kind())
	if !ok || now.Sub(v.sent) < late || v.AnswerBy.Sub(now) < usual || !s.further(v.Rule.Service) {
		return
	}
	t := &Visit{Arrival: v.Arrival, Shot: v.Rule.Shots - 1, Unsure: true, twin: true, mate: v.Visit, skip: map[ident.Addr]bool{v.Backend.Addr: true}}
	t.Visit += besideName
	for a := range v.skip {
		t.skip[a] = true
	}
	v.mate = t.Visit
	t.asked, t.GiveUpAt = now, now.Add(Patience(v.Rule))
	s.visits[t.Visit] = t
	s.emit(Beside{v.Visit, t.Visit})
	s.ask(t, now)
}
