package control

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/relay"
	"sloeturn/wire"
)

// MaxSavedCopyBytes bounds the saved cell copies.
const MaxSavedCopyBytes = 500 << 10

// copySave is the state of the writes of cell copies: what the last one covered, and whether it is
// still under way.
type copySave struct {
	transitions uint64
	departures  uint64
	startedAt   ident.Moment
	busy        bool
	upTo        map[ident.Cell]uint64
}

// loadCopies takes the saved cell copies at the start.
func (s *State) loadCopies() {
	saved := &wire.Shelf{}
	if proto.Unmarshal(s.SavedCopies, saved) != nil {
		s.output = append(s.output, LogNote{"Cannot read the saved copies of the cells; skipped them."})
		return
	}
	for _, kept := range saved.Cells {
		s.Relay.Cells[ident.Cell(kept.Cell)] = cell.ReplicaFromSaved(kept)
	}
	s.SavedCopies = nil
}

// saveCopies writes the cell copies after a change, at once if a backend leaves.
func (s *State) saveCopies(now ident.Moment) {
	if !s.KeepsCopies || s.copySave.busy {
		return
	}
	turns, leaves := uint64(0), uint64(0)
	for _, k := range s.Relay.Cells {
		turns, leaves = turns+k.Transitions, leaves+k.Departures
	}
	if turns == s.copySave.transitions || leaves == s.copySave.departures && now.Sub(s.copySave.startedAt) < CopySaveInterval {
		return
	}
	s.copySave = copySave{turns, leaves, now, true, map[ident.Cell]uint64{}}
	for c, h := range s.heldCells {
		s.copySave.upTo[c] = h.table.Version()
	}
	doc, err := proto.Marshal(s.collectCopies())
	if err != nil {
		panic(err)
	}
	s.output = append(s.output, SaveCopies{doc})
}

// collectCopies collects the copies that fit, those of held cells first.
func (s *State) collectCopies() *wire.Shelf {
	var heldHere, others []*wire.CellKept
	for _, c := range ident.SortedKeys(s.Relay.Cells) {
		if kept := s.Relay.Cells[c].Save(); s.heldCells[c] != nil {
			heldHere = append(heldHere, kept)
		} else if len(kept.Backends) > 0 {
			others = append(others, kept)
		}
	}
	saved, room := &wire.Shelf{}, MaxSavedCopyBytes
	for _, kept := range append(heldHere, others...) {
		size := proto.Size(kept) + 8
		for size > room && len(kept.Backends) > 0 {
			kept.Backends = kept.Backends[:len(kept.Backends)/2]
			size = proto.Size(kept) + 8
		}
		if size <= room {
			room -= size
			saved.Cells = append(saved.Cells, kept)
		}
	}
	return saved
}

// copiesSaved notes the outcome of a write; drains that it covers may be acknowledged.
func (s *State) copiesSaved(ok bool, now ident.Moment) {
	s.copySave.busy = false
	if !ok {
		s.copySave.transitions = 0
		return
	}
	for _, c := range ident.SortedKeys(s.copySave.upTo) {
		if h := s.heldCells[c]; h != nil {
			h.savedUpTo = max(h.savedUpTo, min(s.copySave.upTo[c], h.table.Version()))
			s.answerDrains(h, now)
		}
	}
}

// oldCopies lists the saved copies that are newer than what the other process has.
func (s *State) oldCopies(have map[string]*wire.CellHave) []*wire.CellNews {
	var out []*wire.CellNews
	for _, c := range ident.SortedKeys(s.Relay.Cells) {
		k, h := s.Relay.Cells[c], have[string(c)]
		if k.Known || len(k.Backends) == 0 || h != nil && (h.Epoch > uint64(k.Epoch) || h.Epoch == uint64(k.Epoch) && h.Upto >= k.Version) {
			continue
		}
		out = append(out, k.SavedUpdate())
	}
	return out
}

