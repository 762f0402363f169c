// Package control implements the control process: State is a deterministic reducer over the replicated log,
// the ledger, the membership and the cells; Node runs it and owns its sockets, disk and clock.
package control

import (
	"fmt"
	"sort"
	"time"

	"sloeturn/agreement"
	"sloeturn/cell"
	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/member"
	"sloeturn/relay"
	"sloeturn/wire"
)

const (
	// HolderAssignInterval is the shortest time between two assignments of the same cell.
	HolderAssignInterval = time.Second
	// HomeStableTime is how long a control process that runs in the cell itself must have been live
	// before a holder from elsewhere hands the cell to it.
	HomeStableTime = 4 * time.Second
	// MarkInterval is the shortest time between two marks that do not put a newer generation in effect.
	MarkInterval = 300 * time.Millisecond
	// LeaseExpirySlack is added to a lease before it counts as expired.
	LeaseExpirySlack = 100 * time.Millisecond
	// NodeShareInterval is the shortest time between updates of the nodes' wants while the list of
	// nodes is unchanged.
	NodeShareInterval = time.Second
	// HandoverInterval is how often a handover is sent again.
	HandoverInterval = 300 * time.Millisecond
	// HandoverGrace is how long a leaving holder may hand over its cells itself before the leader
	// assigns them.
	HandoverGrace = 1500 * time.Millisecond
	// MaxQuorumWait bounds how long a draining process stays because the quorum needs it.
	MaxQuorumWait = 8 * time.Second
	// DrainAckTimeout is how long a drain or deregistration waits for a majority of voters to
	// acknowledge it.
	DrainAckTimeout = 600 * time.Millisecond
	// SuccessorTimeout is how long a handover waits for one successor before another is tried.
	SuccessorTimeout = 600 * time.Millisecond
	// HolderSilenceLimit is how long a live holder may publish nothing of its cell before the leader
	// replaces it.
	HolderSilenceLimit = 4 * time.Second
	// UnseenMemberGrace is how long a new leader waits for members that it has not seen yet.
	UnseenMemberGrace = 600 * time.Millisecond
	// AnnounceTimeout is how long a forwarded announcement waits for the answer of its cell's holder.
	AnnounceTimeout = time.Second
	// ChangeTimeout is how long a request for a configuration change waits for its outcome.
	ChangeTimeout = 15 * time.Second
	// MaxForwardHops bounds how often an announcement is forwarded.
	MaxForwardHops = 2
	// MaxParkTime is how long an announcement waits for its cell to get a holder that can take it.
	MaxParkTime = 600 * time.Millisecond
	// MaxParkedAnnouncements bounds the announcements that wait for a holder.
	MaxParkedAnnouncements = 1024
	// ForwardRetryInterval is how often a forwarded announcement is sent again until it is answered.
	ForwardRetryInterval = 200 * time.Millisecond
	// FastStartPeriod is how long after its start a process polls for updates at a shorter interval.
	FastStartPeriod = 3 * time.Second
	// CopySaveInterval is the shortest time between two writes of the cell copies, unless a backend
	// leaves.
	CopySaveInterval = 500 * time.Millisecond
	// CopySaveWait is how long a drain waits for the disk; after it the acknowledgement of a majority
	// is enough.
	CopySaveWait = 150 * time.Millisecond
	// LeaderSilenceLimit is how long nothing may be received from a leader before changes requested here
	// are given up as lost.
	LeaderSilenceLimit = 700 * time.Millisecond
	// IsolatedChangeWait is how long a change requested at an isolated process waits before it is given
	// up.
	IsolatedChangeWait = 150 * time.Millisecond
	// IsolatedAfter is how long without an update from the leader a process counts as isolated.
	IsolatedAfter = 2 * time.Second
)

