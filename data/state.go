// Package data implements the data plane process: a deterministic reducer (State) over membership,
// replicated state, admission and requests, and an executor (Node) that owns the connections of clients
// and backends.
package data

import (
	"slices"
	"time"

	"sloeturn/admission"
	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/member"
	"sloeturn/relay"
	"sloeturn/wire"
)

// Timeouts and intervals.
const (
	SeatChangeTimeout     = 2 * time.Second         // limit on proposing a change of the seat
	SeatRetryInterval     = 300 * time.Millisecond  // pause between two requests for a seat or its lease
	OutcomeTimeout        = 10 * time.Second        // limit on recording the outcome of a request
	AnnounceTimeout       = time.Second             // limit on a holder's reply to an announcement
	DrainGracePeriod      = 2500 * time.Millisecond // least time between the start of a drain and the deregistration
	DeregistrationTimeout = 1500 * time.Millisecond // limit on the confirmation of the deregistration
	MinEjection           = time.Second             // first ejection of a backend that needs no probe
	MaxEjection           = 8 * time.Second         // longest such ejection
	EjectionCountTTL      = 20 * time.Second        // time without an ejection after which the count starts anew
	WarmUpTimeout         = 6 * time.Second         // time after which the node is ready without proven backends
	DemandReportInterval  = 500 * time.Millisecond
	FastStartPeriod       = 5 * time.Second         // time after the start in which the node polls more often
	ExpectedStartTime     = 400 * time.Millisecond  // time in which a node is usually ready
	StartupPeriod         = 1500 * time.Millisecond // time after the start in which every refusal has a Retry-After
	MinRetryAfter         = 100 * time.Millisecond
	RetryAfterJitter      = 250 * time.Millisecond
)

// Config is what a node is started with.
type Config struct {
	Member        ident.Member
	Addr          ident.Addr
	HTTP          string
	Cell          ident.Cell
	Incarnation   ident.Incarnation
	Seeds         []ident.Addr
	Build         string
	Decisions     int
	LeaseDuration time.Duration
	MaxStaleness  time.Duration
}

// State is the reducer of the data plane. It does no input or output of its own: Step takes an event, and
// TakeEffects returns what is to be done.
type State struct {
	Config
	*forward.State
	Pass      *admission.State
	Members   *member.State
	Relay     *relay.State
	Proposals *relay.Proposer

	seat                   *wire.Seat
	seatChangePending      bool // a proposed change of the seat or its lease awaits its reply
	seatRequestedAt        ident.Moment
	ejections              map[ident.Addr]ejection      // backends that must not be used
	ejectionCounts         map[ident.Addr]ejectionCount // for the backoff of ejections
	probes                 map[ident.Addr]*probeState
	incarnations           map[ident.Addr]string // of each listed backend
	forwardedAnnouncements map[uint64]forwardedAnnouncement
	unwrittenAnswers       map[ident.RequestID]bool // delivered answers that are still being written
	tokens                 ident.Tokens
	// StrayAnswers counts replies to no pending announcement, or from a process that was not asked.
	StrayAnswers     uint64
	appliedRevision  uint64 // replicated state that the derived state was computed from; 0 forces a refresh
	appliedFreshness freshness
	adoptedVersion   ident.Generation // version of the configuration that applies to requests
	ready            bool
	smoothedDemand   map[ident.Service]float64 // exponential moving average
	reportedDemand   []*wire.Want
	demandReportedAt ident.Moment
	demandSequence   uint64
	currentLimits    map[ledger.LaneKey]int // slots of each lane at each service
	trial            *desired.State         // configuration of the trial that this node takes part in, or nil
	trialID          string

	adoptedTrial    string
	warmedUp        bool // each listed service had a proven backend, or the wait for it ended
	warmUpStartedAt ident.Moment
	draining        bool
	drainStartedAt  ident.Moment
	deregistered    bool
	deregisteredAt  ident.Moment
	freeingSeat     bool
	mayExit         bool
	startedAt       ident.Moment
	staleCells      map[ident.Cell]time.Duration // greatest age of the newest update, by stale cell
	effects         []any
	now             ident.Moment
}

