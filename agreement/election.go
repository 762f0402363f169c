package agreement

import (
	"slices"
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// resetElectionTimer draws a new randomized election timeout.
func (s *State) resetElectionTimer(now ident.Moment) {
	s.electionAt = now.Add(ElectionTimeoutMin + time.Duration(s.rand.Int63n(int64(ElectionTimeoutSpread))))
}

// scheduleRestartElection sets a short election timeout after a restart. Each voter gets its own
// time slot by its position in the roster, and the slots rotate with each of the
// RestartElectionAttempts, so that restarted voters elect a leader soon and do without one that is
// absent.
func (s *State) scheduleRestartElection(now ident.Moment) {
	voters := Voters(s.Roster())
	position := slices.IndexFunc(voters, func(v *wire.Voter) bool { return v.Id == string(s.Self.Voter) })
	if s.restartElections == 0 || position < 0 {
		return
	}
	s.restartElections--
	slot := RestartElectionDelaySpread / time.Duration(len(voters))
	s.electionAt = now.Add(RestartElectionDelayMin + time.Duration((position+s.restartElections)%len(voters))*slot + time.Duration(s.rand.Int63n(int64(slot/2))))
}

// campaign asks the other voters for a vote. A pre-vote leaves the term as it is; a real request is
// sent only after the new term and the own vote are on disk. The handoff flag marks an election
// that the current leader asked for, which voters do not refuse for the sake of that leader.
func (s *State) campaign(now ident.Moment, preVote, handoff bool) {
	s.preVote, s.handoff = preVote, handoff
	s.votesGranted = map[string]bool{string(s.Self.Voter): true}
	term := s.term + 1
	if !preVote {
		s.term, s.votedFor = term, string(s.Self.Voter)
		s.leader, s.leaderAddr = "", ""
		s.persistHardState()
		s.setRole(Candidate)
		s.resetElectionTimer(now)
	}
	for _, v := range Voters(s.Roster()) {
		if v.Id == string(s.Self.Voter) {
			continue
		}
		f := &wire.Frame{Body: &wire.Frame_Vote{Vote: &wire.Vote{Term: term, Candidate: string(s.Self.Voter), CandidateAddr: string(s.Self.Addr), LastIndex: s.last(), LastTerm: s.lastTerm(), Pre: preVote, Handoff: handoff, Target: v.Id, Roster: s.foundingRoster()}}}
		if preVote {
			s.send(v.Addr, f)
		} else {
			s.sendAfterSync(v.Addr, f)
		}
	}
	s.countVotes(now)
}

// Vote answers a request for a vote. A blank voter bootstraps from the founding roster if the
// request carries it. If the candidate has compacted its log, the request carries none: the blank
// voter then votes as one with an empty log, stays blank, and takes its first state from the
// leader's snapshot.
func (s *State) Vote(request *wire.Vote, now ident.Moment) {
	if request.Target != string(s.Self.Voter) {
		return
	}
	if s.role == Blank && isVoter(request.Roster, request.Target) {
		s.bootstrap(request.Roster, now)
	}
	leaderAlive := s.role == Leader || now.Sub(s.leaderHeardAt) < ElectionTimeoutMin
	if leaderAlive && !request.Handoff && request.Candidate != s.leader {
		return
	}
	upToDate := request.LastTerm > s.lastTerm() || request.LastTerm == s.lastTerm() && request.LastIndex >= s.last()
	reply := func(ok bool) *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_VoteReply{VoteReply: &wire.VoteReply{Term: s.term, Granted: ok, Pre: request.Pre, Voter: string(s.Self.Voter), Asked: request.Term}}}
	}
	if request.Pre {
		s.send(request.CandidateAddr, reply(upToDate && request.Term > s.term))
		return
	}
	if request.Term > s.term {
		s.advanceTerm(request.Term, now)
	}
	granted := request.Term == s.term && upToDate && (s.votedFor == "" || s.votedFor == request.Candidate)
	if granted && s.votedFor == "" {
		s.votedFor = request.Candidate
		s.persistHardState()
	}
	if granted {
		s.resetElectionTimer(now)
		s.restartElections = 0
	}
	s.sendAfterSync(request.CandidateAddr, reply(granted))
}

