package relay

import (
	"cmp"
	"slices"

	"sloeturn/ident"
	"sloeturn/wire"
)

// pollAtStart is how a node that starts obtains its data. It probes all control processes at once, then
// polls one at a time for everything those that know a core, the first to answer first; so a slow link
// carries the whole answer only once.
func (s *State) pollAtStart(targets []string, now ident.Moment) {
	if !s.CoreKnown {
		for _, target := range targets {
			if s.pollsUnderWay(target) < s.maxPolls() {
				s.sendProbe(target, now)
			}
		}
		if len(s.sources) > 0 {
			s.pollOne(s.sourceAddresses(), now)
		}
		return
	}
	to := []string{s.Core.LeaderAddr}
	if s.rotation++; s.rotation%2 == 0 || s.Core.LeaderAddr == "" {
		to = targets[s.rotation/2%len(targets):][:1]
	}
	if holders := s.holdersOfMissingCells(); len(holders) > 0 {
		s.pollOne(append(append(holders, to...), s.sourceAddresses()...), now)
	} else if s.pollsUnderWay(to[0]) < s.maxPolls() {
		s.Poll(to[0], "", now)
	}
}

// holdersOfMissingCells returns the addresses of the holders of the cells that are not known here. Once
// there are none, further answers contain changes alone.
func (s *State) holdersOfMissingCells() (holders []string) {
	for _, hold := range s.Core.GetHolds() {
		if table := s.Cells[ident.Cell(hold.Cell)]; table == nil || !table.Known {
			if hold.Addr != "" && !slices.Contains(holders, hold.Addr) {
				holders = append(holders, hold.Addr)
			}
		}
	}
	return holders
}

// pollOne polls one process of a list, one at a time: of those that owe no answer, the one polled longest
// ago. A process that answers at once but has nothing newer thus doesn't keep the others from being
// polled.
func (s *State) pollOne(candidates []string, now ident.Moment) {
	owesAnswer := map[string]bool{}
	for _, sent := range s.polls {
		if sent.direct && !sent.late && now.Sub(sent.sentAt) < DirectPollTimeout {
			return
		}
		owesAnswer[sent.to] = owesAnswer[sent.to] || !sent.probe
	}
	free := slices.DeleteFunc(slices.Clone(candidates), func(address string) bool { return owesAnswer[address] })
	if len(free) == 0 {
		free = candidates
	}
	to := slices.MinFunc(free, func(a, b string) int { return cmp.Compare(s.directPollAt[a], s.directPollAt[b]) })
	s.directPollAt[to] = now
	s.sendDirectPoll(to, now)
}

func (s *State) sendDirectPoll(to string, now ident.Moment) {
	token := s.Poll(to, "", now)
	sent := s.polls[token]
	sent.direct = true
	s.polls[token] = sent
}

// sendProbe asks a process how fresh its data is.
func (s *State) sendProbe(to string, now ident.Moment) {
	token := s.tokens.Next()
	s.polls[token] = poll{sentAt: now, to: to, partial: true, probe: true}
	s.out = append(s.out, wire.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Ask{Ask: &wire.Ask{Token: token, Only: true, Sounding: true}}}})
}