func New(config Config, now ident.Moment) *State {
	s := &State{Config: config, ejections: map[ident.Addr]ejection{}, ejectionCounts: map[ident.Addr]ejectionCount{}, probes: map[ident.Addr]*probeState{}, incarnations: map[ident.Addr]string{}, forwardedAnnouncements: map[uint64]forwardedAnnouncement{}, unwrittenAnswers: map[ident.RequestID]bool{}, tokens: ident.NewTokens(config.Incarnation), smoothedDemand: map[ident.Service]float64{}, staleCells: map[ident.Cell]time.Duration{}, startedAt: now}
	s.Pass = admission.New()
	s.Pass.Salt = string(config.Member)
	s.State = forward.New(s.Pass, s.checkRequest)
	s.RetryAfter = func(requestID string) time.Duration { return s.retryAfter(requestID, s.now) }
	s.Members = member.New(&wire.Card{Id: string(config.Member), Addr: string(config.Addr), Cell: string(config.Cell), Role: member.RoleData, Incarnation: uint64(config.Incarnation), Http: config.HTTP, Build: config.Build, Heeds: true}, config.Seeds, now)
	s.Relay = relay.New(config.Member, config.Incarnation, false)
	s.Relay.SetLease(config.LeaseDuration, config.MaxStaleness)
	s.Proposals = relay.NewProposer(config.Incarnation)
	return s
}

func (s *State) controlAddrs() []string { return s.Members.ControlAddrs() }

// Open returns the number of requests that have not ended: those in progress, and those whose answer is
// still being written to a client.
func (s *State) Open() int {
	open := s.State.Open()
	for id := range s.unwrittenAnswers {
		if s.Find(id) == nil {
			open++
		}
	}
	return open
}

func (s *State) Draining() bool { return s.draining }

// Seat returns the number of the node's seat, or -1.
func (s *State) Seat() int {
	if s.seat == nil {
		return -1
	}
	return int(s.seat.Seat)
}

// Step applies an event to the state.
func (s *State) Step(now ident.Moment, e any) {
	s.now = now
	s.Relay.ObserveTick(now)
	switch e := e.(type) {
	case FrameReceived:
		s.receive(e.Frame, now)
	case Tick:
		s.tick(now)
	case RequestArrived:
		s.Arrive(e.Arrival, now)
	case Connected:
		if !s.Connected(e.Request, e.Attempt, now) {
			s.effects = append(s.effects, forward.ReturnConnection{Request: e.Request})
		}
	case ConnectFailed:
		s.ConnectFailed(e.Request, e.Attempt, e.Key, e.Eject, now)
	case NotWritten:
		s.NotWritten(e.Request, e.Attempt, e.Why, now)
	case AttemptEnded:
		s.Ended(e.Request, e.Attempt, e.Ending, e.Status, now)
	case AnswerBegun:
		s.AnswerBegun(e.Request, e.Attempt, e.Status, now)
	case BodySent:
		s.BodySent(e.Request, e.Attempt, now)
	case TransferSlow:
		s.TransferSlow(e.Request, e.Slow, now)
	case ConnectionFreed:
		s.ConnectionFreed(e.Key, e.Keep, e.Eject, now)
	case IdleConnectionEnded:
		s.IdleConnectionEnded(e.Key, e.Eject, now)
	case ClientLeft:
		s.ClientLeft(e.Request, now)
	case AnswerWritten:
		delete(s.unwrittenAnswers, e.Request)
	case ProbeConnected:
		if state := s.probes[e.Addr]; state != nil && state.incarnation == e.Incarnation && !state.ended {
			if state.connectedAt, state.proven = now, e.ServiceNamed; state.proven {
				s.recordDecision(daemon.Decision{Decision: "proven", Backend: string(e.Addr), Note: "its answer named the service"})
			}
			s.appliedRevision = 0
			s.refresh(now)
		}
	case ProbeSucceeded:
		if state := s.probes[e.Addr]; state != nil && state.proven && state.incarnation == e.Incarnation && s.ejections[e.Addr].liftedByProbe {
			delete(s.ejections, e.Addr)
			s.appliedRevision = 0
			s.refresh(now)
		}
	case ProbeLost:
		s.probeLost(e, now)
	case AnnounceReceived:
		s.forwardAnnouncement(e.Token, e.Announce, now)
	case Drain:
		s.startDrain(now)
	case Query:
		e.Do(s, now)
	}
	s.collectEffects(now)
}

