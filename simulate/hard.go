package simulate

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/control"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

const (
	resendAfter = time.Second
	readTimeout = time.Second
	hopDelay    = ms
)

// changeRequest is an operator's change, which printed texts call an order.
type changeRequest struct {
	id           string
	baseEdition  uint64
	edition      uint64
	document     string
	firstSent    ident.Moment
	acked        bool
	refused      bool
	late         bool
	attempts     int
	triedMembers []string
}

// changeChecker tracks the changes and reads sent to the control processes and checks the answers.
type changeChecker struct {
	changes       map[string]*changeRequest
	pending       []*changeRequest
	takenAs       map[string]uint64
	winnerOf      map[uint64]string
	editionWinner map[uint64]string
	cutAt         map[string]ident.Moment
	newestKnown   uint64
	knownMarks    []generationMark
	count         int
	replyLossRate float64
	state         string
	disturbedAt   ident.Moment
	ledAt         ident.Moment
	calm          map[string]calmState
	suspended     bool
}

// generationMark is the moment at which a generation became known.
type generationMark struct {
	at         ident.Moment
	generation uint64
}

// calmState is the state of faults of a process and the moment since which it has not changed.
type calmState struct {
	state string
	since ident.Moment
}

func (w *World) voterReplaceAfter() time.Duration {
	if w.DisabledGuard == "replace" {
		return time.Hour
	}
	return w.VoterReplaceAfter
}

func (w *World) foundersOf(p *Process) []ident.Addr {
	if w.CatchUpTime > 0 && p.joinsExisting {
		return nil
	}
	if w.Controls == 2 {
		return w.founders()[:1]
	}
	return w.founders()
}

// transmissionDelay is the time that a frame waits for and takes on a link of limited bandwidth.
func (w *World) transmissionDelay(from, to string, f *wire.Frame) time.Duration {
	if w.bandwidth == 0 || from == to {
		return 0
	}
	k := [2]string{from, to}
	w.linkBusyUntil[k] = max(w.linkBusyUntil[k], w.Now).Add(time.Duration(float64(proto.Size(f)) / w.bandwidth * 1e9))
	return w.linkBusyUntil[k].Sub(w.Now)
}

func (d *disk) usedRatio() float64 {
	if d.nearlyFull {
		return 0.6
	}
	return 0
}

func (d *disk) writeTime(list []*wire.Record) time.Duration {
	if d.bytesPerSecond == 0 {
		return 0
	}
	n := 0
	for _, r := range list {
		n += proto.Size(r)
	}
	return time.Duration(float64(n) / d.bytesPerSecond * 1e9)
}

// tamperCoreFrame is tamperFrame for the guards of the replicated log.
func (w *World) tamperCoreFrame(p *Process, f *wire.Frame) {
	if c := f.GetPropose().GetChange().GetSetDesired(); c != nil && c.ByEdition && w.DisabledGuard == "basis" {
		if l := w.Leader(); l != nil {
			c.Basis = l.control.Ledger.LatestEdition()
		}
	}
	if a := f.GetAppend(); a != nil && w.DisabledGuard == "quorum" {
		w.after(ms, func() {
			p.step(control.FrameReceived{Frame: &wire.Frame{From: w.memberOf(a.Target), Body: &wire.Frame_AppendReply{AppendReply: &wire.AppendReply{Term: a.Term, Ok: true, Match: a.PrevIndex + uint64(len(a.Entries)), Round: a.Round, Voter: a.Target}}}})
		})
	}
	if a := f.GetAsk(); a != nil && a.Voter != "" && w.DisabledGuard == "witness" {
		if l := w.Leader(); l != nil {
			list := agreement.Voters(l.control.Agreement.Roster())
			a.Voter = list[w.Rand.Intn(len(list))].Id
		}
	}
	if s := f.GetSnapshot(); s != nil && w.DisabledGuard == "catch" {
		s.Target = ""
	}
	if v := f.GetVote(); v != nil && w.DisabledGuard == "vote" {
		v.LastTerm, v.LastIndex = 1<<40, 1<<40
	}
}

