package agreement

import (
	"bytes"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	ChunkBytes    = 32 << 10
	SnapshotBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type body struct {
	of   *wire.Snapshot
	data []byte
	sum  uint32
}

type transfer struct {
	*body
	off   int
	round uint64
}

type part struct {
	index uint64
	sum   uint32
	size  uint64
	data  bytes.Buffer
}

func (s *State) bodyNow() *body {
	if s.body == nil || s.body.of != s.snapshot {
		b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(s.snapshot)
		s.body = &body{s.snapshot, b, crc32.Checksum(b, castagnoli)}
	}
	return s.body
}

// transferTo begins or goes on with a snapshot to one voter: one chunk is under way, the next goes out when it is acknowledged.
func (s *State) transferTo(id string, l *progress, now ident.Moment) {
	if l.snap != nil {
		return
	}
	b := s.bodyNow()
	if !l.chunks || len(b.data) <= ChunkBytes {
		if l.snapAt == 0 || now.Sub(l.snapAt) > SnapshotAgain {
			l.snapAt = now
			p := bare(s.snapshot)
			p.Term, p.Leader, p.LeaderAddr, p.Round, p.Target = s.term, string(s.Self.Voter), string(s.Self.Addr), s.roundNow, id
			s.send(l.addr, &wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: p}})
		}
		return
	}
	l.snap = &transfer{body: b}
	s.note("Sends a snapshot of %d bytes at entry %d to %s.", len(b.data), b.of.LastIndex, id)
	s.chunk(id, l)
}

func (s *State) chunk(id string, l *progress) {
	t := l.snap
	t.round = s.roundNow
	s.send(l.addr, &wire.Frame{Body: &wire.Frame_SnapshotChunk{SnapshotChunk: &wire.SnapshotChunk{
		Term: s.term, Leader: string(s.Self.Voter), LeaderAddr: string(s.Self.Addr), Target: id, Round: s.roundNow,
		LastIndex: t.of.LastIndex, LastTerm: t.of.LastTerm, Sum: t.sum, Size: uint64(len(t.data)), Offset: uint64(t.off),
		Data: t.data[t.off:min(t.off+ChunkBytes, len(t.data))],
	}}})
}

// lost sends a chunk again once a later heartbeat was answered and the chunk was not.
func (s *State) lost(id string, l *progress, round uint64) {
	if round <= l.snap.round || l.full {
		return
	}
	if l.snap.off == len(l.snap.data) {
		l.snap.off = 0
	}
	s.chunk(id, l)
}

func (s *State) release() {
	for _, l := range s.progress {
		if l.snap != nil {
			return
		}
	}
	s.body = nil
}

func (s *State) SnapshotChunkReply(a *wire.SnapshotChunkReply, now ident.Moment) {
	l := s.follower(a.Voter, a.Term, now)
	if l == nil {
		return
	}
	l.heard = now
	s.acked(l, a.Round)
	t := l.snap
	if t == nil || t.of.LastIndex != a.LastIndex || t.sum != a.Sum || a.Have > uint64(len(t.data)) {
		return
	}
	if have := int(a.Have); have > t.off || have == 0 && t.off > 0 {
		if t.off = have; t.off < len(t.data) {
			s.chunk(a.Voter, l)
		} else {
			t.round = s.roundNow
		}
	}
}

func (s *State) SnapshotChunk(c *wire.SnapshotChunk, now ident.Moment) {
	if c.Target != string(s.Self.Voter) || c.Term < s.term {
		return
	}
	if c.Size == 0 || c.Size > SnapshotBytes || c.Offset+uint64(len(c.Data)) > c.Size || len(c.Data) == 0 {
		s.note("Refused a chunk of a snapshot from %s: %d bytes at %d of %d.", c.Leader, len(c.Data), c.Offset, c.Size)
		return
	}
	if c.Term > s.term && s.role != Blank {
		s.toTerm(c.Term, now)
	}
	if s.role == Candidate {
		s.becomeFollower(now)
	}
	s.leader, s.leaderAddr, s.heardLead, s.stands = c.Leader, c.LeaderAddr, now, 0
	s.setElect(now)
	if c.LastIndex > s.commit && !s.takesSnapshot(int64(c.Size)) {
		return
	}
	if s.part == nil || s.part.index != c.LastIndex || s.part.sum != c.Sum || s.part.size != c.Size {
		s.part = &part{index: c.LastIndex, sum: c.Sum, size: c.Size}
	}
	p := s.part
	if c.Offset == uint64(p.data.Len()) {
		p.data.Write(c.Data)
	}
	have := uint64(p.data.Len())
	s.send(c.LeaderAddr, &wire.Frame{Body: &wire.Frame_SnapshotChunkReply{SnapshotChunkReply: &wire.SnapshotChunkReply{Term: c.Term, Voter: string(s.Self.Voter), LastIndex: c.LastIndex, Sum: c.Sum, Have: have, Round: c.Round}}})
	if have < c.Size {
		return
	}
	s.part = nil
	got := &wire.Snapshot{}
	if crc32.Checksum(p.data.Bytes(), castagnoli) != c.Sum || proto.Unmarshal(p.data.Bytes(), got) != nil || got.LastIndex != c.LastIndex || got.LastTerm != c.LastTerm {
		s.note("Refused a snapshot from %s: its chunks do not make it up.", c.Leader)
		return
	}
	got.Term, got.Leader, got.LeaderAddr, got.Target, got.Round = c.Term, c.Leader, c.LeaderAddr, c.Target, c.Round
	s.InstallSnapshot(got, now)
}
