package agreement

import (
	"sort"

	"sloeturn/ident"
	"sloeturn/wire"
)

// heartbeat starts a new round and sends an append request, with or without entries, to every peer.
// Peers that were removed from the roster are served for RemovedPeerRetention, so that they learn
// of their removal.
func (s *State) heartbeat(now ident.Moment) {
	s.heartbeatAt = now
	s.currentRound++
	s.rounds.PushBack(heartbeatRound{s.currentRound, now})
	for s.rounds.Len() > 256 {
		s.rounds.PopFront()
	}
	for _, voter := range ident.SortedKeys(s.progress) {
		peer := s.progress[voter]
		if peer.removedAt != 0 && now.Sub(peer.removedAt) > RemovedPeerRetention {
			delete(s.progress, voter)
			continue
		}
		s.startCatchUpRound(peer, now)
		s.replicate(voter, peer, now, true)
	}
}

// replicate sends the entries that a peer lacks, within the in-flight limits, or the snapshot if
// the log no longer holds them.
func (s *State) replicate(id string, peer *progress, now ident.Moment, heartbeat bool) {
	if peer.nextIndex <= s.base() {
		if s.snapshot != nil {
			s.sendSnapshot(id, peer, now)
		}
		if heartbeat {
			s.send(peer.addr, s.appendFrame(id, s.base(), 0))
		}
		return
	}
	count, size := uint64(0), int64(0)
	for peer.nextIndex+count <= s.last() && count < MaxBatchEntries && !peer.lacksSpace {
		entryBytes := sizeOf(s.entry(peer.nextIndex + count))
		if count > 0 && size+entryBytes > MaxBatchBytes || peer.inFlightBytes > 0 && peer.inFlightBytes+size+entryBytes > MaxInFlightBytes {
			break
		}
		size += entryBytes
		count++
	}
	if count == 0 && !heartbeat {
		return
	}
	s.send(peer.addr, s.appendFrame(id, peer.nextIndex-1, count))
	if peer.nextIndex += count; count > 0 {
		peer.inFlightBytes += size
		peer.inFlight.PushBack(inFlightBatch{peer.nextIndex - 1, size})
	}
}

// releaseInFlight drops the batches that the peer has acknowledged from its in-flight window.
func (p *progress) releaseInFlight(match uint64) {
	for p.inFlight.Len() > 0 && p.inFlight.Front().last <= match {
		p.inFlightBytes -= p.inFlight.PopFront().size
	}
}

func (p *progress) resetInFlight() {
	p.inFlight.Clear()
	p.inFlightBytes = 0
}

// appendFrame builds the append request with count entries after the index prev.
func (s *State) appendFrame(id string, prev, count uint64) *wire.Frame {
	prevTerm, _ := s.termAt(prev)
	request := &wire.Append{Term: s.term, Leader: string(s.Self.Voter), LeaderAddr: string(s.Self.Addr), PrevIndex: prev, PrevTerm: prevTerm, Commit: s.commit, Round: s.currentRound, Target: id, Release: s.releaseIndex(id, s.heartbeatAt)}
	for i := prev + 1; i <= prev+count; i++ {
		request.Entries = append(request.Entries, s.entry(i))
	}
	return &wire.Frame{Body: &wire.Frame_Append{Append: request}}
}