// VoteReply counts a granted vote, if it answers the current pre-vote or election.
func (s *State) VoteReply(reply *wire.VoteReply, now ident.Moment) {
	if s.role == Blank {
		return
	}
	if reply.Term > s.term {
		s.advanceTerm(reply.Term, now)
		return
	}
	if !reply.Granted || reply.Pre != s.preVote || s.votesGranted == nil || s.role == Leader {
		return
	}
	if reply.Pre && reply.Asked != s.term+1 || !reply.Pre && (reply.Asked != s.term || s.role != Candidate) {
		return
	}
	s.votesGranted[reply.Voter] = true
	s.countVotes(now)
}

// countVotes starts the election after a successful pre-vote, and takes leadership after a
// successful election. The own vote in an election counts only once the hard state is synced.
func (s *State) countVotes(now ident.Moment) {
	granted := 0
	voters := Voters(s.Roster())
	for _, v := range voters {
		if s.votesGranted[v.Id] && (s.preVote || v.Id != string(s.Self.Voter) || s.seqDone >= s.hardStateAt) {
			granted++
		}
	}
	if granted < len(voters)/2+1 {
		return
	}
	if s.preVote {
		s.campaign(now, false, false)
		return
	}
	s.becomeLeader(now)
}

// becomeLeader takes leadership of the current term and appends a no-op, whose commit makes the
// entries of earlier terms known to be committed.
func (s *State) becomeLeader(now ident.Moment) {
	s.votesGranted = nil
	s.setRole(Leader)
	s.leader, s.leaderAddr = string(s.Self.Voter), string(s.Self.Addr)
	s.progress = map[string]*progress{}
	s.rounds.Clear()
	s.quorumContactAt, s.ledSince, s.heartbeatAt, s.handoffAt = now, now, now, 0
	s.stampAt = now
	s.stamp = s.lastStamp()
	s.refreshProgress()
	s.firstIndexOfTerm = s.appendChange(&wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{Heeds: true}}})
	s.heartbeat(now)
}

// becomeFollower drops the leader's state and restarts the election timer.
func (s *State) becomeFollower(now ident.Moment) {
	s.setRole(Follower)
	s.handoffAt = 0
	s.progress, s.encoded = nil, nil
	s.resetElectionTimer(now)
}

// advanceTerm moves to a newer term, in which this voter has not voted yet.
func (s *State) advanceTerm(term uint64, now ident.Moment) {
	s.term, s.votedFor, s.leader, s.leaderAddr, s.releasedIndex = term, "", "", "", 0
	s.persistHardState()
	if s.role != Blank {
		s.becomeFollower(now)
	}
}

func (s *State) setRole(role Role) {
	if s.role != role {
		s.output.RoleChanged = true
	}
	s.role = role
}

// TransferLeadership asks the live voter with the longest matching log, whose disk works and which
// is not leaving, to stand for election at once. It reports whether there was one.
func (s *State) TransferLeadership(now ident.Moment) bool {
	if s.role != Leader || s.handoffAt != 0 {
		return false
	}
	best, bestMatch := "", uint64(0)
	for _, v := range Voters(s.Roster()) {
		peer := s.progress[v.Id]
		if peer != nil && !peer.diskFailing && !peer.leaving && now.Sub(peer.heardAt) < PeerLiveTimeout && peer.matchIndex >= bestMatch {
			best, bestMatch = v.Id, peer.matchIndex
		}
	}
	if best == "" {
		return false
	}
	s.handoffAt = now
	s.heartbeat(now)
	s.send(s.progress[best].addr, &wire.Frame{Body: &wire.Frame_Handoff{Handoff: &wire.Handoff{Term: s.term, Target: best}}})
	return true
}

// Handoff stands for election, without a pre-vote, at the request of the current leader.
func (s *State) Handoff(h *wire.Handoff, now ident.Moment) {
	if h.Term != s.term || h.Target != string(s.Self.Voter) || s.role != Follower || !s.isVoting() || s.diskFailing || s.Leaving {
		return
	}
	s.campaign(now, false, true)
}
