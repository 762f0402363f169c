package agreement

import (
	"sort"

	"sloeturn/ident"
	"sloeturn/wire"
)

func (s *State) heartbeat(now ident.Moment) {
	s.beatAt = now
	s.roundNow++
	s.rounds.PushBack(round{s.roundNow, now})
	for s.rounds.Len() > 256 {
		s.rounds.PopFront()
	}
	for _, id := range ident.Keys(s.progress) {
		p := s.progress[id]
		if p.outAt != 0 && now.Sub(p.outAt) > LingerFor {
			delete(s.progress, id)
			continue
		}
		s.catchUpRound(p, now)
		s.feed(id, p, now, true)
	}
}

func (s *State) feed(id string, l *progress, now ident.Moment, beat bool) {
	if l.next <= s.base() {
		if s.snapshot != nil {
			s.transferTo(id, l, now)
		}
		if beat {
			s.send(l.addr, s.appendTo(id, s.base(), 0))
		}
		return
	}
	n, size := uint64(0), int64(0)
	for l.next+n <= s.last() && n < BatchEntries && !l.full {
		e := sizeOf(s.entry(l.next + n))
		if n > 0 && size+e > BatchBytes || l.flight > 0 && l.flight+size+e > FlightBytes {
			break
		}
		size += e
		n++
	}
	if n == 0 && !beat {
		return
	}
	s.send(l.addr, s.appendTo(id, l.next-1, n))
	if l.next += n; n > 0 {
		l.flight += size
		l.flights.PushBack(flight{l.next - 1, size})
	}
}

func (l *progress) landed(match uint64) {
	for l.flights.Len() > 0 && l.flights.Front().last <= match {
		l.flight -= l.flights.PopFront().bytes
	}
}

func (l *progress) ground() {
	l.flights.Clear()
	l.flight = 0
}

func (s *State) appendTo(id string, prev, n uint64) *wire.Frame {
	t, _ := s.termAt(prev)
	a := &wire.Append{Term: s.term, Leader: string(s.Self.Voter), LeaderAddr: string(s.Self.Addr), PrevIndex: prev, PrevTerm: t, Commit: s.commit, Round: s.roundNow, Target: id, Release: s.releaseFor(id, s.beatAt)}
	for i := prev + 1; i <= prev+n; i++ {
		a.Entries = append(a.Entries, s.entry(i))
	}
	return &wire.Frame{Body: &wire.Frame_Append{Append: a}}
}

func (s *State) Append(a *wire.Append, now ident.Moment) {
	if a.Target != string(s.Self.Voter) {
		return
	}
	reply := func(ok bool, match, hint uint64) *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_AppendReply{AppendReply: &wire.AppendReply{Term: s.term, Voter: string(s.Self.Voter), Ok: ok, Match: match, Hint: hint, Round: a.Round, Ailing: s.ailing, WallMs: s.Wall(now), Leaving: s.Leaving, Chunks: true, RingBytes: uint64(s.capacity), Full: s.crowded()}}}
	}
	if a.Term < s.term {
		f := reply(false, 0, 0)
		f.GetAppendReply().Round = 0
		s.send(a.LeaderAddr, f)
		return
	}
	if s.role == Blank {
		f := reply(false, 0, 0)
		f.GetAppendReply().Term, f.GetAppendReply().Round = a.Term, 0
		s.send(a.LeaderAddr, f)
		return
	}
	if a.Term > s.term {
		s.toTerm(a.Term, now)
	} else if s.role != Follower {
		s.becomeFollower(now)
	}
	s.leader, s.leaderAddr, s.heardLead, s.stands, s.released = a.Leader, a.LeaderAddr, now, 0, a.Release
	s.setElect(now)
	if a.PrevIndex > s.last() {
		s.sendSynced(a.LeaderAddr, reply(false, 0, s.last()))
		return
	}
	if a.PrevIndex >= s.base() {
		if t, _ := s.termAt(a.PrevIndex); t != a.PrevTerm {
			s.sendSynced(a.LeaderAddr, reply(false, 0, min(a.PrevIndex-1, max(s.commit, s.base()))))
			return
		}
	}
	match := a.PrevIndex
	for _, e := range a.Entries {
		if e.Index != match+1 || e.Term > a.Term {
			s.note("Refused entries from %s: %d of term %d stands after %d.", a.Leader, e.Index, e.Term, match)
			return
		}
		if e.Index <= s.base() {
			match = e.Index
			continue
		}
		if t, ok := s.termAt(e.Index); ok {
			if t == e.Term {
				match = e.Index
				continue
			}
			if e.Index <= s.commit {
				s.note("Refused entries from %s: %d of term %d is committed in term %d.", a.Leader, e.Index, e.Term, t)
				return
			}
			s.log = append([]*wire.Entry(nil), s.log[:e.Index-s.base()-1]...)
			s.record(&wire.Record{Body: &wire.Record_Cut{Cut: e.Index}})
			s.synced = min(s.synced, e.Index-1)
			s.clip(e.Index - 1)
			s.known = nil
			s.measure()
		}
		if !s.takes(e) {
			break
		}
		s.push(e)
		match = e.Index
	}
	if c := min(a.Commit, match); c > s.commit {
		s.commit = c
	}
	s.sendSynced(a.LeaderAddr, reply(true, match, 0))
	if s.seqDone >= s.hardStateAt && (s.seqDone < s.seq || len(s.recs) > 0) {
		s.send(a.LeaderAddr, reply(true, 0, 0))
	}
}