// otherControls lists the addresses of the other control processes, voters included.
func (s *State) otherControls() []string {
	var voters, live []ident.Addr
	r := s.Relay.Core.GetRoster()
	if s.Agreement != nil {
		r = s.Agreement.Roster()
	}
	for _, v := range r.GetVoters() {
		voters = append(voters, ident.Addr(v.Addr))
	}
	for _, a := range s.controlAddresses() {
		live = append(live, ident.Addr(a))
	}
	var out []string
	for _, a := range ident.AddrsExcept(s.Addr, voters, live) {
		out = append(out, string(a))
	}
	return out
}

// isControl reports whether the address is another control process's.
func (s *State) isControl(from string) bool {
	for _, a := range s.otherControls() {
		if a == from {
			return true
		}
	}
	return false
}

// followsItself reports that a holder follows itself on its own address. Binding the address proves
// that the earlier incarnation answers no more, and a copy of a table of that sequence of holders
// proves that the sequence had begun. So it neither waits out the old lease nor asks for promises: the
// answers of a majority of the voters to this incarnation include all that the earlier one was
// acknowledged for.
func (s *State) followsItself(hold *wire.Hold) bool {
	cellCopy := s.Relay.Cells[ident.Cell(hold.Cell)]
	return cellCopy != nil && hold.Since != 0 && hold.Addr == string(s.Addr) && uint64(cellCopy.Epoch) >= hold.Since && uint64(cellCopy.Epoch) < hold.Epoch
}

// knownRoster is the membership configuration by this process's own log, or as published.
func (s *State) knownRoster() *wire.Roster {
	if s.Agreement != nil && len(s.Agreement.Roster().GetVoters()) > 0 {
		return s.Agreement.Roster()
	}
	return s.Relay.Core.GetRoster()
}

// voterID is the id of the voter that a process says it is. An older build does not say and is known by
// its address. It is empty for none: a wiped disk at a voter's address is not that voter.
func (s *State) voterID(id, addr string) string {
	for _, v := range agreement.Voters(s.knownRoster()) {
		if v.Id == id || id == "" && v.Addr == addr {
			return v.Id
		}
	}
	return ""
}

// isMajority reports whether the named voters, with this process if it is one, are a majority.
func (s *State) isMajority(has map[string]bool) bool {
	n, voters := 0, agreement.Voters(s.knownRoster())
	for _, voter := range voters {
		if has[voter.Id] || s.Voter != "" && voter.Id == string(s.Voter) {
			n++
		}
	}
	return 2*n > len(voters)
}

// holderWaitReason is what a holder that does not answer yet waits for; empty for one that does.
func (s *State) holderWaitReason(held *heldCell, now ident.Moment) string {
	switch {
	case held.successor != nil:
		return "its heir " + held.successor.Id
	case !held.quorumRead:
		voters := agreement.Voters(s.knownRoster())
		n := 0
		for _, voter := range voters {
			if held.readVoters[voter.Id] || s.Voter != "" && voter.Id == string(s.Voter) {
				n++
			}
		}
		return fmt.Sprintf("a majority of the voters; %d of %d are read", n, len(voters))
	case now.Before(held.answersFrom):
		return "the end of the old lease"
	case now.Sub(s.Relay.CoreAsOf) >= relay.HolderLease:
		return "the leader's word"
	}
	return ""
}

// recordReading counts a voter whose answer covers a cell that this process is about to hold, and that
// knew of the assignment: it acknowledges nothing for an earlier holder any more.
func (s *State) recordReading(voter, addr string, reading *relay.Coverage) {
	id := s.voterID(voter, addr)
	if id == "" {
		return
	}
	if !reading.Partial {
		s.answeredVoters[id] = true
	}
	for name, held := range s.heldCells {
		if !held.quorumRead && reading.CoreVersion >= held.coreVersion && reading.Covers(name) {
			held.readVoters[id] = true
		}
	}
}