// receive handles a frame from another member.
func (s *State) receive(frame *wire.Frame, now ident.Moment) {
	s.Relay.ObserveIncarnation(frame.Addr, frame.Incarnation)
	switch b := frame.Body.(type) {
	case *wire.Frame_Heartbeat:
		s.Members.HandleHeartbeat(b.Heartbeat, frame.From, frame.Addr, now)
	case *wire.Frame_Table:
		s.Members.HandleTable(b.Table, frame.Addr, now)
	case *wire.Frame_Ask:
		s.Relay.ReceiveConfirms(b.Ask)
		s.send(frame.Addr, &wire.Frame{Body: &wire.Frame_News{News: s.Relay.AnswerPoll(b.Ask, now)}})
	case *wire.Frame_News:
		s.Relay.HandleUpdate(b.News, frame.Addr, now)
		s.refresh(now)
	case *wire.Frame_ProposeReply:
		if tag, ok := s.Proposals.HandleReply(b.ProposeReply, now); ok {
			s.changeAnswered(tag, b.ProposeReply, now)
		}
	case *wire.Frame_AnnounceReply:
		s.announcementAnswered(frame, b.AnnounceReply)
	}
}

type (
	seatTag      struct{}
	seatFreeTag  struct{}
	claimTag     struct{ requestID ident.RequestID }
	untrackedTag struct{}
)

// changeAnswered handles the reply to a proposed change; the tag tells which change it was.
func (s *State) changeAnswered(tag any, reply *wire.ProposeReply, now ident.Moment) {
	switch t := tag.(type) {
	case seatTag:
		s.seatChangePending = false
		s.Relay.PollNow()
	case claimTag:
		s.Claimed(t.requestID, ledger.Code(reply.Code), reply.Status, now)
	case seatFreeTag:
		s.mayExit = true
	}
}

func (s *State) send(to string, frame *wire.Frame) {
	s.effects = append(s.effects, wire.Send{To: to, Frame: frame})
}

func (s *State) tick(now ident.Moment) {
	controlAddrs := s.controlAddrs()
	s.expireEjections(now)
	s.Proposals.SetLeaderHint(s.Relay.Core.GetLeaderAddr())
	for _, tag := range s.Proposals.Tick(controlAddrs, now) {
		switch t := tag.(type) {
		case seatTag:
			s.seatChangePending = false
		case claimTag:
			s.Claimed(t.requestID, ledger.Lost, 0, now)
		case seatFreeTag:
			s.freeingSeat = false
		}
	}
	s.expireAnnouncements(now)
	targets := controlAddrs
	if len(targets) == 0 || !s.Relay.CoreKnown {
		for _, seed := range s.Seeds {
			if !slices.Contains(targets, string(seed)) {
				targets = append(targets, string(seed))
			}
		}
	}
	s.Relay.Starting = s.FastStart(now)
	s.Relay.Tick(s.Members.Ring(), s.Members.LiveDigest(), targets, now)
	s.refresh(now)
	s.logStaleCells(now)
	s.requestSeat(controlAddrs, now)
	s.requestLeaseRestore(controlAddrs, now)
	s.State.Tick(now)
	s.finishDrain(controlAddrs, now)
	if s.Relay.Desired != nil {
		s.reportDemand(now)
	}
	s.warmUp(now)
	ready := s.NotReadyReason(now) == ""
	if ready != s.ready {
		s.ready = ready
		s.effects = append(s.effects, LogNote{map[bool]string{true: "Ready.", false: "Not ready: " + s.NotReadyReason(now) + "."}[ready]})
	}
	s.Members.SetReadiness(s.ready, s.draining, now)
	s.Members.Tick(now)
}

// freshness is what, beside the revision of the replicated state, the derived state depends on. It changes
// as state goes stale by the passing of time.
type freshness struct {
	core, deregistered bool
	seat               int
	cellsHash          uint64
}

func (s *State) currentFreshness(now ident.Moment) freshness {
	current := freshness{s.Relay.CoreFresh(now), s.deregistered, s.Seat(), 0}
	for cellName := range s.Relay.Cells {
		if s.Relay.CellFresh(cellName, now) {
			current.cellsHash += ident.Hash(string(cellName))
		}
	}
	return current
}

func (s *State) recordDecision(decision daemon.Decision) {
	decision.Generation = uint64(s.Relay.DocumentGeneration)
	s.effects = append(s.effects, decision)
}