func (w *World) memberOf(voter string) string {
	name, _, _ := strings.Cut(voter, "/")
	return name
}

func (w *World) controlProcesses() []*Process {
	var out []*Process
	for _, p := range w.Processes {
		if p.disk != nil && !p.removed {
			out = append(out, p)
		}
	}
	return out
}

// configureBounds sets the bounds that a small site promises: times to recover and the losses it tolerates.
func configureBounds(c *Config) {
	configureRoutes(c)
	c.Controls, c.Nodes, c.Backends, c.RequestRate = 3+int(c.Seed%6), 5, 6, 30
	c.LeaseDuration, c.CatchUpTime, c.ContactTime, c.MaxAckTime, c.MaxLosses = 3*time.Second, 4*time.Second, 3*time.Second, 4*time.Second, 1
	if c.Controls >= 5 && c.Seed%2 == 0 {
		c.MaxLosses = 2
	}
	c.VoterReplaceAfter = c.CatchUpTime / 4
}

// configureBoundsFromTwo is configureBounds with two to eight control processes.
func configureBoundsFromTwo(c *Config) {
	configureBounds(c)
	if c.Seed%7 == 6 {
		c.Controls, c.MaxLosses = 2, 1
	}
}

// startChecker starts the checks of changes and of the bounds on leadership.
func (w *World) startChecker() {
	w.checker = &changeChecker{changes: map[string]*changeRequest{}, takenAs: map[string]uint64{}, winnerOf: map[uint64]string{}, editionWinner: map[uint64]string{}, cutAt: map[string]ident.Moment{}, calm: map[string]calmState{}, disturbedAt: w.Now, ledAt: w.Now}
	w.linkBusyUntil = map[[2]string]ident.Moment{}
	var check func()
	check = func() {
		w.checkProgress()
		w.after(20*ms, check)
	}
	check()
}

// disruptionState describes all that may disturb a control process; a change of it restarts the bounds.
func (w *World) disruptionState(p *Process) string {
	s := fmt.Sprint(p.up, p.frozen, p.removed, p.starts, p.clockOffset, p.linkResets, p.disk.id, p.disk.stalled, p.disk.full)
	for _, q := range w.controlProcesses() {
		s += fmt.Sprint(w.cutLinks[[2]string{p.Name, q.Name}], w.cutLinks[[2]string{q.Name, p.Name}])
	}
	return s
}

// hasMajority reports whether more than half of the control processes run and reach one another.
func (w *World) hasMajority() bool {
	all := w.controlProcesses()
	for _, p := range all {
		n := 0
		for _, q := range all {
			if p.healthy() && q.healthy() && !w.cutLinks[[2]string{p.Name, q.Name}] && !w.cutLinks[[2]string{q.Name, p.Name}] {
				n++
			}
		}
		if n > len(all)/2 {
			return true
		}
	}
	return false
}

func (p *Process) healthy() bool { return p.up && !p.frozen && !p.disk.stalled && !p.disk.full }

