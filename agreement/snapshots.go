package agreement

import (
	"fmt"

	"sloeturn/ident"
	"sloeturn/wire"
)

func (s *State) adopt(p *wire.Snapshot) {
	if t, ok := s.termAt(p.LastIndex); ok && t == p.LastTerm {
		s.log = append([]*wire.Entry(nil), s.log[p.LastIndex-s.base():]...)
	} else {
		s.log = nil
		s.clip(s.commit)
		s.synced = min(s.synced, s.commit)
	}
	s.snapshot, s.known, s.part = bare(p), nil, nil
	s.floor, s.below = p.LastIndex, p.LastTerm
	s.commit, s.applied = p.LastIndex, p.LastIndex
	s.stamp = max(s.stamp, p.Stamp)
	s.saveSnapshot()
	s.out.Loaded = s.snapshot
}

// saveSnapshot keeps the snapshot and the log behind it in one record, so that no crash parts them.
func (s *State) saveSnapshot() {
	p := bare(s.snapshot)
	p.Log = append([]*wire.Entry(nil), s.log[p.LastIndex-s.floor:]...)
	s.imageBytes = sizeOf(s.snapshot)
	s.measure()
	s.snapSeq, s.tight = s.seq+1, false
	s.full, s.fullBy = 0, false
	s.record(&wire.Record{Body: &wire.Record_Snapshot{Snapshot: p}})
	s.since = 0
}

func (s *State) fits(p *wire.Snapshot) error {
	switch {
	case p.LastIndex == 0 || p.LastTerm == 0 || p.LastTerm > p.Term:
		return fmt.Errorf("index %d of term %d in term %d", p.LastIndex, p.LastTerm, p.Term)
	case len(Voters(p.Roster)) == 0:
		return fmt.Errorf("it names no voter")
	case p.LastIndex <= s.commit:
		return nil
	case !s.takesSnapshot(sizeOf(p)):
		return fmt.Errorf("the ring has no room for it")
	case s.Reads == nil:
		return nil
	}
	return s.Reads(p.Image)
}

func (s *State) InstallSnapshot(p *wire.Snapshot, now ident.Moment) {
	if p.Target != string(s.Self.Voter) || p.Term < s.term {
		return
	}
	if err := s.fits(p); err != nil {
		s.note("Refused a snapshot from %s: %v.", p.Leader, err)
		return
	}
	if p.Term > s.term {
		s.toTerm(p.Term, now)
	}
	s.leader, s.leaderAddr, s.heardLead, s.stands = p.Leader, p.LeaderAddr, now, 0
	s.setElect(now)
	if p.LastIndex > s.commit {
		s.adopt(p)
	}
	s.enter(Follower)
	s.sendSynced(p.LeaderAddr, &wire.Frame{Body: &wire.Frame_SnapshotReply{SnapshotReply: &wire.SnapshotReply{Term: s.term, Voter: string(s.Self.Voter), Match: max(p.LastIndex, s.commit), Round: p.Round}}})
}

func (s *State) SnapshotReply(a *wire.SnapshotReply, now ident.Moment) {
	l := s.follower(a.Voter, a.Term, now)
	if l == nil {
		return
	}
	l.heard, l.snapAt, l.snap = now, 0, nil
	s.release()
	l.ground()
	l.matched(a.Match)
	l.next = l.match + 1
	s.acked(l, a.Round)
	s.advance()
}

// Compact puts a snapshot in the place of what is applied, and keeps a bounded tail of entries in memory for those that lag.
func (s *State) Compact(force bool) {
	if s.Image == nil || s.snapshot == nil || s.applied < s.snapshot.LastIndex {
		return
	}
	if !force && (s.saving() || s.ailing || !s.ripe()) || force && s.applied == s.snapshot.LastIndex {
		return
	}
	cut := s.applied
	t, _ := s.termAt(cut)
	roster, stamp := s.rosterBy(cut), s.snapshot.Stamp
	if e := s.entry(cut); e != nil {
		stamp = e.Stamp
	}
	s.snapshot = &wire.Snapshot{LastIndex: cut, LastTerm: t, Roster: roster, Image: s.Image(), Stamp: stamp}
	s.known = nil
	s.saveSnapshot()
	s.trim()
}

func (s *State) trim() {
	from, size := s.snapshot.LastIndex, int64(0)
	for from > s.floor && s.snapshot.LastIndex-from < KeepEntries {
		size += sizeOf(s.entry(from))
		if size > KeepBytes {
			break
		}
		from--
	}
	if from > s.floor {
		t, _ := s.termAt(from)
		s.log = append([]*wire.Entry(nil), s.log[from-s.floor:]...)
		s.floor, s.below = from, t
	}
}

func bare(p *wire.Snapshot) *wire.Snapshot {
	return &wire.Snapshot{LastIndex: p.LastIndex, LastTerm: p.LastTerm, Roster: p.Roster, Image: p.Image, Stamp: p.Stamp}
}
