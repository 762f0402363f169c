package relay

import (
	"sloeturn/ident"
	"sloeturn/wire"
)

type ask struct {
	at       ident.Moment
	to       string
	from     uint64
	upto     uint64
	all      int
	late     bool
	core     uint64
	only     bool
	have     []*wire.CellHave
	sounding bool
	// direct asks are made one at a time, beside those that go up the tree.
	direct bool
}

func (s *State) wanted(of ident.Member, now ident.Moment) (list []*wire.CellHave, only bool) {
	holders, epochs := map[string]string{}, map[string]uint64{}
	only = s.Control && of != "" && s.CoreKnown && len(s.Core.Holds) > 0
	for _, h := range s.Core.GetHolds() {
		holders[h.Cell], epochs[h.Cell] = h.Holder, h.Epoch
		k := s.Cells[ident.Cell(h.Cell)]
		only = only && k != nil && k.Known
	}
	for _, c := range s.cellNames() {
		k := s.Cells[c]
		if holder := holders[string(c)]; only && holder != "" && holder != string(of) && now.Sub(k.AsOf) <= Overdue {
			continue
		}
		have := k.Have()
		if s.Control {
			have.Promised = epochs[string(c)]
		}
		list = append(list, have)
	}
	return list, only
}

// AskTo asks the process at an address, which is the member of, for news; it returns the ask's token.
func (s *State) AskTo(to string, of ident.Member, now ident.Moment) uint64 {
	token := s.tokens.Next()
	t := s.told[to]
	if t == nil {
		t = &told{}
		s.told[to] = t
	}
	if t.asks++; t.asks%WholeEvery == 0 {
		t.upto = 0
	}
	confirms, all := s.list(t.upto)
	a := &wire.Ask{Token: token, Have: uint64(s.DocGen), Confirms: confirms, Deltas: true, Voter: string(s.Voter)}
	if s.CoreKnown && !s.whole {
		a.Core = s.Core.Version
	}
	a.Cells, a.Only = s.wanted(of, now)
	s.asks[token] = ask{at: now, to: to, from: t.upto, upto: s.changes, all: all, core: a.Core, only: a.Only, have: a.Cells}
	s.out = append(s.out, wire.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Ask{Ask: a}}})
	return token
}

func (s *State) Hasten() { s.askAt = 0 }

func (s *State) overdue(now ident.Moment) {
	wait := min(max(AskWait, 4*s.took), AskPatience)
	for t, a := range s.asks {
		switch {
		case now.Sub(a.at) > AskKept:
			delete(s.asks, t)
		case !a.late && now.Sub(a.at) > wait:
			a.late = true
			s.asks[t] = a
			if a.to == s.parent {
				s.poor = true
			}
		}
	}
}

func (s *State) most() int {
	if s.Eager {
		return EagerAsks
	}
	return 1
}

func (s *State) waits(to string) int {
	n := 0
	for _, a := range s.asks {
		if a.to == to && !a.late {
			n++
		}
	}
	return n
}