// checkProgress checks the bounds: a leader within ContactTime after the last disturbance, changes acknowledged
// within MaxAckTime, and members caught up within CatchUpTime.
func (w *World) checkProgress() {
	o := w.checker
	state := ""
	for _, p := range w.controlProcesses() {
		s := w.disruptionState(p)
		state += s
		if c := o.calm[p.Name]; c.state != s {
			o.calm[p.Name] = calmState{s, w.Now}
		}
	}
	if state != o.state || w.extraDelay > 0 || w.lossRate > 0 || !w.hasMajority() {
		o.state, o.disturbedAt = state, w.Now
	}
	l := w.Leader()
	if l != nil {
		o.ledAt = w.Now
	}
	if o.suspended {
		return
	}
	if w.Now.Sub(max(o.disturbedAt, o.ledAt)) > w.ContactTime {
		w.ReportViolation("no leader within the bound", "none for %v, %v after the last trouble", w.Now.Sub(o.ledAt), w.Now.Sub(o.disturbedAt))
	}
	stillPending := o.pending[:0]
	for _, r := range o.pending {
		if r.acked || r.refused {
			continue
		}
		stillPending = append(stillPending, r)
		if d := w.Now.Sub(max(r.firstSent, o.disturbedAt.Add(w.ContactTime))); d > w.MaxAckTime && !r.late {
			r.late = true
			w.ReportViolation("an order was not acknowledged in time", "%s, sent at %.3fs, core calm since %.3fs; %s", r.id, float64(r.firstSent.Sub(w.start))/1e9, float64(o.disturbedAt.Sub(w.start))/1e9, w.describePending(r))
		}
	}
	o.pending = stillPending
	for len(o.knownMarks) > 1 && w.Now.Sub(o.knownMarks[1].at) > w.CatchUpTime {
		o.knownMarks = o.knownMarks[1:]
	}
	if len(o.knownMarks) == 0 || w.Now.Sub(o.disturbedAt) < w.ContactTime {
		return
	}
	for _, p := range w.controlProcesses() {
		c := o.calm[p.Name]
		if p.healthy() && p.control != nil && w.Now.Sub(c.since) > w.CatchUpTime+w.ContactTime && w.Now.Sub(o.knownMarks[0].at) > w.CatchUpTime && uint64(p.control.Ledger.Generation) < o.knownMarks[0].generation && w.connectedToAll(p) {
			w.ReportViolation("a member never caught up", "%s stands at %d, %d was acknowledged %v ago; %s; leader %s", p.Name, p.control.Ledger.Generation, o.knownMarks[0].generation, w.Now.Sub(o.knownMarks[0].at), p.control.Agreement.DebugString(), w.leaderText())
		}
	}
}

// describePending describes the state of a change in the leader's state machine and which seats have not
// confirmed it.
func (w *World) describePending(change *changeRequest) string {
	l := w.Leader()
	if l == nil {
		return "no leader"
	}
	b := l.control.Ledger
	s := fmt.Sprintf("leader %s at %d, in force %d, order taken as %d, sent %d times; unconfirmed:", l.Name, b.Generation, b.EffectiveGeneration, w.checker.takenAs[change.id], change.attempts)
	for _, v := range b.Seats {
		if c := l.control.Relay.ConfirmOf(v.Member); c == nil || c.Incarnation != v.Incarnation || c.Staged < uint64(b.Generation) {
			s += fmt.Sprintf(" %s (%d)", v.Member, c.GetStaged())
		}
	}
	return s
}

func (w *World) leaderText() string {
	if l := w.Leader(); l != nil {
		return l.Name + " " + l.control.Agreement.DebugString()
	}
	return "none"
}

func (w *World) connectedToAll(p *Process) bool {
	for _, q := range w.controlProcesses() {
		if w.cutLinks[[2]string{p.Name, q.Name}] || w.cutLinks[[2]string{q.Name, p.Name}] {
			return false
		}
	}
	return true
}

// auditHistory records which changes the leader's state machine has accepted, and checks that acknowledged ones
// are still in it.
func (w *World) auditHistory(l *Process) {
	o := w.checker
	if o == nil || l == nil {
		return
	}
	for _, h := range l.control.Ledger.History {
		for _, id := range append([]string{h.ChangeId}, h.Changes...) {
			if o.changes[id] != nil && o.takenAs[id] == 0 {
				o.takenAs[id] = h.Generation
			}
		}
		if id := o.winnerOf[h.Generation]; id != "" && h.ChangeId != id && !strings.Contains(strings.Join(h.Changes, " "), id) {
			w.ReportViolation("an acknowledged order is lost", "%s was acknowledged as generation %d, which is %s", id, h.Generation, h.ChangeId)
		}
	}
}

