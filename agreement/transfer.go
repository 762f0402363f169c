package agreement

import (
	"bytes"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

// SnapshotChunkBytes is the size of a chunk, MaxSnapshotBytes the largest snapshot that is accepted
// in chunks.
const (
	SnapshotChunkBytes = 32 << 10
	MaxSnapshotBytes   = 64 << 20
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// encodedSnapshot is a snapshot in the form in which its chunks are sent.
type encodedSnapshot struct {
	source   *wire.Snapshot
	data     []byte
	checksum uint32
}

// snapshotTransfer is the state of a snapshot sent to a peer: the bytes acknowledged, and the round
// in which the last chunk was sent.
type snapshotTransfer struct {
	*encodedSnapshot
	offset int
	round  uint64
}

// partialSnapshot collects the chunks of a snapshot that is being received.
type partialSnapshot struct {
	index    uint64
	checksum uint32
	size     uint64
	data     bytes.Buffer
}

// encodeSnapshot returns the encoding of the current snapshot, which all transfers share.
func (s *State) encodeSnapshot() *encodedSnapshot {
	if s.encoded == nil || s.encoded.source != s.snapshot {
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(s.snapshot)
		s.encoded = &encodedSnapshot{s.snapshot, data, crc32.Checksum(data, castagnoliTable)}
	}
	return s.encoded
}

// sendSnapshot starts a snapshot transfer to a peer. One chunk is in flight at a time: the next is
// sent when it is acknowledged. Small snapshots, and those to a peer that takes no chunks, are sent
// whole.
func (s *State) sendSnapshot(id string, peer *progress, now ident.Moment) {
	if peer.transfer != nil {
		return
	}
	encoded := s.encodeSnapshot()
	if !peer.acceptsChunks || len(encoded.data) <= SnapshotChunkBytes {
		if peer.snapshotSentAt == 0 || now.Sub(peer.snapshotSentAt) > SnapshotResendInterval {
			peer.snapshotSentAt = now
			snapshot := stripSnapshot(s.snapshot)
			snapshot.Term, snapshot.Leader, snapshot.LeaderAddr, snapshot.Round, snapshot.Target = s.term, string(s.Self.Voter), string(s.Self.Addr), s.currentRound, id
			s.send(peer.addr, &wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: snapshot}})
		}
		return
	}
	peer.transfer = &snapshotTransfer{encodedSnapshot: encoded}
	s.logf("Sending a snapshot of %d bytes at entry %d to %s.", len(encoded.data), encoded.source.LastIndex, id)
	s.sendChunk(id, peer)
}

func (s *State) sendChunk(id string, peer *progress) {
	transfer := peer.transfer
	transfer.round = s.currentRound
	s.send(peer.addr, &wire.Frame{Body: &wire.Frame_SnapshotChunk{SnapshotChunk: &wire.SnapshotChunk{
		Term: s.term, Leader: string(s.Self.Voter), LeaderAddr: string(s.Self.Addr), Target: id, Round: s.currentRound,
		LastIndex: transfer.source.LastIndex, LastTerm: transfer.source.LastTerm, Sum: transfer.checksum, Size: uint64(len(transfer.data)), Offset: uint64(transfer.offset),
		Data: transfer.data[transfer.offset:min(transfer.offset+SnapshotChunkBytes, len(transfer.data))],
	}}})
}

// resendChunk sends a chunk again after the peer has acknowledged a later heartbeat but not the
// chunk.
func (s *State) resendChunk(id string, peer *progress, round uint64) {
	if round <= peer.transfer.round || peer.lacksSpace {
		return
	}
	if peer.transfer.offset == len(peer.transfer.data) {
		peer.transfer.offset = 0
	}
	s.sendChunk(id, peer)
}

// releaseEncoded frees the encoding once no transfer uses it.
func (s *State) releaseEncoded() {
	for _, peer := range s.progress {
		if peer.transfer != nil {
			return
		}
	}
	s.encoded = nil
}

// SnapshotChunkReply sends the next chunk, or starts again if the peer has none of them.
func (s *State) SnapshotChunkReply(reply *wire.SnapshotChunkReply, now ident.Moment) {
	peer := s.peerForReply(reply.Voter, reply.Term, now)
	if peer == nil {
		return
	}
	peer.heardAt = now
	s.roundAcknowledged(peer, reply.Round)
	transfer := peer.transfer
	if transfer == nil || transfer.source.LastIndex != reply.LastIndex || transfer.checksum != reply.Sum || reply.Have > uint64(len(transfer.data)) {
		return
	}
	if have := int(reply.Have); have > transfer.offset || have == 0 && transfer.offset > 0 {
		if transfer.offset = have; transfer.offset < len(transfer.data) {
			s.sendChunk(reply.Voter, peer)
		} else {
			transfer.round = s.currentRound
		}
	}
}

// SnapshotChunk collects a chunk of a snapshot and installs the snapshot after the last one.
func (s *State) SnapshotChunk(chunk *wire.SnapshotChunk, now ident.Moment) {
	if chunk.Target != string(s.Self.Voter) || chunk.Term < s.term {
		return
	}
	if chunk.Size == 0 || chunk.Size > MaxSnapshotBytes || chunk.Offset+uint64(len(chunk.Data)) > chunk.Size || len(chunk.Data) == 0 {
		s.logf("Refused a chunk of a snapshot from %s: %d bytes at %d of %d.", chunk.Leader, len(chunk.Data), chunk.Offset, chunk.Size)
		return
	}
	if chunk.Term > s.term && s.role != Blank {
		s.advanceTerm(chunk.Term, now)
	}
	if s.role == Candidate {
		s.becomeFollower(now)
	}
	s.leader, s.leaderAddr, s.leaderHeardAt, s.restartElections = chunk.Leader, chunk.LeaderAddr, now, 0
	s.resetElectionTimer(now)
	if chunk.LastIndex > s.commit && !s.acceptsSnapshot(int64(chunk.Size)) {
		return
	}
	if s.partial == nil || s.partial.index != chunk.LastIndex || s.partial.checksum != chunk.Sum || s.partial.size != chunk.Size {
		s.partial = &partialSnapshot{index: chunk.LastIndex, checksum: chunk.Sum, size: chunk.Size}
	}
	partial := s.partial
	if chunk.Offset == uint64(partial.data.Len()) {
		partial.data.Write(chunk.Data)
	}
	have := uint64(partial.data.Len())
	s.send(chunk.LeaderAddr, &wire.Frame{Body: &wire.Frame_SnapshotChunkReply{SnapshotChunkReply: &wire.SnapshotChunkReply{Term: chunk.Term, Voter: string(s.Self.Voter), LastIndex: chunk.LastIndex, Sum: chunk.Sum, Have: have, Round: chunk.Round}}})
	if have < chunk.Size {
		return
	}
	s.partial = nil
	snapshot := &wire.Snapshot{}
	if crc32.Checksum(partial.data.Bytes(), castagnoliTable) != chunk.Sum || proto.Unmarshal(partial.data.Bytes(), snapshot) != nil || snapshot.LastIndex != chunk.LastIndex || snapshot.LastTerm != chunk.LastTerm {
		s.logf("Refused a snapshot from %s: its chunks do not make it up.", chunk.Leader)
		return
	}
	snapshot.Term, snapshot.Leader, snapshot.LeaderAddr, snapshot.Target, snapshot.Round = chunk.Term, chunk.Leader, chunk.LeaderAddr, chunk.Target, chunk.Round
	s.InstallSnapshot(snapshot, now)
}