// Append handles an append request from a leader: it checks the log before the entries, replaces
// entries that conflict, and acknowledges what is on disk.
func (s *State) Append(request *wire.Append, now ident.Moment) {
	if request.Target != string(s.Self.Voter) {
		return
	}
	reply := func(ok bool, match, hint uint64) *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_AppendReply{AppendReply: &wire.AppendReply{Term: s.term, Voter: string(s.Self.Voter), Ok: ok, Match: match, Hint: hint, Round: request.Round, Ailing: s.diskFailing, WallMs: s.WallClock(now), Leaving: s.Leaving, Chunks: true, RingBytes: uint64(s.ringCapacity), Full: s.lacksSpace()}}}
	}
	if request.Term < s.term {
		f := reply(false, 0, 0)
		f.GetAppendReply().Round = 0
		s.send(request.LeaderAddr, f)
		return
	}
	if s.role == Blank {
		f := reply(false, 0, 0)
		f.GetAppendReply().Term, f.GetAppendReply().Round = request.Term, 0
		s.send(request.LeaderAddr, f)
		return
	}
	if request.Term > s.term {
		s.advanceTerm(request.Term, now)
	} else if s.role != Follower {
		s.becomeFollower(now)
	}
	s.leader, s.leaderAddr, s.leaderHeardAt, s.restartElections, s.releasedIndex = request.Leader, request.LeaderAddr, now, 0, request.Release
	s.resetElectionTimer(now)
	if request.PrevIndex > s.last() {
		s.sendAfterSync(request.LeaderAddr, reply(false, 0, s.last()))
		return
	}
	if request.PrevIndex >= s.base() {
		if t, _ := s.termAt(request.PrevIndex); t != request.PrevTerm {
			s.sendAfterSync(request.LeaderAddr, reply(false, 0, min(request.PrevIndex-1, max(s.commit, s.base()))))
			return
		}
	}
	match := request.PrevIndex
	for _, e := range request.Entries {
		if e.Index != match+1 || e.Term > request.Term {
			s.logf("Refused entries from %s: %d of term %d stands after %d.", request.Leader, e.Index, e.Term, match)
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
				s.logf("Refused entries from %s: %d of term %d is committed in term %d.", request.Leader, e.Index, e.Term, t)
				return
			}
			s.log = append([]*wire.Entry(nil), s.log[:e.Index-s.base()-1]...)
			s.appendRecord(&wire.Record{Body: &wire.Record_Cut{Cut: e.Index}})
			s.synced = min(s.synced, e.Index-1)
			s.truncateSyncMarks(e.Index - 1)
			s.cachedRoster = nil
			s.recountLogBytes()
		}
		if !s.acceptsEntry(e) {
			break
		}
		s.appendEntry(e)
		match = e.Index
	}
	if c := min(request.Commit, match); c > s.commit {
		s.commit = c
	}
	s.sendAfterSync(request.LeaderAddr, reply(true, match, 0))
	if s.seqDone >= s.hardStateAt && (s.seqDone < s.seq || len(s.pendingRecords) > 0) {
		s.send(request.LeaderAddr, reply(true, 0, 0))
	}
}

// peerForReply returns the progress of a voter that replied to this leader, or nil if the reply
// belongs to another term. A newer term ends the leadership.
func (s *State) peerForReply(voter string, term uint64, now ident.Moment) *progress {
	if s.role == Blank {
		return nil
	}
	if term > s.term {
		s.advanceTerm(term, now)
		return nil
	}
	if s.role != Leader || term != s.term {
		return nil
	}
	return s.progress[voter]
}

// AppendReply handles a reply to an append request: it advances the peer's match index, or moves
// back to the hint that the peer gave. A hint below the acknowledged match index means that the
// peer's disk has lost entries.
func (s *State) AppendReply(reply *wire.AppendReply, now ident.Moment) {
	peer := s.peerForReply(reply.Voter, reply.Term, now)
	if peer == nil {
		return
	}
	peer.heardAt, peer.diskFailing, peer.leaving = now, reply.Ailing, reply.Leaving
	if reply.WallMs != 0 && reply.Round >= peer.wallRound {
		peer.wallMs, peer.wallAt, peer.wallRound = reply.WallMs, now, reply.Round
	}
	peer.acceptsChunks, peer.lacksSpace, peer.ringBytes = reply.Chunks, reply.Full, int64(reply.RingBytes)
	s.roundAcknowledged(peer, reply.Round)
	if reply.Ok {
		peer.releaseInFlight(reply.Match)
		peer.recordMatch(reply.Match)
		peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
		s.advanceCommit()
		return
	}
	if reply.Hint < peer.matchIndex {
		peer.diskFailing = true
		if peer.resetRound != s.currentRound {
			peer.resetRound, peer.resetIndex = s.currentRound, peer.matchIndex
			peer.resetInFlight()
			peer.nextIndex = peer.matchIndex + 1
		}
		return
	}
	if peer.transfer != nil {
		s.resendChunk(reply.Voter, peer, reply.Round)
		return
	}
	if peer.resetRound == s.currentRound && reply.Hint >= peer.resetIndex {
		return
	}
	peer.resetRound, peer.resetIndex = s.currentRound, reply.Hint
	peer.resetInFlight()
	peer.nextIndex = min(peer.nextIndex, reply.Hint+1)
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	if reply.Hint < s.base() {
		peer.nextIndex = s.base()
	}
	s.replicate(reply.Voter, peer, now, false)
}