// updateTrial finds the trial configuration that this node takes part in, if there is one.
func (s *State) updateTrial() {
	trial := s.Relay.Core.GetTrial()
	if trial == nil || !slices.Contains(trial.Only, string(s.Member)) {
		s.trial, s.trialID = nil, ""
		return
	}
	if s.trialID != trial.ChangeId {
		s.trialID = trial.ChangeId
		s.trial, _ = desired.Read(trial.Doc)
	}
}

// Desired returns the desired state that this node applies: that of a trial it takes part in, or the
// fleet's.
func (s *State) Desired() *desired.State {
	if s.trial != nil {
		return s.trial
	}
	return s.Relay.Desired
}

// Trial returns the change ID of the trial that this node takes part in, or "".
func (s *State) Trial() string {
	if s.trial == nil {
		return ""
	}
	return s.trialID
}

// refresh derives the connection limits, lane rules and backends again if the replicated state or its freshness changed.
func (s *State) refresh(now ident.Moment) {
	if !s.Relay.CoreKnown {
		return
	}
	s.proveBackends(now)
	revision, fresh := s.Relay.Revision(), s.currentFreshness(now)
	if revision == s.appliedRevision && fresh == s.appliedFreshness {
		s.reportConfirmation()
		return
	}
	s.appliedRevision, s.appliedFreshness = revision, fresh
	s.updateSeat()
	s.updateTrial()
	if config := s.Desired(); config != nil {
		limits := s.connectionLimits()
		s.recordLimitChanges(limits)
		s.SetConfig(config, limits, s.Seat(), int(s.Relay.Core.SeatCount), now)
		if s.adoptedVersion != s.Relay.DocumentGeneration || s.adoptedTrial != s.Trial() {
			s.adoptedVersion, s.adoptedTrial = s.Relay.DocumentGeneration, s.Trial()
			s.effects = append(s.effects, ConfigAdopted{s.adoptedVersion, config, s.Trial()})
		}
	}
	s.rebuildBackends(now)
	s.reportConfirmation()
}

// collectEffects moves the effects of the components to the node's own. It turns those that concern the
// replicated state into proposed changes.
func (s *State) collectEffects(now ident.Moment) {
	controlAddrs := s.controlAddrs()
	for _, e := range s.State.Flush() {
		switch e := e.(type) {
		case forward.Claim:
			request := e.Request
			request.ClaimProposal = s.Proposals.Submit(&wire.Change{Body: &wire.Change_Claim{Claim: &wire.Claim{Key: request.Arrival.Key, Visit: string(request.ID), Body: request.BodyDigest}}}, request.GiveUpAt, claimTag{request.ID}, controlAddrs, now)
		case forward.Release:
			s.Proposals.Cancel(e.Request.ClaimProposal)
			s.Proposals.Submit(&wire.Change{Body: &wire.Change_Release{Release: &wire.Release{Key: e.Request.Arrival.Key, Visit: string(e.Request.ID)}}}, now.Add(OutcomeTimeout), untrackedTag{}, controlAddrs, now)
		case forward.Outcome:
			s.Proposals.Submit(&wire.Change{Body: &wire.Change_Outcome{Outcome: &wire.Outcome{Key: e.Request.Arrival.Key, Visit: string(e.Request.ID), Status: uint32(e.Status)}}}, now.Add(OutcomeTimeout), untrackedTag{}, controlAddrs, now)
		case forward.Eject:
			if e.Probe && s.backendEchoesRequestID(e.Addr) {
				if _, ejected := s.ejections[e.Addr]; !ejected {
					s.Pass.Reinstate(e.Addr)
				}
				continue
			}
			s.eject(e.Addr, e.Probe)
			s.appliedRevision = 0
		case forward.Deliver:
			s.unwrittenAnswers[e.Request] = true
			s.effects = append(s.effects, e)
		default:
			s.effects = append(s.effects, e)
		}
	}
	for _, e := range s.Members.Flush() {
		s.effects = append(s.effects, e)
	}
	for _, e := range s.Relay.Flush() {
		s.effects = append(s.effects, e)
	}
	for _, e := range s.Proposals.Flush() {
		s.effects = append(s.effects, e)
	}
}

// TakeEffects returns the effects since the last call.
func (s *State) TakeEffects() []any {
	effects := s.effects
	s.effects = nil
	return effects
}