// Config is what a control process is started with.
type Config struct {
	Member ident.Member
	Addr   ident.Addr
	// HTTP is the addresses of the backends' and the operators' interfaces, separated by a comma.
	HTTP string
	// Cell is the cell that this process runs in.
	Cell        ident.Cell
	Incarnation ident.Incarnation
	Seeds       []ident.Addr
	// Founders are the addresses of the voters that form the fleet.
	Founders []ident.Addr
	// FreshFleet allows a majority of the founders to form the fleet with empty disks.
	FreshFleet bool
	// Voter is the id of this process's disk; empty without one.
	Voter ident.Voter
	Build string
	Seed  int64
	// Decisions is how many decisions are kept for operators.
	Decisions int
	// LeaseDuration is the longest time that a node may serve on a former configuration; a change is
	// acknowledged after it at the latest.
	LeaseDuration time.Duration
	// MaxStaleness is how long a node that is out of contact serves on the last update it has.
	MaxStaleness time.Duration
	// DrainTimeout bounds a planned stop; 0 for no bound.
	DrainTimeout time.Duration
	// MaxLosses is how many voters may be lost at once; the number of voters follows from it.
	MaxLosses int
	// VoterReplaceDelay is how long a voter must be silent before a learner replaces it.
	VoterReplaceDelay time.Duration
	// ClockScale is how many times faster the calendar's clock runs, for trials.
	ClockScale int64
	// Capacity and FreeBytes are the size of the on-disk log ring and what is free of it, in bytes.
	Capacity  int64
	FreeBytes int64
	// SavedCopies are the cell copies read from disk; KeepsCopies says that they can be written there.
	SavedCopies []byte
	KeepsCopies bool
}

// quorumWait is at most half of the time that a drain may take.
func (c Config) quorumWait() time.Duration {
	if c.DrainTimeout == 0 {
		return MaxQuorumWait
	}
	return min(MaxQuorumWait, c.DrainTimeout/2)
}

// heldCell is a cell that this process holds: it owns the cell's backend table under one epoch.
type heldCell struct {
	epoch ident.Epoch
	// answersFrom is when the lease of the holder before is over.
	answersFrom ident.Moment
	table       *cell.BackendTable
	// successor, handover and the fields after them belong to a handover under way.
	successor      *wire.Card
	handover       *wire.Bequest
	handoverSent   ident.Moment
	successorSince ident.Moment
	// recalled is set once the state known under earlier holders has been taken over.
	recalled      bool
	successorTurn int
	// sharesUpdated is when the nodes' wants were last updated; sharesVersion counts their changes.
	sharesUpdated ident.Moment
	sharesVersion int
	copiedVersion int
	drains        []*pendingDrain
	// savedUpTo is the version of the table that is on this disk.
	savedUpTo uint64
	// coreVersion is the version of the published state that assigned the cell to this process.
	coreVersion uint64
	// readVoters are the voters whose answers cover the cell; quorumRead says that they suffice.
	readVoters map[string]bool
	quorumRead bool
	waitLogged bool
}

// memberSeen is when an incarnation of a member was first seen.
type memberSeen struct {
	incarnation uint64
	at          ident.Moment
}

// requester identifies a proposal: its token and the address that the reply goes to.
type requester struct {
	token   uint64
	address string
}

// effectWaiter is a request that is answered once its generation is in effect.
type effectWaiter struct {
	generation ident.Generation
	requester
}

// changeRequest is a requested change of the configuration.
type changeRequest struct {
	requester
	set        *wire.SetDesired
	receivedAt ident.Moment
}

// pendingAnnouncement is an announcement that waits for its answer: to the sender of a frame, to a
// caller in this process (replyTo is empty), or to a broadcast that it is a part of.
type pendingAnnouncement struct {
	receivedAt ident.Moment
	replyTo    string
	token      uint64
	broadcast  *broadcast
}

// parkedAnnouncement waits until its cell has a holder that can take it.
type parkedAnnouncement struct {
	pendingAnnouncement
	announce *wire.Announce
}

