package relay

import (
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
			s.askOne(s.sources, now)
		}
		return
	}
	to := []string{s.Core.LeaderAddr}
	if s.turn++; s.turn%2 == 0 || s.Core.LeaderAddr == "" {
		to = targets[s.turn/2%len(targets):][:1]
	}
	if lacks := s.lacks(); len(lacks) > 0 {
		s.askOne(append(append(lacks, to...), s.sources...), now)
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

func (s *State) askOne(list []string, now ident.Moment) {
	asked := map[string]bool{}
	for _, a := range s.asks {
		if !a.bare && !a.late && now.Sub(a.at) < SourceWait {
			return
		}
		asked[a.to] = asked[a.to] || !a.bare
	}
	for _, t := range list {
		if !asked[t] {
			s.AskTo(t, "", now)
			return
		}
	}
	s.sourceTurn++
	s.AskTo(list[s.sourceTurn%len(list)], "", now)
}

func (s *State) sound(to string, now ident.Moment) {
	s.token++
	s.asks[s.token] = ask{at: now, to: to, only: true, bare: true}
	s.out = append(s.out, wire.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Ask{Ask: &wire.Ask{Token: s.token, Only: true, Sounding: true}}}})
}

func (s *State) sounded(n *wire.News, from string) {
	if n.Newest > 0 && !slices.Contains(s.sources, from) {
		s.sources = append(s.sources, from)
	}
}