func (s *State) roundAcknowledged(peer *progress, round uint64) {
	if round <= s.currentRound {
		peer.ackedRound = max(peer.ackedRound, round)
	}
	s.updateQuorumContact()
}

// quorumValue returns the highest value that a majority of the voters have reached: own is the
// value of this voter, valueOf gives that of another. It is 0 without voters.
func (s *State) quorumValue(own uint64, valueOf func(peer *progress) uint64) uint64 {
	var reached []uint64
	for _, v := range Voters(s.Roster()) {
		value := uint64(0)
		if v.Id == string(s.Self.Voter) {
			value = own
		} else if peer := s.progress[v.Id]; peer != nil {
			value = valueOf(peer)
		}
		reached = append(reached, value)
	}
	if len(reached) == 0 {
		return 0
	}
	return quorumIndex(reached)
}

// updateQuorumContact moves quorumContactAt to the start of the latest heartbeat round that a
// majority has acknowledged.
func (s *State) updateQuorumContact() {
	round := s.quorumValue(s.currentRound, func(peer *progress) uint64 { return peer.ackedRound })
	for s.rounds.Len() > 0 && s.rounds.Front().number <= round {
		s.quorumContactAt = max(s.quorumContactAt, s.rounds.PopFront().at)
	}
}

// advanceCommit commits what a majority has synced, provided that the last of it is an entry of the
// current term.
func (s *State) advanceCommit() {
	index := s.quorumValue(s.synced, func(peer *progress) uint64 { return peer.matchIndex })
	if t, ok := s.termAt(index); ok && index > s.commit && t == s.term {
		s.commit = index
	}
}

// Synced records that the disk holds all batches up to seq.
func (s *State) Synced(seq uint64, now ident.Moment) {
	s.seqDone = max(s.seqDone, seq)
	for s.syncMarks.Len() > 0 && s.syncMarks.Front()[0] <= seq {
		s.synced = max(s.synced, min(s.syncMarks.PopFront()[1], s.last()))
	}
	switch {
	case s.role == Leader:
		s.updateQuorumContact()
		s.advanceCommit()
	case s.role == Candidate && !s.preVote && s.votesGranted != nil:
		s.countVotes(now)
	}
}

// quorumIndex returns the highest value that a majority of the values have reached.
func quorumIndex(values []uint64) uint64 {
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(values)/2]
}

// live reports whether the peer has replied to this leader within PeerLiveTimeout.
func (p *progress) live(now ident.Moment) bool {
	return p != nil && p.ackedRound > 0 && now.Sub(p.heardAt) < PeerLiveTimeout
}

// startCatchUpRound begins to measure, unless a measurement is under way, how far behind in time a
// peer is: the round starts with the current end of the log and ends when the peer has acknowledged
// it.
func (s *State) startCatchUpRound(peer *progress, now ident.Moment) {
	if peer.catchUpIndex == 0 {
		peer.catchUpIndex, peer.catchUpStartedAt = s.last(), now
	}
}

func (p *progress) recordMatch(index uint64) {
	p.matchIndex = max(p.matchIndex, index)
	if p.catchUpIndex != 0 && p.matchIndex >= p.catchUpIndex {
		p.caughtUpAsOf, p.catchUpIndex = p.catchUpStartedAt, 0
	}
}