// pendingDrain is a drain or deregistration in the cell's table up to version upTo, with the voters
// that have acknowledged it.
type pendingDrain struct {
	pendingAnnouncement
	upTo   uint64
	voters map[string]bool
}

// State is the reducer of a control process. It reads no clock and does no I/O: events come in through
// Step, outputs go out through Take.
type State struct {
	Config
	Members   *member.State
	Relay     *relay.State
	Proposals *relay.Proposer
	Agreement *agreement.State
	Ledger    *ledger.StateMachine

	// proposers has the requester of each log index that is proposed and not yet applied; proposed is
	// its reverse.
	proposers      map[uint64]requester
	proposed       map[requester]bool
	effectWaiters  []effectWaiter
	pendingChanges []changeRequest
	// pendingRefusals wait until a majority has confirmed the leader after they came.
	pendingRefusals []changeRequest
	// localChanges has the time at which each pending change was requested here.
	localChanges map[uint64]ident.Moment
	// lastChangeIndex is the log index of the last proposed change of the configuration or of a
	// blackout period.
	lastChangeIndex uint64
	heldCells       map[ident.Cell]*heldCell
	// assignedAt is when this leader last assigned each cell.
	assignedAt   map[ident.Cell]ident.Moment
	liveSince    map[string]memberSeen
	leavingSince map[string]ident.Moment
	handovers    map[ident.Cell]*wire.Bequest
	lastMark     *wire.Mark
	lastMarkAt   ident.Moment
	// appliedAt is from when on each generation that is not in effect could be published here.
	appliedAt map[ident.Generation]ident.Moment
	leaseState
	forwards map[uint64]*forwarded
	// answeredVoters are the voters that have answered this incarnation in full.
	answeredVoters map[string]bool
	parked         []parkedAnnouncement
	tokens         ident.Tokens
	draining       bool
	drainStart     ident.Moment
	deregistered   bool
	calendarState
	// StrayAnswers counts answers to no pending request, or from a process that was not asked.
	StrayAnswers uint64
	ringUsed     float64
	role         agreement.Role
	startedAt    ident.Moment
	copySave     copySave
	quorum       quorumContact
	output       []any
}

