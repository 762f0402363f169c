// Package agreement implements Raft as a deterministic state machine without I/O: elections with
// pre-vote, log replication, snapshots and membership changes, one voter at a time.
//
// A caller feeds State with messages, ticks and the results of disk writes, each with the current
// time, and calls Flush after each step for what is to be sent, written and applied.
//
// The cluster is the set of voters and learners that share a log. A roster is its membership
// configuration.
package agreement

import (
	"fmt"
	"math/rand"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gammazero/deque"

	"sloeturn/ident"
	"sloeturn/wire"
)

// Role is the role of a member in the current term. A blank member has no log yet: it waits to
// found a cluster or to be admitted as a learner.
type Role int

const (
	Blank Role = iota
	Follower
	Candidate
	Leader
)

func (r Role) String() string { return [...]string{"blank", "follower", "candidate", "leader"}[r] }

const (
	// HeartbeatInterval is the time between two heartbeat rounds of a leader.
	HeartbeatInterval = 60 * time.Millisecond
	// ElectionTimeoutMin and ElectionTimeoutSpread bound the randomized election timeout.
	ElectionTimeoutMin    = 500 * time.Millisecond
	ElectionTimeoutSpread = 500 * time.Millisecond
	// RestartElectionDelayMin and RestartElectionDelaySpread bound the time until a restarted voter
	// stands for election, which it does RestartElectionAttempts times before it uses the normal
	// timeout.
	RestartElectionDelayMin    = 60 * time.Millisecond
	RestartElectionDelaySpread = 240 * time.Millisecond
	RestartElectionAttempts    = 20
	// QuorumContactTimeout is the time without contact to a majority after which a leader steps down.
	QuorumContactTimeout = 1200 * time.Millisecond
	// FoundingInterval is the time between two founding messages or requests for admission.
	FoundingInterval = 200 * time.Millisecond
	// FounderClaimTTL is how long the claim of a founder counts when a majority forms the cluster.
	FounderClaimTTL = 500 * time.Millisecond
	// MajorityFoundingDelay is how long blank founders wait for the others before a majority forms the
	// cluster.
	MajorityFoundingDelay = 2 * time.Second
	// DefaultVoterReplaceDelay is the default of State.VoterReplaceDelay.
	DefaultVoterReplaceDelay = 10 * time.Second
	// RetainedEntries bounds the applied entries that are kept in memory for followers that lag.
	RetainedEntries = 4096
	// MaxBatchEntries bounds the number of entries in an append request.
	MaxBatchEntries = 512
	// PeerLiveTimeout is how long after its last reply a peer counts as live.
	PeerLiveTimeout = 500 * time.Millisecond
	// CatchUpWindow is how far behind in time a peer may be to count as caught up.
	CatchUpWindow = time.Second
	// RemovedPeerRetention is how long a leader serves a peer after its removal from the roster.
	RemovedPeerRetention = 2 * time.Second
	// LearnerRetentionFactor is the number of voter replacement delays after which a silent learner is
	// removed.
	LearnerRetentionFactor = 10
	// RetainedBytes bounds the size of the applied entries that are kept in memory.
	RetainedBytes = 2 << 20
	// CompactionLogBytes is the size of the log at which it is compacted.
	CompactionLogBytes = 4 << 20
	// MaxBatchBytes bounds the size of the entries in an append request.
	MaxBatchBytes = 64 << 10
	// MaxInFlightBytes bounds the size of the entries that a peer has not acknowledged.
	MaxInFlightBytes = 128 << 10
	// LeavingCandidacyDelay is how long a leaving voter waits without a leader before it stands for
	// election.
	LeavingCandidacyDelay = 2 * time.Second
	// VoterClockTTL is how long a reading of a voter's wall clock counts.
	VoterClockTTL = 3 * time.Second
	// SnapshotResendInterval is the time after which an unacknowledged snapshot is sent again as a
	// whole.
	SnapshotResendInterval = time.Second
)

// ErrMissingEntry reports a recovered log with a gap.
var ErrMissingEntry = merry.Sentinel("agreement: an entry is missing")

// Self identifies this member.
type Self struct {
	Voter  ident.Voter
	Member ident.Member
	Addr   ident.Addr
}

// Recovered is the state that was read back from disk.
type Recovered struct {
	Term     uint64
	VotedFor string
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
}

