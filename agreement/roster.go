package agreement

import (
	"slices"
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// latestRoster returns the newest roster in the log, committed or not, and its index.
func (s *State) latestRoster() (*wire.Roster, uint64) {
	if s.cachedRoster == nil {
		s.cachedRoster, s.cachedRosterIndex = s.scanRoster()
	}
	return s.cachedRoster, s.cachedRosterIndex
}

func (s *State) scanRoster() (*wire.Roster, uint64) {
	for i := len(s.log) - 1; i >= 0; i-- {
		if roster := s.log[i].Change.GetRoster(); roster != nil {
			return roster, s.log[i].Index
		}
	}
	if s.snapshot != nil {
		return s.snapshot.Roster, s.snapshot.LastIndex
	}
	return &wire.Roster{}, 0
}

// Roster returns the newest roster in the log, committed or not.
func (s *State) Roster() *wire.Roster { roster, _ := s.latestRoster(); return roster }

// rosterAtIndex returns the roster that applies at a log index.
func (s *State) rosterAtIndex(index uint64) *wire.Roster {
	for k := int(index - s.base()); k > 0; k-- {
		if roster := s.log[k-1].Change.GetRoster(); roster != nil {
			return roster
		}
	}
	return s.snapshot.Roster
}

// Voters returns the members of a roster that vote.
func Voters(roster *wire.Roster) []*wire.Voter {
	var out []*wire.Voter
	for _, v := range roster.GetVoters() {
		if !v.Learner {
			out = append(out, v)
		}
	}
	return out
}

func findVoter(roster *wire.Roster, id string) *wire.Voter {
	for _, v := range roster.GetVoters() {
		if v.Id == id {
			return v
		}
	}
	return nil
}

func (s *State) isVoting() bool { return isVoter(s.Roster(), string(s.Self.Voter)) }

// isSoleVoter reports whether this member is the only voter, and so a majority by itself. A removed
// leader may continue to lead for a while beside another sole voter.
func (s *State) isSoleVoter() bool { return s.isVoting() && len(Voters(s.Roster())) == 1 }

func isVoter(roster *wire.Roster, id string) bool {
	v := findVoter(roster, id)
	return v != nil && !v.Learner
}

// proposeRoster appends a roster in which each voter is replaced by the result of replace, or
// removed if that is nil, and added, if any, is appended.
func (s *State) proposeRoster(roster *wire.Roster, replace func(*wire.Voter) *wire.Voter, added *wire.Voter) {
	next := &wire.Roster{}
	for _, v := range roster.GetVoters() {
		if w := replace(v); w != nil {
			next.Voters = append(next.Voters, w)
		}
	}
	if added != nil {
		next.Voters = append(next.Voters, added)
	}
	s.appendChange(&wire.Change{Body: &wire.Change_Roster{Roster: next}})
}

// isCaughtUp reports whether a peer is live, its disk works, and its disk holds everything that
// this leader's log held CatchUpWindow ago.
func (s *State) isCaughtUp(id string, now ident.Moment) bool {
	if id == string(s.Self.Voter) {
		return !s.diskFailing
	}
	peer := s.progress[id]
	return peer.live(now) && !peer.diskFailing && peer.caughtUpAsOf != 0 && now.Sub(peer.caughtUpAsOf) < CatchUpWindow
}

// readyLearner returns the caught-up learner that joined last: in a rolling restart it has already
// been restarted.
func (s *State) readyLearner(roster *wire.Roster, now ident.Moment) string {
	for _, v := range slices.Backward(roster.GetVoters()) {
		if v.Learner && s.isCaughtUp(v.Id, now) && !s.progress[v.Id].leaving {
			return v.Id
		}
	}
	return ""
}

// quorumWithout reports whether a majority of the other voters are live and caught up.
func (s *State) quorumWithout(voters []*wire.Voter, id string, now ident.Moment) bool {
	caughtUp, others := 0, 0
	for _, v := range voters {
		if v.Id == id {
			continue
		}
		others++
		if s.isCaughtUp(v.Id, now) {
			caughtUp++
		}
	}
	return caughtUp >= others/2+1
}

// replaceableVoter returns a voter that has been silent for longer than VoterReplaceDelay, or one
// whose member has rejoined under a new identity. The other voters must keep a caught-up majority.
func (s *State) replaceableVoter(roster *wire.Roster, voters []*wire.Voter, now ident.Moment) string {
	silent := ""
	for _, v := range voters {
		peer := s.progress[v.Id]
		if v.Id == string(s.Self.Voter) || peer == nil || peer.live(now) || !s.quorumWithout(voters, v.Id, now) {
			continue
		}
		for _, w := range roster.GetVoters() {
			if w.Member == v.Member && w.Id != v.Id && now.Sub(peer.heardAt) > PeerLiveTimeout {
				return v.Id
			}
		}
		if now.Sub(peer.heardAt) > s.VoterReplaceDelay {
			silent = v.Id
		}
	}
	return silent
}

// reconfigure takes the next single step towards TargetVoters live voters. The previous roster
// change must be committed, and so must an entry of this leader's term.
func (s *State) reconfigure(now ident.Moment) {
	roster, index := s.latestRoster()
	if index > s.commit || !s.HasCommittedInTerm() || s.handoffAt != 0 {
		return
	}
	voters := Voters(roster)
	ready := s.readyLearner(roster, now)
	if silent := s.replaceableVoter(roster, voters, now); silent != "" && (ready != "" || len(voters) > s.TargetVoters) {
		s.removeVoter(roster, silent)
		return
	}
	if ready != "" && len(voters) < s.TargetVoters {
		s.promoteLearner(roster, ready)
		return
	}
	for _, v := range voters {
		switch {
		case !s.isLeaving(v.Id):
		case s.isDispensable(voters, v.Id, now):
			s.removeVoter(roster, v.Id)
			return
		case ready != "" && len(voters) == s.TargetVoters:
			s.promoteLearner(roster, ready)
			return
		}
	}
	for _, v := range roster.GetVoters() {
		if peer := s.progress[v.Id]; v.Learner && peer != nil && now.Sub(peer.heardAt) > LearnerRetentionFactor*s.VoterReplaceDelay {
			s.removeVoter(roster, v.Id)
			return
		}
	}
}

func (s *State) isLeaving(id string) bool {
	peer := s.progress[id]
	return peer != nil && peer.leaving && peer.live(s.heartbeatAt)
}

// isDispensable reports whether removing a voter costs no fault tolerance: there are more voters
// than wanted, or an even number, and the others are a caught-up majority.
func (s *State) isDispensable(voters []*wire.Voter, id string, now ident.Moment) bool {
	return (len(voters) > s.TargetVoters || len(voters)%2 == 0) && s.quorumWithout(voters, id, now)
}

// releaseIndex returns the last index that a live majority of the voters hold on disk, not counting
// one that wants to leave. It is 0 while a replacement for that voter is under way.
func (s *State) releaseIndex(id string, now ident.Moment) uint64 {
	roster := s.Roster()
	voters := Voters(roster)
	if v := findVoter(roster, id); v == nil || v.Learner || !s.isLeaving(id) || s.isDispensable(voters, id, now) {
		return 0
	}
	for _, v := range roster.GetVoters() {
		if peer := s.progress[v.Id]; v.Learner && peer != nil && now.Sub(peer.heardAt) < PeerLiveTimeout && !peer.diskFailing && !peer.leaving {
			return 0
		}
	}
	var matched []uint64
	for _, v := range voters {
		peer := s.progress[v.Id]
		switch {
		case v.Id == id:
			matched = append(matched, 0)
		case v.Id == string(s.Self.Voter):
			matched = append(matched, s.synced)
		case peer.live(now) && !peer.diskFailing && !peer.leaving:
			matched = append(matched, peer.matchIndex)
		default:
			matched = append(matched, 0)
		}
	}
	return quorumIndex(matched)
}

func (s *State) removeVoter(roster *wire.Roster, id string) {
	s.proposeRoster(roster, func(v *wire.Voter) *wire.Voter {
		if v.Id == id {
			return nil
		}
		return v
	}, nil)
}

func (s *State) promoteLearner(roster *wire.Roster, id string) {
	s.proposeRoster(roster, func(v *wire.Voter) *wire.Voter {
		if v.Id == id {
			return &wire.Voter{Id: v.Id, Addr: v.Addr, Member: v.Member}
		}
		return v
	}, nil)
}

// requestAdmission asks to be admitted as a learner, if the leader no longer replicates to this
// member or its roster lacks it. It also asks all known control processes, because all voters of
// its last roster may have been replaced in the meantime.
func (s *State) requestAdmission(now ident.Moment) {
	roster := s.Roster()
	absent := findVoter(roster, string(s.Self.Voter)) == nil
	if s.Leaving || now.Sub(s.foundingSentAt) < FoundingInterval || !absent && now.Sub(s.leaderHeardAt) < ElectionTimeoutMin+ElectionTimeoutSpread {
		return
	}
	s.foundingSentAt = now
	message := s.foundingMessage(true)
	message.Learn = true
	addrs := []ident.Addr{}
	if s.leaderAddr != "" {
		addrs = append(addrs, ident.Addr(s.leaderAddr))
	}
	for _, v := range roster.GetVoters() {
		addrs = append(addrs, ident.Addr(v.Addr))
	}
	for _, a := range ident.AddrsExcept(s.Self.Addr, addrs, s.ControlAddresses()) {
		s.send(string(a), &wire.Frame{Body: &wire.Frame_Founding{Founding: message}})
	}
}

// NeededForQuorum reports whether the departure of this voter would leave the others without a
// majority that holds all it holds, or whether its replacement is under way.
func (s *State) NeededForQuorum(now ident.Moment) bool {
	roster, index := s.latestRoster()
	allVoters := Voters(roster)
	if !s.isVoting() {
		return index > s.commit && s.role != Blank && isVoter(s.rosterAtIndex(index-1), string(s.Self.Voter))
	}
	if s.role != Leader {
		return now.Sub(s.leaderHeardAt) > time.Second || s.releasedIndex < s.last()
	}
	voters, learners := 0, 0
	for _, v := range roster.GetVoters() {
		switch peer := s.progress[v.Id]; {
		case !peer.live(now) || peer.diskFailing || peer.leaving:
		case v.Learner:
			learners++
		default:
			voters++
		}
	}
	if len(allVoters) == 1 {
		return learners > 0
	}
	return voters < (len(allVoters)+1)/2
}