// New makes the state of a control process, from what its disk holds if it has one.
func New(config Config, recovered *agreement.Recovered, now ident.Moment) (*State, error) {
	s := &State{Config: config, quorum: quorumContact{lastHeard: map[string]ident.Moment{}}, proposers: map[uint64]requester{}, proposed: map[requester]bool{}, heldCells: map[ident.Cell]*heldCell{}, assignedAt: map[ident.Cell]ident.Moment{}, liveSince: map[string]memberSeen{}, leavingSince: map[string]ident.Moment{}, handovers: map[ident.Cell]*wire.Bequest{}, forwards: map[uint64]*forwarded{}, tokens: ident.NewTokens(config.Incarnation), answeredVoters: map[string]bool{}, appliedAt: map[ident.Generation]ident.Moment{}, leaseState: newLeaseState(), localChanges: map[uint64]ident.Moment{}, startedAt: now}
	s.Ledger = ledger.NewStateMachine()
	s.Members = member.New(&wire.Card{Id: string(config.Member), Addr: string(config.Addr), Cell: string(config.Cell), Role: member.RoleControl, Incarnation: uint64(config.Incarnation), Http: config.HTTP, Build: config.Build}, config.Seeds, now)
	s.Relay = relay.New(config.Member, config.Incarnation, true)
	s.Relay.Voter = config.Voter
	s.Relay.SetLease(config.LeaseDuration, config.MaxStaleness)
	s.Proposals = relay.NewProposer(config.Incarnation)
	s.loadCopies()
	if config.Voter != "" {
		s.Agreement = agreement.New(agreement.Self{Voter: config.Voter, Member: config.Member, Addr: config.Addr}, config.Founders, recovered, config.Seed, now)
		s.Agreement.FreshFleet = config.FreshFleet
		if config.MaxLosses > 0 {
			s.Agreement.TargetVoters = 2*config.MaxLosses + 1
		}
		if config.VoterReplaceDelay > 0 {
			s.Agreement.VoterReplaceDelay = config.VoterReplaceDelay
		}
		s.Agreement.ControlAddresses = func() []ident.Addr {
			var out []ident.Addr
			for _, a := range s.controlAddresses() {
				out = append(out, ident.Addr(a))
			}
			return out
		}
		s.Members.MoreSeeds = func() []ident.Addr {
			var out []ident.Addr
			for _, v := range s.Agreement.Roster().GetVoters() {
				out = append(out, ident.Addr(v.Addr))
			}
			return out
		}
		s.Agreement.SetRingCapacity(config.Capacity, config.FreeBytes)
		s.Agreement.WallClock = s.wallClock
		s.Agreement.EncodeSnapshot = func() []byte { return s.Ledger.EncodeSnapshot() }
		s.Agreement.ValidateSnapshot = func(image []byte) error {
			_, err := ledger.RestoreStateMachine(image)
			return err
		}
		if recovered != nil && recovered.Snapshot != nil {
			if err := s.loadSnapshot(recovered.Snapshot); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

// loadSnapshot replaces the replicated state machine by a snapshot.
func (s *State) loadSnapshot(snapshot *wire.Snapshot) error {
	b, err := ledger.RestoreStateMachine(snapshot.Image)
	if err != nil {
		return err
	}
	s.Ledger = b
	return nil
}

func (s *State) send(to string, frame *wire.Frame) {
	s.output = append(s.output, wire.Send{To: to, Frame: frame})
}

// leaderAsOf is the moment up to which a majority has confirmed this process as leader, if it is one.
func (s *State) leaderAsOf() (ident.Moment, bool) {
	if s.Agreement == nil {
		return 0, false
	}
	return s.Agreement.QuorumContact()
}

func (s *State) isLeader() bool { return s.Agreement != nil && s.Agreement.HasCommittedInTerm() }

// controlAddresses lists the addresses of the control processes.
func (s *State) controlAddresses() []string { return s.Members.ControlAddrs() }

// Step applies one event. Settle must follow before the outputs are taken.
func (s *State) Step(now ident.Moment, e any) {
	s.Relay.ObserveTick(now)
	switch e := e.(type) {
	case FrameReceived:
		s.receive(e.Frame, now)
	case Tick:
		s.tick(now)
	case DiskSynced:
		s.ringUsed = e.Used
		s.Agreement.SetRingFree(e.Seq, e.FreeBytes)
		s.Agreement.Synced(e.Seq, now)
	case DiskState:
		if e.Ailing != s.Agreement.DiskFailing() {
			s.output = append(s.output, LogNote{map[bool]string{true: "The disk is ailing; leadership is given up.", false: "The disk has recovered."}[e.Ailing]})
		}
		s.Agreement.SetDiskFailing(e.Ailing, now)
	case CopiesSaved:
		s.copiesSaved(e.OK, now)
	case Announce:
		s.announceLocal(e.Token, e.Announce, now)
	case Change:
		s.Proposals.SetLeaderHint(s.leaderAddr())
		if e.Change.GetSetDesired() != nil {
			s.localChanges[e.Token] = now
		}
		s.Proposals.Submit(e.Change, now.Add(e.Wait), e.Token, s.controlAddresses(), now)
	case Drain:
		if !s.draining {
			s.draining, s.drainStart = true, now
			if s.Agreement != nil {
				s.Agreement.Leaving = true
			}
			s.output = append(s.output, LogNote{"Draining."})
		}
	case ClockReading:
		s.clock = e
	case Query:
		e.Do(s, now)
	}
}

func (s *State) leaderAddr() string {
	if s.Agreement != nil && s.Agreement.LeaderAddr() != "" {
		return string(s.Agreement.LeaderAddr())
	}
	return s.Relay.Core.GetLeaderAddr()
}

// receive handles a frame from another member.
func (s *State) receive(frame *wire.Frame, now ident.Moment) {
	s.quorum.recordHeard(frame.Addr, s.Members.Record(ident.Member(frame.From)).GetRole() == member.RoleControl, now)
	s.Relay.ObserveIncarnation(frame.Addr, frame.Incarnation)
	switch b := frame.Body.(type) {
	case *wire.Frame_Heartbeat:
		s.Members.HandleHeartbeat(b.Heartbeat, frame.From, frame.Addr, now)
	case *wire.Frame_Table:
		s.Members.HandleTable(b.Table, frame.Addr, now)
	case *wire.Frame_Ask:
		s.Relay.ReceiveConfirms(b.Ask)
		s.recordDrainAcks(frame.Addr, b.Ask, now)
		s.send(frame.Addr, &wire.Frame{Body: &wire.Frame_News{News: s.answerAsk(frame.Addr, b.Ask, now)}})
	case *wire.Frame_News:
		if r := s.Relay.HandleUpdate(b.News, frame.Addr, now); r != nil {
			s.recordReading(b.News.Voter, frame.Addr, r)
			s.saveCopies(now)
		}
	case *wire.Frame_Announce:
		s.announceRemote(frame.Addr, b.Announce, now)
	case *wire.Frame_Bequest:
		s.acceptHandover(b.Bequest, now)
	case *wire.Frame_AnnounceReply:
		s.forwardAnswered(frame, b.AnnounceReply)
	case *wire.Frame_Propose:
		s.propose(requester{b.Propose.Token, frame.Addr}, b.Propose.Change, now)
	case *wire.Frame_ProposeReply:
		if tag, ok := s.Proposals.HandleReply(b.ProposeReply, now); ok {
			if t, ok := tag.(uint64); ok {
				delete(s.localChanges, t)
				s.output = append(s.output, ChangeResult{t, b.ProposeReply})
			}
		}
	default:
		s.receiveAgreement(frame, now)
	}
}

// receiveAgreement handles the frames of the replicated log. A process without a disk answers a
// founding only, as one that cannot found.
func (s *State) receiveAgreement(frame *wire.Frame, now ident.Moment) {
	if s.Agreement == nil {
		if q := frame.GetFounding(); q != nil && !q.Answer {
			s.send(q.Addr, &wire.Frame{Body: &wire.Frame_Founding{Founding: &wire.Founding{Member: string(s.Member), Addr: string(s.Addr), Blank: true, Answer: true}}})
		}
		return
	}
	switch b := frame.Body.(type) {
	case *wire.Frame_Vote:
		s.Agreement.Vote(b.Vote, now)
	case *wire.Frame_VoteReply:
		s.Agreement.VoteReply(b.VoteReply, now)
	case *wire.Frame_Append:
		s.Agreement.Append(b.Append, now)
	case *wire.Frame_AppendReply:
		s.Agreement.AppendReply(b.AppendReply, now)
	case *wire.Frame_Snapshot:
		s.Agreement.InstallSnapshot(b.Snapshot, now)
	case *wire.Frame_SnapshotReply:
		s.Agreement.SnapshotReply(b.SnapshotReply, now)
	case *wire.Frame_SnapshotChunk:
		s.Agreement.SnapshotChunk(b.SnapshotChunk, now)
	case *wire.Frame_SnapshotChunkReply:
		s.Agreement.SnapshotChunkReply(b.SnapshotChunkReply, now)
	case *wire.Frame_Handoff:
		s.Agreement.Handoff(b.Handoff, now)
	case *wire.Frame_Founding:
		s.Agreement.Founding(b.Founding, now)
	}
}

// trackGenerations records since when each generation that is not in effect can be published here.
func (s *State) trackGenerations(now ident.Moment) {
	for g := s.Ledger.Generation; g > s.Ledger.EffectiveGeneration && s.appliedAt[g] == 0; g-- {
		s.appliedAt[g] = now
	}
	for g := range s.appliedAt {
		if g <= s.Ledger.EffectiveGeneration {
			delete(s.appliedAt, g)
		}
	}
}

// Settle applies committed log entries, publishes the state as leader and collects the outputs of all
// parts.
func (s *State) Settle(now ident.Moment) {
	if s.Agreement != nil {
		s.Agreement.Compact(false)
		if s.Agreement.Role() == agreement.Leader {
			s.processChanges(now)
		}
		for {
			o := s.Agreement.Flush(now)
			if o.InstalledSnapshot != nil {
				if err := s.loadSnapshot(o.InstalledSnapshot); err != nil {
					s.output = append(s.output, LogNote{"Cannot read a snapshot: " + err.Error()})
				}
			}
			for _, m := range o.Sends {
				s.output = append(s.output, m)
			}
			for _, t := range o.LogMessages {
				s.output = append(s.output, LogNote{t})
			}
			if o.Batch != nil {
				s.output = append(s.output, *o.Batch)
			}
			for _, e := range o.Applied {
				s.applyEntry(e, now)
			}
			if o.RoleChanged {
				s.roleChanged(now)
			}
			if len(o.Applied) == 0 {
				break
			}
			s.Agreement.Compact(false)
			s.processChanges(now)
		}
		s.publish(now)
	}
	for _, e := range s.Members.Flush() {
		s.output = append(s.output, e)
	}
	for _, e := range s.Relay.Flush() {
		s.output = append(s.output, e)
	}
	for _, e := range s.Proposals.Flush() {
		s.output = append(s.output, e)
	}
}

// roleChanged drops what belonged to the former role.
func (s *State) roleChanged(now ident.Moment) {
	if s.role == s.Agreement.Role() {
		return
	}
	s.role = s.Agreement.Role()
	s.recordDecision(daemon.Decision{Decision: "role", To: s.role.String(), Note: fmt.Sprintf("term %d", s.Agreement.Term())})
	s.output = append(s.output, LogNote{"Now " + s.role.String() + "."})
	s.proposers, s.proposed = map[uint64]requester{}, map[requester]bool{}
	s.effectWaiters, s.pendingChanges, s.pendingRefusals, s.lastChangeIndex, s.pastEnd = nil, nil, nil, 0, nil
	s.lastMark, s.lastMarkAt = nil, 0
	s.leaseState = newLeaseState()
}

// publish makes the replicated state available to the members, as of the moment a majority confirmed
// this leader.
func (s *State) publish(now ident.Moment) {
	asOf, ok := s.Agreement.QuorumContact()
	if !ok || s.withholdsUpdates(now) {
		return
	}
	core := s.Ledger.Core()
	if former := s.Relay.Core; former == nil || former.Version != core.Version || former.Term != uint64(s.Agreement.Term()) {
		next := &wire.Core{Version: core.Version, Generation: core.Generation, InForce: core.InForce, Grown: core.Grown, Seats: core.Seats, Holds: core.Holds, Floors: core.Floors, SeatCount: core.SeatCount, Trial: core.Trial, Revoked: core.Revoked, Leader: string(s.Member), LeaderAddr: string(s.Addr), Term: uint64(s.Agreement.Term()), Roster: s.Agreement.Roster()}
		core = next
	} else {
		core = former
	}
	var doc []byte
	if line := s.Ledger.HistoryEntry(s.Ledger.Generation); line != nil {
		doc = line.Doc
	}
	s.Relay.ApplyCore(core, doc, s.Ledger.Generation, asOf)
}

// answerAsk answers a request for updates. Tables of the cells held here come from the holder itself;
// saved copies go to control processes only.
func (s *State) answerAsk(from string, ask *wire.Ask, now ident.Moment) *wire.News {
	update := s.Relay.AnswerPoll(ask, now)
	have := map[string]*wire.CellHave{}
	for _, h := range ask.Cells {
		have[h.Cell] = h
	}
	keep := update.Cells[:0]
	for _, c := range update.Cells {
		if s.activeCell(ident.Cell(c.Cell), now) == nil {
			keep = append(keep, c)
		}
	}
	update.Cells = keep
	names := make([]string, 0, len(s.heldCells))
	for c := range s.heldCells {
		names = append(names, string(c))
	}
	sort.Strings(names)
	for _, c := range names {
		h := s.activeCell(ident.Cell(c), now)
		if h == nil || ask.Only && have[c] == nil {
			continue
		}
		update.Cells = append(update.Cells, h.table.Update(have[c], now))
	}
	if s.isControl(from) {
		update.Voter = string(s.Voter)
		update.Cells = append(update.Cells, s.oldCopies(have)...)
	}
	return update
}

func (s *State) tick(now ident.Moment) {
	heads := s.controlAddresses()
	s.Proposals.SetLeaderHint(s.leaderAddr())
	for _, tag := range s.Proposals.Tick(heads, now) {
		if t, ok := tag.(uint64); ok {
			delete(s.localChanges, t)
			s.output = append(s.output, ChangeResult{t, &wire.ProposeReply{Code: uint32(ledger.Lost)}})
		}
	}
	s.abandonOverdue(now)
	s.expireForwards(now)
	s.retryParked(now)
	if s.Agreement != nil {
		s.Agreement.Tick(now)
	}
	targets := s.otherControls()
	if len(targets) == 0 {
		for _, a := range s.Seeds {
			if a != s.Addr {
				targets = append(targets, string(a))
			}
		}
	}
	s.Relay.Starting = now.Sub(s.startedAt) < FastStartPeriod
	s.Relay.Tick(s.Members.Ring(), 0, targets, now)
	s.trackMembers(now)
	s.watchCalendar(now)
	s.watchQuorum(now)
	s.tickCells(now)
	if s.isLeader() {
		s.assignHolders(now)
		s.updateLeases(now)
		s.proposeMark(now)
	}
	s.Members.SetReadiness(s.Relay.CoreFresh(now), s.draining, now)
	s.Members.Tick(now)
	s.saveCopies(now)
	if s.draining {
		s.finishDrain(now)
	}
}

// finishDrain ends a draining process once the quorum does not need it, leadership is handed on and its
// cells are handed over, or the time for each of these is over.
func (s *State) finishDrain(now ident.Moment) {
	if s.Agreement != nil && now.Sub(s.drainStart) < s.quorumWait() && s.Agreement.NeededForQuorum(now) {
		return
	}
	if s.Agreement != nil && s.Agreement.Role() == agreement.Leader {
		elapsed := now.Sub(s.drainStart)
		if transferring := s.Agreement.TransferLeadership(now) || !s.Agreement.AcceptsProposals(now); elapsed < 2*time.Second || transferring && elapsed < s.quorumWait() {
			return
		}
	}
	holding := len(s.heldCells) > 0 && now.Sub(s.drainStart) < 5*time.Second && len(s.controlAddresses()) > 1
	if holding || now.Sub(s.drainStart) < time.Second {
		return
	}
	s.Members.Leave(now)
	if !s.deregistered {
		s.deregistered = true
		s.output = append(s.output, LogNote{"Signed off."})
	}
	s.output = append(s.output, Exit{})
}

func (s *State) recordDecision(decision daemon.Decision) {
	decision.Generation = uint64(max(s.Ledger.Generation, s.Relay.DocumentGeneration))
	s.output = append(s.output, decision)
}

// Take returns the outputs collected since the last call.
func (s *State) Take() []any {
	o := s.output
	s.output = nil
	return o
}

type moment = ident.Moment