// RecordBatch is a batch of records to be written and synced together.
type RecordBatch struct {
	Seq     uint64
	Records []*wire.Record
}

// Replay adds the next record from disk.
func (r *Recovered) Replay(record *wire.Record) error {
	switch b := record.Body.(type) {
	case *wire.Record_HardState:
		r.Term, r.VotedFor = b.HardState.Term, b.HardState.Voted
	case *wire.Record_Cut:
		r.truncateFrom(b.Cut)
	case *wire.Record_Entry:
		r.truncateFrom(b.Entry.Index)
		return r.appendEntry(b.Entry)
	case *wire.Record_Snapshot:
		r.Snapshot, r.Entries = stripSnapshot(b.Snapshot), nil
		for _, e := range b.Snapshot.Log {
			if err := r.appendEntry(e); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Recovered) appendEntry(e *wire.Entry) error {
	if r.Snapshot != nil {
		last := r.Snapshot.LastIndex
		if n := len(r.Entries); n > 0 {
			last = r.Entries[n-1].Index
		}
		if e.Index != last+1 {
			return merry.Wrap(ErrMissingEntry, merry.AppendMessagef("entry %d stands after %d", e.Index, last))
		}
	}
	r.Entries = append(r.Entries, e)
	return nil
}

func (r *Recovered) truncateFrom(from uint64) {
	for n := len(r.Entries); n > 0 && r.Entries[n-1].Index >= from; n-- {
		r.Entries = r.Entries[:n-1]
	}
}

// Output is what a step leaves to the caller: messages to send, records to write, entries to apply,
// a snapshot to load, whether the role changed, and messages for the log.
type Output struct {
	Sends             []wire.Send
	Batch             *RecordBatch
	Applied           []*wire.Entry
	InstalledSnapshot *wire.Snapshot
	RoleChanged       bool
	LogMessages       []string
}

// progress is what a leader knows of a peer.
type progress struct {
	addr       string
	nextIndex  uint64
	matchIndex uint64
	// ackedRound is the latest heartbeat round that the peer has acknowledged.
	ackedRound     uint64
	heardAt        ident.Moment
	diskFailing    bool
	leaving        bool
	snapshotSentAt ident.Moment
	// resetRound is the round in which nextIndex was last moved back, and resetIndex how far.
	resetRound uint64
	resetIndex uint64
	// wallMs is the peer's wall clock, as received at wallAt in reply to wallRound.
	wallMs    int64
	wallAt    ident.Moment
	wallRound uint64
	// catchUpIndex is the end of the log when the catch-up round in progress began; 0 if there is none.
	// caughtUpAsOf is the start of the last one that the peer completed.
	catchUpIndex     uint64
	catchUpStartedAt ident.Moment
	caughtUpAsOf     ident.Moment
	// removedAt is when the peer was removed from the roster; 0 while it is part of it.
	removedAt ident.Moment
	// acceptsChunks reports that the peer takes snapshots in chunks, lacksSpace that its ring has no
	// room for the next entry or snapshot.
	acceptsChunks bool
	lacksSpace    bool
	ringBytes     int64
	transfer      *snapshotTransfer
	inFlight      deque.Deque[inFlightBatch]
	inFlightBytes int64
}

// inFlightBatch is a batch of entries, up to the index last, that a peer has not acknowledged.
type inFlightBatch struct {
	last uint64
	size int64
}

// founderClaim is the latest founding message of a founder and the time of its receipt.
type founderClaim struct {
	*wire.Founding
	at ident.Moment
}

// pendingSend is a message that is held until the batch seq is on disk.
type pendingSend struct {
	seq  uint64
	send wire.Send
}

// heartbeatRound is a round of append requests to all peers and the time it began.
type heartbeatRound struct {
	number uint64
	at     ident.Moment
}

// State is the Raft state machine of one member. It is not safe for concurrent use.
type State struct {
	Self     Self
	Founders []ident.Addr

	role     Role
	term     uint64
	votedFor string
	snapshot *wire.Snapshot
	log      []*wire.Entry
	// baseIndex and baseTerm are those of the entry before the first in log. The log may reach back
	// beyond the snapshot.
	baseIndex uint64
	baseTerm  uint64
	commit    uint64
	applied   uint64
	// synced is the last index that is on this member's disk.
	synced uint64
	rand   *rand.Rand

	leader        string
	leaderAddr    string
	leaderHeardAt ident.Moment
	electionAt    ident.Moment
	// restartElections is how many early elections are left after a restart.
	restartElections int
	votesGranted     map[string]bool
	preVote          bool
	handoff          bool
	// releasedIndex is the last index for which the leader does not need this leaving voter.
	releasedIndex uint64
	// cachedRoster caches the newest roster of the log; nil if it must be looked up.
	cachedRoster      *wire.Roster
	cachedRosterIndex uint64

	progress map[string]*progress
	// rounds holds the heartbeat rounds that a majority has not acknowledged, quorumContactAt the start
	// of the latest that it has.
	rounds          deque.Deque[heartbeatRound]
	currentRound    uint64
	quorumContactAt ident.Moment
	ledSince        ident.Moment
	heartbeatAt     ident.Moment
	// firstIndexOfTerm is the index of the no-op that this leader appended on its election.
	firstIndexOfTerm uint64
	// handoffAt is when this leader asked another voter to take over; 0 if it did not.
	handoffAt ident.Moment
	// stamp is the replicated time in milliseconds, which only runs while there is a leader, and
	// stampAt when it was last advanced.
	stampAt ident.Moment
	stamp   uint64

	// seq is the last batch handed out to be written, seqDone the last that is synced, and hardStateAt
	// the batch with the latest hard state.
	seq          uint64
	seqDone      uint64
	hardStateAt  uint64
	pendingSends deque.Deque[pendingSend]
	// syncMarks pairs each batch with the last log index that it covers.
	syncMarks      deque.Deque[[2]uint64]
	pendingRecords []*wire.Record
	output         *Output
	encoded        *encodedSnapshot
	partial        *partialSnapshot

	ringCapacity int64
	// ringFreeBytes is the space that the ring reported, unwrittenBytes the size of the records that
	// are not yet in that figure.
	ringFreeBytes      int64
	unwrittenBytes     int64
	pendingRecordBytes int64
	unwrittenBatches   deque.Deque[unwrittenBatch]
	// bytesSinceSnapshot is the size of the records after the latest snapshot record, imageBytes the
	// size of the snapshot, logBytes that of the log after it, and snapshotSeq the batch that holds it.
	bytesSinceSnapshot int64
	imageBytes         int64
	logBytes           int64
	snapshotSeq        uint64
	// spaceNeeded requests an early compaction because something did not fit.
	spaceNeeded bool
	// waitingBytes is the size of the entry, or of the snapshot if waitingForSnapshot is set, that did
	// not fit in the ring; 0 if there is none.
	waitingBytes       int64
	waitingForSnapshot bool
	// RefusingChanges reports that the last proposed change did not fit in the ring.
	RefusingChanges bool
	diskFailing     bool

	foundingSentAt ident.Moment
	founderClaims  map[string]founderClaim
	// announcedFounders is the set of founders that was last sent to the others.
	announcedFounders string
	startedAt         ident.Moment
	// Leaving is set when this member is about to stop and is to be replaced first.
	Leaving bool
	// TargetVoters is the number of voters that a leader establishes.
	TargetVoters int
	// FreshFleet is set when the whole cluster starts for the first time: then a majority of the
	// founders may form it.
	FreshFleet bool
	// VoterReplaceDelay is how long a voter must be silent before a caught-up learner replaces it.
	VoterReplaceDelay time.Duration
	// EncodeSnapshot returns the encoded replicated state for a snapshot, ValidateSnapshot checks a
	// received one.
	EncodeSnapshot   func() []byte
	ValidateSnapshot func(image []byte) error
	// ControlAddresses returns the addresses of all known control processes.
	ControlAddresses func() []ident.Addr
	// WallClock returns the wall clock in milliseconds, or 0 if it is not known.
	WallClock func(now ident.Moment) int64
}

// New returns the state of a member, blank unless it was recovered with a snapshot.
func New(self Self, founders []ident.Addr, recovered *Recovered, seed int64, now ident.Moment) *State {
	s := &State{Self: self, Founders: founders, TargetVoters: 3, VoterReplaceDelay: DefaultVoterReplaceDelay, rand: rand.New(rand.NewSource(seed)), founderClaims: map[string]founderClaim{}, startedAt: now, output: &Output{}, ControlAddresses: func() []ident.Addr { return nil }, WallClock: func(ident.Moment) int64 { return 0 }}
	s.quorumContactAt, s.leaderHeardAt = now, now
	if recovered != nil {
		s.term, s.votedFor = recovered.Term, recovered.VotedFor
	}
	if recovered != nil && recovered.Snapshot != nil {
		s.role = Follower
		s.snapshot = recovered.Snapshot
		if s.snapshot.LastTerm > s.term {
			s.term = s.snapshot.LastTerm
		}
		s.baseIndex, s.baseTerm = s.snapshot.LastIndex, s.snapshot.LastTerm
		for _, e := range recovered.Entries {
			if e.Index == s.last()+1 {
				s.log = append(s.log, e)
			}
		}
		s.imageBytes = sizeOf(s.snapshot)
		s.recountLogBytes()
		s.bytesSinceSnapshot = s.logBytes
		s.commit, s.applied = s.snapshot.LastIndex, s.snapshot.LastIndex
		s.synced = s.last()
		s.stamp = s.lastStamp()
		s.leaderHeardAt = now.Add(-ElectionTimeoutMin)
		s.restartElections = RestartElectionAttempts
	}
	s.resetElectionTimer(now)
	s.scheduleRestartElection(now)
	return s
}

func (s *State) Role() Role       { return s.role }
func (s *State) Term() ident.Term { return ident.Term(s.term) }

// LeaderAddr returns the address of the current leader, or an empty one if none is known.
func (s *State) LeaderAddr() ident.Addr { return ident.Addr(s.leaderAddr) }

// Leader returns the current leader, or an empty ID if none is known.
func (s *State) Leader() ident.Voter { return ident.Voter(s.leader) }

// Commit returns the index of the last entry that this member knows to be committed.
func (s *State) Commit() ident.Index { return ident.Index(s.commit) }

// Last returns the index of the last entry in the log, committed or not.
func (s *State) Last() ident.Index { return ident.Index(s.last()) }

// DiskFailing reports whether the disk refuses writes, as last set by SetDiskFailing.
func (s *State) DiskFailing() bool { return s.diskFailing }

// LedSince returns when this member was last elected leader.
func (s *State) LedSince() ident.Moment { return s.ledSince }

// HasCommittedInTerm reports whether this leader has committed and applied an entry of its own
// term, and so knows all committed entries.
func (s *State) HasCommittedInTerm() bool {
	return s.role == Leader && s.commit >= s.firstIndexOfTerm && s.applied >= s.firstIndexOfTerm
}

// AcceptsProposals reports whether this leader takes changes: it has committed in its term and is
// not handing over.
func (s *State) AcceptsProposals(now ident.Moment) bool {
	return s.HasCommittedInTerm() && s.handoffAt == 0
}

// Snapshot returns the latest snapshot, or nil while this member is blank.
func (s *State) Snapshot() *wire.Snapshot { return s.snapshot }

// MatchIndex returns the last index that a voter has acknowledged to this leader.
func (s *State) MatchIndex(v ident.Voter) uint64 {
	if peer := s.progress[string(v)]; peer != nil {
		return peer.matchIndex
	}
	return 0
}

// QuorumContact returns the latest time at which this leader was surely the leader, and whether it
// may serve reads. A majority has acknowledged a heartbeat round that began then.
func (s *State) QuorumContact() (ident.Moment, bool) {
	if !s.HasCommittedInTerm() {
		return 0, false
	}
	return s.quorumContactAt, true
}

func (s *State) base() uint64 { return s.baseIndex }

func (s *State) last() uint64 { return s.base() + uint64(len(s.log)) }

func (s *State) entry(i uint64) *wire.Entry {
	if i <= s.base() || i > s.last() {
		return nil
	}
	return s.log[i-s.base()-1]
}

func (s *State) termAt(i uint64) (uint64, bool) {
	if i == s.base() {
		return s.baseTerm, true
	}
	if e := s.entry(i); e != nil {
		return e.Term, true
	}
	return 0, false
}

func (s *State) lastTerm() uint64 { t, _ := s.termAt(s.last()); return t }

func (s *State) lastStamp() uint64 {
	if len(s.log) > 0 {
		return s.log[len(s.log)-1].Stamp
	}
	if s.snapshot != nil {
		return s.snapshot.Stamp
	}
	return 0
}

func (s *State) send(to string, frame *wire.Frame) {
	s.output.Sends = append(s.output.Sends, wire.Send{To: to, Frame: frame})
}

// sendAfterSync sends a message once the records of this step are on disk.
func (s *State) sendAfterSync(to string, frame *wire.Frame) {
	s.pendingSends.PushBack(pendingSend{s.seq + 1, wire.Send{To: to, Frame: frame}})
}

func (s *State) persistHardState() {
	s.hardStateAt = s.seq + 1
	s.appendRecord(&wire.Record{Body: &wire.Record_HardState{HardState: &wire.HardState{Term: s.term, Voted: s.votedFor}}})
}

// bootstrap starts from the founding roster. It keeps a newer term, in which this voter may have
// voted while blank.
func (s *State) bootstrap(roster *wire.Roster, now ident.Moment) {
	s.restoreSnapshot(&wire.Snapshot{LastIndex: foundingIndex, LastTerm: 1, Roster: roster})
	s.term = max(s.term, 1)
	s.persistHardState()
	s.setRole(Follower)
	s.resetElectionTimer(now)
}

func (s *State) logf(format string, args ...any) {
	s.output.LogMessages = append(s.output.LogMessages, fmt.Sprintf(format, args...))
}

func (s *State) appendChange(c *wire.Change) uint64 {
	e := &wire.Entry{Term: s.term, Index: s.last() + 1, Stamp: s.stamp, Change: c}
	s.appendEntry(e)
	if c.GetRoster() != nil {
		s.refreshProgress()
	}
	return e.Index
}

func (s *State) appendEntry(e *wire.Entry) {
	s.log = append(s.log, e)
	s.logBytes += sizeOf(e)
	s.appendRecord(&wire.Record{Body: &wire.Record_Entry{Entry: e}})
	if e.Change.GetRoster() != nil {
		s.cachedRoster = nil
	}
}

// truncateSyncMarks limits what the batches under way are known to cover, after the log was cut
// behind last.
func (s *State) truncateSyncMarks(last uint64) {
	for i := 0; i < s.syncMarks.Len(); i++ {
		if mark := s.syncMarks.At(i); mark[1] > last {
			s.syncMarks.Set(i, [2]uint64{mark[0], last})
		}
	}
}

// refreshProgress adds the peers of a new roster, and marks those that it lacks as removed.
func (s *State) refreshProgress() {
	roster := s.Roster()
	for _, v := range roster.GetVoters() {
		if v.Id == string(s.Self.Voter) {
			continue
		}
		if peer := s.progress[v.Id]; peer != nil {
			peer.addr, peer.removedAt = v.Addr, 0
			continue
		}
		s.progress[v.Id] = &progress{addr: v.Addr, nextIndex: s.last() + 1, heardAt: s.heartbeatAt}
	}
	for id, peer := range s.progress {
		if findVoter(roster, id) == nil && peer.removedAt == 0 {
			peer.removedAt = s.heartbeatAt
		}
	}
}

// Propose appends a change to the log and returns its index, if this leader accepts proposals and
// the ring has room for it.
func (s *State) Propose(c *wire.Change, now ident.Moment) (uint64, bool) {
	if !s.AcceptsProposals(now) || !s.admitsChange(c) {
		return 0, false
	}
	s.advanceStamp(now)
	return s.appendChange(c), true
}

// advanceStamp adds the time since the last call to the replicated time.
func (s *State) advanceStamp(now ident.Moment) {
	if elapsed := now.Sub(s.stampAt); elapsed > 0 {
		s.stamp += uint64(elapsed / time.Millisecond)
		s.stampAt = s.stampAt.Add(elapsed / time.Millisecond * time.Millisecond)
	}
}

// SetDiskFailing records whether the disk refuses writes. A leader whose disk fails hands its
// leadership over.
func (s *State) SetDiskFailing(failing bool, now ident.Moment) {
	s.diskFailing = failing
	if failing && s.role == Leader {
		s.TransferLeadership(now)
	}
}

// VoterClocks returns the recent wall clock readings of the voters, the own one first, and the
// number of voters. There are no readings without an own one.
func (s *State) VoterClocks(now ident.Moment) ([]int64, int) {
	voters := Voters(s.Roster())
	own := s.WallClock(now)
	if own == 0 || !s.isVoting() {
		return nil, len(voters)
	}
	clocks := []int64{own}
	for _, v := range voters {
		peer := s.progress[v.Id]
		if peer != nil && peer.wallMs != 0 && now.Sub(peer.wallAt) < VoterClockTTL && v.Id != string(s.Self.Voter) {
			clocks = append(clocks, peer.wallMs+int64(now.Sub(peer.wallAt)/time.Millisecond))
		}
	}
	return clocks, len(voters)
}

// Tick runs the timers: founding messages, heartbeats and reconfiguration, elections.
func (s *State) Tick(now ident.Moment) {
	switch s.role {
	case Blank:
		if now.Sub(s.foundingSentAt) >= FoundingInterval {
			s.foundingSentAt = now
			for _, addr := range ident.AddrsExcept(s.Self.Addr, s.Founders, s.ControlAddresses()) {
				s.send(string(addr), &wire.Frame{Body: &wire.Frame_Founding{Founding: s.foundingMessage(false)}})
			}
			if len(s.Founders) == 1 && s.Founders[0] == s.Self.Addr {
				s.Founding(&wire.Founding{Answer: true}, now)
			}
			for _, addr := range ident.SortedKeys(s.founderClaims) {
				if claim := s.founderClaims[addr]; !claim.Blank {
					message := s.foundingMessage(true)
					message.Learn = true
					s.send(claim.Addr, &wire.Frame{Body: &wire.Frame_Founding{Founding: message}})
				}
			}
			s.foundByMajority(now)
		}
	case Leader:
		s.advanceStamp(now)
		if s.diskFailing && s.handoffAt == 0 {
			s.TransferLeadership(now)
		}
		if s.handoffAt != 0 && now.Sub(s.handoffAt) > ElectionTimeoutMin {
			s.handoffAt = 0
		}
		if now.Sub(s.quorumContactAt) > QuorumContactTimeout && now.Sub(s.ledSince) > QuorumContactTimeout {
			s.leader, s.leaderAddr = "", ""
			s.becomeFollower(now)
			return
		}
		if now.Sub(s.heartbeatAt) >= HeartbeatInterval {
			s.reconfigure(now)
			s.heartbeat(now)
		}
	default:
		s.requestAdmission(now)
		if now.After(s.electionAt) {
			s.resetElectionTimer(now)
			s.scheduleRestartElection(now)
			if s.isVoting() && !s.diskFailing && (!s.Leaving || now.Sub(s.leaderHeardAt) > LeavingCandidacyDelay) {
				s.campaign(now, true, false)
			}
		}
	}
}

// Flush returns what this step has left to do, and must be called after each step. Messages that
// acknowledge records are part of it only once those are synced.
func (s *State) Flush(now ident.Moment) *Output {
	if s.role == Leader {
		if s.isSoleVoter() {
			s.quorumContactAt = now
		}
		for _, id := range ident.SortedKeys(s.progress) {
			s.replicate(id, s.progress[id], now, false)
		}
	}
	if len(s.pendingRecords) > 0 {
		s.seq++
		s.output.Batch = &RecordBatch{Seq: s.seq, Records: s.pendingRecords}
		s.pendingRecords = nil
		s.unwrittenBatches.PushBack(unwrittenBatch{s.seq, s.pendingRecordBytes})
		s.pendingRecordBytes = 0
		s.syncMarks.PushBack([2]uint64{s.seq, s.last()})
	}
	for s.pendingSends.Len() > 0 {
		held := s.pendingSends.Front()
		if held.seq > s.seq {
			held.seq = s.seq
			s.pendingSends.Set(0, held)
		}
		if held.seq > s.seqDone {
			break
		}
		s.pendingSends.PopFront()
		s.output.Sends = append(s.output.Sends, held.send)
	}
	for s.applied < s.commit {
		e := s.entry(s.applied + 1)
		s.applied++
		s.output.Applied = append(s.output.Applied, e)
	}
	out := s.output
	s.output = &Output{}
	return out
}

// DebugString describes the state in one line.
func (s *State) DebugString() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s term %d base %d last %d synced %d commit %d first %d seq %d done %d quit %d ailing %v", s.role, s.term, s.base(), s.last(), s.synced, s.commit, s.firstIndexOfTerm, s.seq, s.seqDone, s.handoffAt, s.diskFailing)
	for _, v := range s.Roster().GetVoters() {
		fmt.Fprintf(&b, " [%s learner %v", v.Id, v.Learner)
		if peer := s.progress[v.Id]; peer != nil {
			fmt.Fprintf(&b, " next %d match %d round %d ailing %v", peer.nextIndex, peer.matchIndex, peer.ackedRound, peer.diskFailing)
		}
		b.WriteString("]")
	}
	return b.String()
}