// follower returns what this leader knows of a voter that replied to it, or nil if the reply is of
// another term. A newer term ends this one.
func (s *State) follower(voter string, term uint64, now ident.Moment) *progress {
	if s.role == Blank {
		return nil
	}
	if term > s.term {
		s.toTerm(term, now)
		return nil
	}
	if s.role != Leader || term != s.term {
		return nil
	}
	return s.progress[voter]
}

func (s *State) AppendReply(a *wire.AppendReply, now ident.Moment) {
	l := s.follower(a.Voter, a.Term, now)
	if l == nil {
		return
	}
	l.heard, l.ailing, l.leaving = now, a.Ailing, a.Leaving
	if a.WallMs != 0 && a.Round >= l.wallRound {
		l.wall, l.wallAt, l.wallRound = a.WallMs, now, a.Round
	}
	l.chunks, l.full, l.ringBytes = a.Chunks, a.Full, int64(a.RingBytes)
	s.acked(l, a.Round)
	if a.Ok {
		l.landed(a.Match)
		l.matched(a.Match)
		l.next = max(l.next, l.match+1)
		s.advance()
		return
	}
	if a.Hint < l.match {
		l.ailing = true
		if l.reset != s.roundNow {
			l.reset, l.resetTo = s.roundNow, l.match
			l.ground()
			l.next = l.match + 1
		}
		return
	}
	if l.snap != nil {
		s.lost(a.Voter, l, a.Round)
		return
	}
	if l.reset == s.roundNow && a.Hint >= l.resetTo {
		return
	}
	l.reset, l.resetTo = s.roundNow, a.Hint
	l.ground()
	l.next = min(l.next, a.Hint+1)
	l.next = max(l.next, l.match+1)
	if a.Hint < s.base() {
		l.next = s.base()
	}
	s.feed(a.Voter, l, now, false)
}

func (s *State) acked(l *progress, n uint64) {
	if n <= s.roundNow {
		l.round = max(l.round, n)
	}
	s.freshen()
}

// majorityReached returns what a majority of the voters have reached: own is this voter's, of tells
// another's. It is 0 without voters.
func (s *State) majorityReached(own uint64, of func(l *progress) uint64) uint64 {
	var reached []uint64
	for _, v := range Voters(s.Roster()) {
		value := uint64(0)
		if v.Id == string(s.Self.Voter) {
			value = own
		} else if l := s.progress[v.Id]; l != nil {
			value = of(l)
		}
		reached = append(reached, value)
	}
	if len(reached) == 0 {
		return 0
	}
	return quorumIndex(reached)
}

// freshen moves the moment that the leader's word is as of, by the rounds a majority has answered.
func (s *State) freshen() {
	n := s.majorityReached(s.roundNow, func(l *progress) uint64 { return l.round })
	for s.rounds.Len() > 0 && s.rounds.Front().n <= n {
		s.asOf = max(s.asOf, s.rounds.PopFront().at)
	}
}

// advance commits what a majority has synced, if it is of this term.
func (s *State) advance() {
	n := s.majorityReached(s.synced, func(l *progress) uint64 { return l.match })
	if t, ok := s.termAt(n); ok && n > s.commit && t == s.term {
		s.commit = n
	}
}

func (s *State) Synced(seq uint64, now ident.Moment) {
	s.seqDone = max(s.seqDone, seq)
	for s.marks.Len() > 0 && s.marks.Front()[0] <= seq {
		s.synced = max(s.synced, min(s.marks.PopFront()[1], s.last()))
	}
	switch {
	case s.role == Leader:
		s.freshen()
		s.advance()
	case s.role == Candidate && !s.pre && s.votes != nil:
		s.tally(now)
	}
}

// quorumIndex returns the highest value that a majority of the values are at or above.
func quorumIndex(got []uint64) uint64 {
	sort.Slice(got, func(i, j int) bool { return got[i] > got[j] })
	return got[len(got)/2]
}

// live says that a peer answered this leader lately.
func (p *progress) live(now ident.Moment) bool {
	return p != nil && p.round > 0 && now.Sub(p.heard) < LiveFor
}

// catchUpRound measures how far behind a peer is by time: a round begins with the log's end, and is over when the peer has that.
func (s *State) catchUpRound(p *progress, now ident.Moment) {
	if p.goal == 0 {
		p.goal, p.goalAt = s.last(), now
	}
}

func (p *progress) matched(n uint64) {
	p.match = max(p.match, n)
	if p.goal != 0 && p.match >= p.goal {
		p.caughtUp, p.goal = p.goalAt, 0
	}
}
