package relay

import (
	"cmp"
	"slices"

	"sloeturn/ident"
	"sloeturn/wire"
)

// start is how a node that begins comes to its news: it sounds all places at once, and asks one at a time of those that
// know a core for all of it, the first to answer first; so the one whole answer doesn't share a slow link with its doubles.
func (s *State) start(targets []string, now ident.Moment) {
	if !s.CoreKnown {
		for _, t := range targets {
			if s.waits(t) < s.most() {
				s.sound(t, now)
			}
		}
		if len(s.sources) > 0 {
			s.askOne(s.sourceAddresses(), now)
		}
		return
	}
	to := []string{s.Core.LeaderAddr}
	if s.turn++; s.turn%2 == 0 || s.Core.LeaderAddr == "" {
		to = targets[s.turn/2%len(targets):][:1]
	}
	if lacks := s.lacks(); len(lacks) > 0 {
		s.askOne(append(append(lacks, to...), s.sourceAddresses()...), now)
	} else if s.waits(to[0]) < s.most() {
		s.AskTo(to[0], "", now)
	}
}

// lacks lists the holders of the cells that aren't known here; without any, further answers bring changes alone.
func (s *State) lacks() (holders []string) {
	for _, h := range s.Core.GetHolds() {
		if k := s.Cells[ident.Cell(h.Cell)]; k == nil || !k.Known {
			if h.Addr != "" && !slices.Contains(holders, h.Addr) {
				holders = append(holders, h.Addr)
			}
		}
	}
	return holders
}

// askOne asks one process of a list, one at a time: of those that owe no answer, the one that was asked
// so longest ago. So a process that answers at once and has nothing newer doesn't keep the others from
// being asked.
func (s *State) askOne(list []string, now ident.Moment) {
	owing := map[string]bool{}
	for _, a := range s.asks {
		if a.direct && !a.late && now.Sub(a.at) < SourceWait {
			return
		}
		owing[a.to] = owing[a.to] || !a.sounding
	}
	free := slices.DeleteFunc(slices.Clone(list), func(address string) bool { return owing[address] })
	if len(free) == 0 {
		free = list
	}
	to := slices.MinFunc(free, func(a, b string) int { return cmp.Compare(s.directAt[a], s.directAt[b]) })
	s.directAt[to] = now
	s.askDirectly(to, now)
}

func (s *State) askDirectly(to string, now ident.Moment) {
	token := s.AskTo(to, "", now)
	a := s.asks[token]
	a.direct = true
	s.asks[token] = a
}

func (s *State) sound(to string, now ident.Moment) {
	token := s.tokens.Next()
	s.asks[token] = ask{at: now, to: to, only: true, sounding: true}
	s.out = append(s.out, wire.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Ask{Ask: &wire.Ask{Token: token, Only: true, Sounding: true}}}})
}