var coreScenes = []*Scene{
	{Name: "cut-leader", Description: "the leader, a holder or another is cut off for 20 s, one way, the other or both, healed, at once cut again; orders and reads at all machines", configure: configureBoundsFromTwo, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		w.startChecker()
		stop := w.generateChanges(150*ms, 900*ms)
		w.Run(2 * time.Second)
		for i := 0; i < 3; i++ {
			p := w.pickTarget()
			w.cutPartly(p, w.Rand.Intn(3), w.Rand.Intn(2) == 0)
			for k := 0; k < 75; k++ {
				w.after(time.Duration(k*20)*ms, func() { w.readNewest(p) })
			}
			if w.MaxLosses > 1 && w.Rand.Intn(2) == 0 {
				w.after(time.Duration(w.Rand.Intn(4000))*ms, func() {
					if q := w.pickTarget(); q != p {
						w.cutPartly(q, w.Rand.Intn(3), w.Rand.Intn(2) == 0)
					}
				})
			}
			for k := 0; k < 2; k++ {
				w.after(time.Duration(w.Rand.Intn(8000))*ms, func() { w.injectMinorFault(p) })
			}
			w.Run(lastingFaultTime)
			w.healLinks()
			w.Run(time.Duration(w.Rand.Intn(2)*w.Rand.Intn(5000)) * ms)
		}
		stop()
		w.Run(w.ContactTime)
	}},
	{Name: "race-lost-acks", Description: "operators race on one basis under one number at different machines, acks are lost, orders are sent again, while leaders are killed, frozen or hand over", configure: configureBoundsFromTwo, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		w.startChecker()
		w.checker.replyLossRate = 0.5
		knownEdition := uint64(firstEdition)
		for i := 0; i < 8; i++ {
			list := w.controlProcesses()
			var racers []*changeRequest
			for j := 0; j < 2+w.Rand.Intn(2); j++ {
				o := w.newChange(knownEdition, knownEdition+1, fmt.Sprint("racer-", j))
				racers = append(racers, o)
				w.after(time.Duration(w.Rand.Intn(2)*w.Rand.Intn(300))*ms, func() { w.submitToEach(o, list[(i+j)%len(list)], func(ledger.Code, uint64) {}) })
			}
			w.after(time.Duration(w.Rand.Intn(500))*ms, func() { w.disruptLeader() })
			w.Run(9 * time.Second)
			taken := 0
			for _, o := range racers {
				if w.checker.takenAs[o.id] != 0 {
					taken++
					knownEdition = o.edition
				}
			}
			if taken != 1 {
				w.ReportViolation("not one winner", "%d of %d racers on edition %d were taken", taken, len(racers), racers[0].baseEdition)
			}
			w.checker.replyLossRate = 0
			for _, o := range racers {
				answered := false
				w.submitToEach(o, list[w.Rand.Intn(len(list))], func(code ledger.Code, edition uint64) {
					answered = true
					if taken := w.checker.takenAs[o.id] != 0; taken != (code == ledger.Done) {
						w.ReportViolation("sent again and answered otherwise", "%s: %s", o.id, code)
					}
				})
				w.Run(4 * time.Second)
				if !answered {
					w.ReportViolation("sent again without an answer", "%s", o.id)
				}
			}
			w.checker.replyLossRate = 0.5
		}
	}},
	{Name: "second-loss", Description: "control machines are killed, wiped, drained or replaced by empty ones, the next as soon as the settings allow, again and again", configure: func(c *Config) { configureBounds(c); c.Spares = 16 }, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		w.startChecker()
		stop := w.generateChanges(300*ms, 1500*ms)
		w.lossesInTurn(12)
		stop()
		w.Run(w.ContactTime)
	}},
	{Name: "founding", Description: "a founder is killed or loses its disk while the fleet is founded; losses follow as soon as the settings allow", beforeStart: func(w *World) {
		w.startChecker()
		w.checker.suspended = true
		p := w.Control(w.Rand.Intn(min(3, w.Controls)))
		wiped := w.Rand.Intn(2) == 0
		w.after(time.Duration(w.Rand.Intn(900))*ms, func() {
			if wiped {
				w.Wipe(p)
			} else {
				w.Kill(p)
			}
			w.after(time.Duration(w.Rand.Intn(1000))*ms, func() {
				p.joinsExisting = wiped
				w.Start(p)
			})
		})
	}, configure: func(c *Config) { configureBounds(c); c.Spares = 8 }, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		w.checker.suspended = false
		stop := w.generateChanges(300*ms, 1500*ms)
		w.lossesInTurn(4)
		stop()
		w.Run(w.ContactTime)
	}},
	{Name: "long-away", Description: "one control machine is away while all others are replaced one after another, then it comes back", configure: func(c *Config) {
		configureBounds(c)
		c.Controls, c.MaxLosses, c.Spares = 5+int(c.Seed%4), 2, 9
	}, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		w.startChecker()
		stop := w.generateChanges(300*ms, 1500*ms)
		w.Run(w.CatchUpTime)
		away := w.Control(w.Rand.Intn(w.Controls))
		w.Kill(away)
		for i := 0; i < w.Controls; i++ {
			if p := w.Control(i); p != away {
				w.Run(time.Duration(w.Rand.Intn(1000)) * ms)
				q := w.takeSpare()
				w.Kill(p)
				p.removed, q.removed, q.joinsExisting = true, false, true
				w.Start(q)
				w.Run(w.CatchUpTime)
			}
		}
		w.Start(away)
		w.Run(2*w.CatchUpTime + w.ContactTime)
		stop()
		w.Run(w.ContactTime)
	}},
	{Name: "hundreds", Description: "300 changes at 0.05 to 0.4 s, one seat silent, members away, restarted or wiped, compaction forced often, slow links and disks", configure: func(c *Config) { configureBounds(c); c.Spares = 6 }, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		w.startChecker()
		w.bandwidth = 250e3 * float64(1+w.Rand.Intn(8))
		for _, p := range w.Processes {
			if p.disk != nil {
				p.disk.bytesPerSecond, p.disk.nearlyFull = 2e6, w.Rand.Intn(2) == 0
			}
		}
		w.Freeze(w.Node(w.Rand.Intn(w.Nodes)), time.Hour)
		stop := w.generateChanges(50*ms, 400*ms)
		until := w.Now.Add(3 * time.Minute)
		for w.checker.count < 300 && w.Now.Before(until) {
			p := w.pickTarget()
			returnAfter := time.Duration(2000+w.Rand.Intn(6000)) * ms
			switch w.Rand.Intn(4) {
			case 0:
				w.Kill(p)
				w.after(returnAfter, func() { w.Start(p) })
			case 1:
				w.Wipe(p)
				p.disk.bytesPerSecond, p.disk.nearlyFull = 2e6, true
				w.after(returnAfter, func() { p.joinsExisting = true; w.Start(p) })
			case 2:
				w.Freeze(p, returnAfter)
			case 3:
				w.cutPartly(p, w.Rand.Intn(3), w.Rand.Intn(2) == 0)
				w.after(returnAfter, w.healLinks)
			}
			w.Run(returnAfter + w.CatchUpTime)
		}
		if w.checker.count < 300 {
			w.ReportViolation("orders came to a stand", "%d of 300 sent in 3 min", w.checker.count)
		}
		stop()
		w.Run(w.ContactTime + w.CatchUpTime)
	}},
	{Name: "wrong-caller", Description: "answers are reset, late, doubled or never come, idle connections end as they are taken up, nodes freeze, calls that may not be repeated among them", configure: func(c *Config) { configureRoutes(c); c.Backends, c.RequestRate = 8, 120 }, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		w.routing.errorAnswers = true
		for i := 0; i < 14; i++ {
			for _, b := range w.Backends {
				b.closesIdle = true
				if b.mode = ""; w.Rand.Intn(3) == 0 {
					b.mode = []string{"lose", "garble", "hang", "late", "twice", "reset", "full"}[w.Rand.Intn(7)]
				}
			}
			if w.Rand.Intn(3) == 0 {
				w.Freeze(w.Node(w.Rand.Intn(w.Nodes)), time.Duration(w.Rand.Intn(2500))*ms)
			}
			if w.Rand.Intn(4) == 0 {
				b := w.Backends[w.Rand.Intn(len(w.Backends))]
				b.crash()
				b.service = serviceName(w.Rand.Intn(w.Services))
				w.after(time.Duration(w.Rand.Intn(200))*ms, b.start)
			}
			w.Run(time.Duration(500+w.Rand.Intn(1500)) * ms)
		}
	}},
}

func init() { Scenes = append(Scenes, coreScenes...) }
