package agreement

import (
	"slices"
	"sort"
	"strings"

	"sloeturn/ident"
	"sloeturn/wire"
)

// Founding handles a founding message. A blank founder bootstraps once every founder, while blank,
// has reported the same set of voters that this one sees; so no second cluster is formed beside one
// that has already admitted a founder and has lost another since. A leader admits the sender as a
// learner.
func (s *State) Founding(claim *wire.Founding, now ident.Moment) {
	if s.role != Blank {
		if !claim.Answer {
			s.send(claim.Addr, foundingFrame(s.foundingMessage(true)))
		}
		if s.role == Leader && (claim.Learn || claim.Blank) {
			s.admitLearner(claim)
		}
		return
	}
	if claim.Voter != "" || claim.Answer && claim.Blank {
		s.founderClaims[claim.Addr] = founderClaim{claim, now}
	}
	roster := s.founderRoster()
	if !claim.Answer {
		message := s.foundingMessage(true)
		if slices.Contains(claim.Sees, string(s.Self.Voter)) {
			message.Sees = claim.Sees
		}
		s.send(claim.Addr, foundingFrame(message))
	}
	if roster == nil {
		s.foundByMajority(now)
		return
	}
	agreed := true
	for _, v := range roster.Voters {
		agreed = agreed && (v.Id == string(s.Self.Voter) || slices.Equal(s.founderClaims[v.Addr].Sees, voterIDs(roster)))
	}
	if agreed {
		s.bootstrap(roster, now)
		return
	}
	if seen := strings.Join(voterIDs(roster), " "); s.announcedFounders != seen {
		s.announcedFounders = seen
		for _, v := range roster.Voters {
			if v.Id != string(s.Self.Voter) {
				s.send(v.Addr, foundingFrame(s.foundingMessage(false)))
			}
		}
	}
	s.foundByMajority(now)
}

// foundingIndex is the index of the snapshot that a cluster is founded with.
const foundingIndex = 1

func foundingFrame(message *wire.Founding) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Founding{Founding: message}}
}

func voterIDs(roster *wire.Roster) []string {
	var out []string
	for _, v := range roster.GetVoters() {
		out = append(out, v.Id)
	}
	return out
}

// founderRoster returns the roster of the founders that hold a disk, once each founder has claimed
// to be blank, or nil. This member must be one of them.
func (s *State) founderRoster() *wire.Roster {
	roster := &wire.Roster{}
	for _, addr := range s.Founders {
		claim := s.founderClaims[string(addr)].Founding
		if addr == s.Self.Addr {
			claim = &wire.Founding{Voter: string(s.Self.Voter), Member: string(s.Self.Member), Addr: string(s.Self.Addr), Blank: true}
		}
		if claim == nil || !claim.Blank {
			return nil
		}
		if claim.Voter != "" {
			roster.Voters = append(roster.Voters, &wire.Voter{Id: claim.Voter, Addr: claim.Addr, Member: claim.Member})
		}
	}
	sort.Slice(roster.Voters, func(i, j int) bool { return roster.Voters[i].Id < roster.Voters[j].Id })
	if findVoter(roster, string(s.Self.Voter)) == nil {
		return nil
	}
	return roster
}

// foundByMajority forms the cluster, on its very first start, without founders that are still
// silent after MajorityFoundingDelay. Each founder has a single identity in such a start, so the
// silent founder's place in the roster is kept by a placeholder that never votes, and all founders
// count the same majorities, whichever of them they know. A founder whose disk may have been wiped
// counts as silent.
func (s *State) foundByMajority(now ident.Moment) {
	if !s.FreshFleet || now.Sub(s.startedAt) < MajorityFoundingDelay {
		return
	}
	roster, silent, fresh := &wire.Roster{}, 0, 0
	for _, addr := range s.Founders {
		claim, ok := s.founderClaims[string(addr)]
		if addr == s.Self.Addr {
			claim, ok = founderClaim{s.foundingMessage(false), now}, true
		}
		if ok && !claim.Blank {
			return
		}
		switch recent := ok && now.Sub(claim.at) <= FounderClaimTTL; {
		case recent && claim.Voter == "":
			continue
		case recent && claim.First:
			fresh++
			roster.Voters = append(roster.Voters, &wire.Voter{Id: claim.Voter, Addr: claim.Addr, Member: claim.Member})
			continue
		case !recent:
			silent++
		}
		roster.Voters = append(roster.Voters, &wire.Voter{Id: "silent/" + string(addr), Addr: string(addr), Member: "silent at " + string(addr)})
	}
	sort.Slice(roster.Voters, func(i, j int) bool { return roster.Voters[i].Id < roster.Voters[j].Id })
	if silent > 0 && fresh > len(s.Founders)/2 && findVoter(roster, string(s.Self.Voter)) != nil {
		s.bootstrap(roster, now)
	}
}

// foundingRoster returns the roster that the cluster was founded with, as long as this member's
// snapshot is still the founding one, and nil afterwards. A blank founder may bootstrap from no
// other roster: a later one may exist in this log only and never be committed.
func (s *State) foundingRoster() *wire.Roster {
	if s.snapshot == nil || s.snapshot.LastIndex != foundingIndex {
		return nil
	}
	return s.snapshot.Roster
}

// foundingMessage describes this member to the founders or to a leader.
func (s *State) foundingMessage(isAnswer bool) *wire.Founding {
	message := &wire.Founding{Voter: string(s.Self.Voter), Member: string(s.Self.Member), Addr: string(s.Self.Addr), Blank: s.role == Blank, Answer: isAnswer, Term: s.term, First: s.FreshFleet}
	if s.role == Blank {
		message.Sees = voterIDs(s.founderRoster())
	}
	return message
}

// admitLearner adds the sender of a founding message as a learner, in place of an earlier learner
// of the same member, or updates the address of a known voter. It waits while a roster change is in
// flight.
func (s *State) admitLearner(claim *wire.Founding) {
	if _, index := s.latestRoster(); index > s.commit || !s.HasCommittedInTerm() {
		return
	}
	roster := s.Roster()
	if v := findVoter(roster, claim.Voter); v != nil {
		if v.Addr != claim.Addr {
			s.proposeRoster(roster, func(w *wire.Voter) *wire.Voter {
				if w.Id == claim.Voter {
					return &wire.Voter{Id: w.Id, Addr: claim.Addr, Member: claim.Member, Learner: w.Learner}
				}
				return w
			}, nil)
		}
		return
	}
	s.proposeRoster(roster, func(w *wire.Voter) *wire.Voter {
		if w.Learner && w.Member == claim.Member {
			return nil
		}
		return w
	}, &wire.Voter{Id: claim.Voter, Addr: claim.Addr, Member: claim.Member, Learner: true})
}
