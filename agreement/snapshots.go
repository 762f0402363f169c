package agreement

import (
	"fmt"

	"sloeturn/ident"
	"sloeturn/wire"
)

// restoreSnapshot replaces the state by a snapshot. Log entries after it are kept if the log agrees
// with the snapshot at its last index.
func (s *State) restoreSnapshot(snapshot *wire.Snapshot) {
	if t, ok := s.termAt(snapshot.LastIndex); ok && t == snapshot.LastTerm {
		s.log = append([]*wire.Entry(nil), s.log[snapshot.LastIndex-s.base():]...)
	} else {
		s.log = nil
		s.truncateSyncMarks(s.commit)
		s.synced = min(s.synced, s.commit)
	}
	s.snapshot, s.cachedRoster, s.partial = stripSnapshot(snapshot), nil, nil
	s.baseIndex, s.baseTerm = snapshot.LastIndex, snapshot.LastTerm
	s.commit, s.applied = snapshot.LastIndex, snapshot.LastIndex
	s.stamp = max(s.stamp, snapshot.Stamp)
	s.persistSnapshot()
	s.output.InstalledSnapshot = s.snapshot
}

// persistSnapshot writes the snapshot and the log after it as one record, so that a crash cannot
// separate them.
func (s *State) persistSnapshot() {
	record := stripSnapshot(s.snapshot)
	record.Log = append([]*wire.Entry(nil), s.log[record.LastIndex-s.baseIndex:]...)
	s.imageBytes = sizeOf(s.snapshot)
	s.recountLogBytes()
	s.snapshotSeq, s.spaceNeeded = s.seq+1, false
	s.waitingBytes, s.waitingForSnapshot = 0, false
	s.appendRecord(&wire.Record{Body: &wire.Record_Snapshot{Snapshot: record}})
	s.bytesSinceSnapshot = 0
}

// checkSnapshot returns why a received snapshot cannot be installed, or nil.
func (s *State) checkSnapshot(snapshot *wire.Snapshot) error {
	switch {
	case snapshot.LastIndex == 0 || snapshot.LastTerm == 0 || snapshot.LastTerm > snapshot.Term:
		return fmt.Errorf("index %d of term %d in term %d", snapshot.LastIndex, snapshot.LastTerm, snapshot.Term)
	case len(Voters(snapshot.Roster)) == 0:
		return fmt.Errorf("it names no voter")
	case snapshot.LastIndex <= s.commit:
		return nil
	case !s.acceptsSnapshot(sizeOf(snapshot)):
		return fmt.Errorf("the ring has no room for it")
	case s.ValidateSnapshot == nil:
		return nil
	}
	return s.ValidateSnapshot(snapshot.Image)
}

// InstallSnapshot handles a complete snapshot from a leader. One that is not ahead of the commit
// index is acknowledged and otherwise ignored.
func (s *State) InstallSnapshot(snapshot *wire.Snapshot, now ident.Moment) {
	if snapshot.Target != string(s.Self.Voter) || snapshot.Term < s.term {
		return
	}
	if err := s.checkSnapshot(snapshot); err != nil {
		s.logf("Refused a snapshot from %s: %v.", snapshot.Leader, err)
		return
	}
	if snapshot.Term > s.term {
		s.advanceTerm(snapshot.Term, now)
	}
	s.leader, s.leaderAddr, s.leaderHeardAt, s.restartElections = snapshot.Leader, snapshot.LeaderAddr, now, 0
	s.resetElectionTimer(now)
	if snapshot.LastIndex > s.commit {
		s.restoreSnapshot(snapshot)
	}
	s.setRole(Follower)
	s.sendAfterSync(snapshot.LeaderAddr, &wire.Frame{Body: &wire.Frame_SnapshotReply{SnapshotReply: &wire.SnapshotReply{Term: s.term, Voter: string(s.Self.Voter), Match: max(snapshot.LastIndex, s.commit), Round: snapshot.Round}}})
}

// SnapshotReply handles the acknowledgement of an installed snapshot.
func (s *State) SnapshotReply(reply *wire.SnapshotReply, now ident.Moment) {
	peer := s.peerForReply(reply.Voter, reply.Term, now)
	if peer == nil {
		return
	}
	peer.heardAt, peer.snapshotSentAt, peer.transfer = now, 0, nil
	s.releaseEncoded()
	peer.resetInFlight()
	peer.recordMatch(reply.Match)
	peer.nextIndex = peer.matchIndex + 1
	s.roundAcknowledged(peer, reply.Round)
	s.advanceCommit()
}

// Compact replaces the applied entries by a snapshot and retains a bounded tail of them in memory
// for followers that lag. Unless forced, it waits until compaction is due.
func (s *State) Compact(force bool) {
	if s.EncodeSnapshot == nil || s.snapshot == nil || s.applied < s.snapshot.LastIndex {
		return
	}
	if !force && (s.snapshotPending() || s.diskFailing || !s.compactionDue()) || force && s.applied == s.snapshot.LastIndex {
		return
	}
	index := s.applied
	term, _ := s.termAt(index)
	roster, stamp := s.rosterAtIndex(index), s.snapshot.Stamp
	if e := s.entry(index); e != nil {
		stamp = e.Stamp
	}
	s.snapshot = &wire.Snapshot{LastIndex: index, LastTerm: term, Roster: roster, Image: s.EncodeSnapshot(), Stamp: stamp}
	s.cachedRoster = nil
	s.persistSnapshot()
	s.trimLog()
}

// trimLog drops entries that the snapshot covers, but for a tail of RetainedEntries and
// RetainedBytes at most.
func (s *State) trimLog() {
	first, size := s.snapshot.LastIndex, int64(0)
	for first > s.baseIndex && s.snapshot.LastIndex-first < RetainedEntries {
		size += sizeOf(s.entry(first))
		if size > RetainedBytes {
			break
		}
		first--
	}
	if first > s.baseIndex {
		term, _ := s.termAt(first)
		s.log = append([]*wire.Entry(nil), s.log[first-s.baseIndex:]...)
		s.baseIndex, s.baseTerm = first, term
	}
}

// stripSnapshot returns a copy without the fields of the transfer and without the log.
func stripSnapshot(snapshot *wire.Snapshot) *wire.Snapshot {
	return &wire.Snapshot{LastIndex: snapshot.LastIndex, LastTerm: snapshot.LastTerm, Roster: snapshot.Roster, Image: snapshot.Image, Stamp: snapshot.Stamp}
}
