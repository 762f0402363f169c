package relay

import (
	"sloeturn/ident"
	"sloeturn/wire"
)

// poll is a request for newer data that was sent to another process.
type poll struct {
	sentAt ident.Moment
	to     string
	// confirmsFrom and confirmsUpTo are the range of confirmSequence whose confirmations it carries;
	// confirmCount is how many confirmations the other process should know once it has received them.
	confirmsFrom uint64
	confirmsUpTo uint64
	confirmCount int
	late         bool
	// coreVersion is the version of the core that was known here. A partial poll requests only cells, and
	// a probe only the freshness of the other process's data.
	coreVersion uint64
	partial     bool
	cells       []*wire.CellHave
	probe       bool
	// direct polls are sent one at a time, beside those that go up the tree.
	direct bool
}

// requestedCells lists the cells to request of a member. A control process that knows all cells polls each
// holder for its own cells only, and others for a cell only once its data is overdue.
func (s *State) requestedCells(member ident.Member, now ident.Moment) (requested []*wire.CellHave, partial bool) {
	holders, epochs := map[string]string{}, map[string]uint64{}
	partial = s.Control && member != "" && s.CoreKnown && len(s.Core.Holds) > 0
	for _, hold := range s.Core.GetHolds() {
		holders[hold.Cell], epochs[hold.Cell] = hold.Holder, hold.Epoch
		table := s.Cells[ident.Cell(hold.Cell)]
		partial = partial && table != nil && table.Known
	}
	for _, name := range s.cellNames() {
		table := s.Cells[name]
		if holder := holders[string(name)]; partial && holder != "" && holder != string(member) && now.Sub(table.AsOf) <= CellOverdueAge {
			continue
		}
		have := table.Have()
		if s.Control {
			have.Promised = epochs[string(name)]
		}
		requested = append(requested, have)
	}
	return requested, partial
}

// Poll requests newer data from the process at an address, and sends it the confirmations that it has not
// acknowledged. The member may be empty if it is unknown. It returns the token of the poll.
func (s *State) Poll(to string, member ident.Member, now ident.Moment) uint64 {
	token := s.tokens.Next()
	peer := s.peers[to]
	if peer == nil {
		peer = &peerProgress{}
		s.peers[to] = peer
	}
	if peer.polls++; peer.polls%FullConfirmsEvery == 0 {
		peer.confirmsUpTo = 0
	}
	confirms, count := s.confirmsSince(peer.confirmsUpTo)
	ask := &wire.Ask{Token: token, Have: uint64(s.DocumentGeneration), Confirms: confirms, Deltas: true, Voter: string(s.Voter)}
	if s.CoreKnown && !s.needsFullCore {
		ask.Core = s.Core.Version
	}
	ask.Cells, ask.Only = s.requestedCells(member, now)
	s.polls[token] = poll{sentAt: now, to: to, confirmsFrom: peer.confirmsUpTo, confirmsUpTo: s.confirmSequence, confirmCount: count, coreVersion: ask.Core, partial: ask.Only, cells: ask.Cells}
	s.out = append(s.out, wire.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Ask{Ask: ask}}})
	return token
}

// PollNow lets the next tick poll without waiting for the interval.
func (s *State) PollNow() { s.lastPollAt = 0 }

// expirePolls marks polls as late once they take four times as long as usual, and drops very old ones.
func (s *State) expirePolls(now ident.Moment) {
	wait := min(max(MinPollTimeout, 4*s.responseTime), MaxPollTimeout)
	for token, sent := range s.polls {
		switch {
		case now.Sub(sent.sentAt) > PollRetention:
			delete(s.polls, token)
		case !sent.late && now.Sub(sent.sentAt) > wait:
			sent.late = true
			s.polls[token] = sent
			if sent.to == s.parent {
				s.parentStale = true
			}
		}
	}
}

// maxPolls is how many polls may be under way at one process.
func (s *State) maxPolls() int {
	if s.Starting {
		return MaxStartPolls
	}
	return 1
}

// pollsUnderWay counts the polls and probes of a process that are not late.
func (s *State) pollsUnderWay(to string) int {
	count := 0
	for _, sent := range s.polls {
		if sent.to == to && !sent.late {
			count++
		}
	}
	return count
}
