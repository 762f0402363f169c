package agreement

import (
	"slices"
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

func (s *State) setElect(now ident.Moment) {
	s.electAt = now.Add(ElectLeast + time.Duration(s.rand.Int63n(int64(ElectSpread))))
}

func (s *State) setStand(now ident.Moment) {
	all := Voters(s.Roster())
	at := slices.IndexFunc(all, func(v *wire.Voter) bool { return v.Id == string(s.Self.Voter) })
	if s.stands == 0 || at < 0 {
		return
	}
	s.stands--
	each := StandSpread / time.Duration(len(all))
	s.electAt = now.Add(StandLeast + time.Duration((at+s.stands)%len(all))*each + time.Duration(s.rand.Int63n(int64(each/2))))
}

func (s *State) campaign(now ident.Moment, pre, hand bool) {
	s.pre, s.handoff = pre, hand
	s.votes = map[string]bool{string(s.Self.Voter): true}
	term := s.term + 1
	if !pre {
		s.term, s.voted = term, string(s.Self.Voter)
		s.leader, s.leaderAddr = "", ""
		s.saveHardState()
		s.enter(Candidate)
		s.setElect(now)
	}
	for _, v := range Voters(s.Roster()) {
		if v.Id == string(s.Self.Voter) {
			continue
		}
		f := &wire.Frame{Body: &wire.Frame_Vote{Vote: &wire.Vote{Term: term, Candidate: string(s.Self.Voter), CandidateAddr: string(s.Self.Addr), LastIndex: s.last(), LastTerm: s.lastTerm(), Pre: pre, Handoff: hand, Target: v.Id, Roster: s.foundingRoster()}}}
		if pre {
			s.send(v.Addr, f)
		} else {
			s.sendSynced(v.Addr, f)
		}
	}
	s.tally(now)
}

// Vote answers a request for a vote. A blank voter starts from the founding roster, if the request
// bears it. Without it, where the candidate has compacted, it votes all the same, as one with an empty
// log, stays blank, and takes its first state from the leader's snapshot.
func (s *State) Vote(v *wire.Vote, now ident.Moment) {
	if v.Target != string(s.Self.Voter) {
		return
	}
	if s.role == Blank && votes(v.Roster, v.Target) {
		s.bootstrap(v.Roster, now)
	}
	fresh := s.role == Leader || now.Sub(s.heardLead) < ElectLeast
	if fresh && !v.Handoff && v.Candidate != s.leader {
		return
	}
	newer := v.LastTerm > s.lastTerm() || v.LastTerm == s.lastTerm() && v.LastIndex >= s.last()
	reply := func(ok bool) *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_VoteReply{VoteReply: &wire.VoteReply{Term: s.term, Granted: ok, Pre: v.Pre, Voter: string(s.Self.Voter), Asked: v.Term}}}
	}
	if v.Pre {
		s.send(v.CandidateAddr, reply(newer && v.Term > s.term))
		return
	}
	if v.Term > s.term {
		s.toTerm(v.Term, now)
	}
	ok := v.Term == s.term && newer && (s.voted == "" || s.voted == v.Candidate)
	if ok && s.voted == "" {
		s.voted = v.Candidate
		s.saveHardState()
	}
	if ok {
		s.setElect(now)
		s.stands = 0
	}
	s.sendSynced(v.CandidateAddr, reply(ok))
}

func (s *State) VoteReply(v *wire.VoteReply, now ident.Moment) {
	if s.role == Blank {
		return
	}
	if v.Term > s.term {
		s.toTerm(v.Term, now)
		return
	}
	if !v.Granted || v.Pre != s.pre || s.votes == nil || s.role == Leader {
		return
	}
	if v.Pre && v.Asked != s.term+1 || !v.Pre && (v.Asked != s.term || s.role != Candidate) {
		return
	}
	s.votes[v.Voter] = true
	s.tally(now)
}

func (s *State) tally(now ident.Moment) {
	n := 0
	all := Voters(s.Roster())
	for _, v := range all {
		if s.votes[v.Id] && (s.pre || v.Id != string(s.Self.Voter) || s.seqDone >= s.hardStateAt) {
			n++
		}
	}
	if n < len(all)/2+1 {
		return
	}
	if s.pre {
		s.campaign(now, false, false)
		return
	}
	s.becomeLeader(now)
}

func (s *State) becomeLeader(now ident.Moment) {
	s.votes = nil
	s.enter(Leader)
	s.leader, s.leaderAddr = string(s.Self.Voter), string(s.Self.Addr)
	s.progress = map[string]*progress{}
	s.rounds.Clear()
	s.asOf, s.ledSince, s.beatAt, s.quitAt = now, now, now, 0
	s.stampAt = now
	s.stamp = s.lastStamp()
	s.refit()
	s.first = s.add(&wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{Heeds: true}}})
	s.heartbeat(now)
}

func (s *State) becomeFollower(now ident.Moment) {
	s.enter(Follower)
	s.quitAt = 0
	s.progress, s.body = nil, nil
	s.setElect(now)
}

func (s *State) toTerm(t uint64, now ident.Moment) {
	s.term, s.voted, s.leader, s.leaderAddr, s.released = t, "", "", "", 0
	s.saveHardState()
	if s.role != Blank {
		s.becomeFollower(now)
	}
}

func (s *State) enter(r Role) {
	if s.role != r {
		s.out.Turned = true
	}
	s.role = r
}

func (s *State) Resign(now ident.Moment) bool {
	if s.role != Leader || s.quitAt != 0 {
		return false
	}
	best, most := "", uint64(0)
	for _, v := range Voters(s.Roster()) {
		l := s.progress[v.Id]
		if l != nil && !l.ailing && !l.leaving && now.Sub(l.heard) < LiveFor && l.match >= most {
			best, most = v.Id, l.match
		}
	}
	if best == "" {
		return false
	}
	s.quitAt = now
	s.heartbeat(now)
	s.send(s.progress[best].addr, &wire.Frame{Body: &wire.Frame_Handoff{Handoff: &wire.Handoff{Term: s.term, Target: best}}})
	return true
}

func (s *State) Handoff(h *wire.Handoff, now ident.Moment) {
	if h.Term != s.term || h.Target != string(s.Self.Voter) || s.role != Follower || !s.voting() || s.ailing || s.Leaving {
		return
	}
	s.campaign(now, false, true)
}
