package simulate

import (
	"fmt"
	"strings"
	"time"

	"sloeturn/cell"
	"sloeturn/forward"
	"sloeturn/ledger"
)

// Result is the outcome of one simulated run.
type Result struct {
	Seed             int64
	Violations       map[string]string
	Counters         map[string]int
	SlowestRefusal   time.Duration
	LongestGap       time.Duration
	MaxConnections   int
	Log              []string
	Faults           map[string]int
	RecoveryTime     time.Duration
	MinShareRatio    float64
	MaxCellStaleness time.Duration
	SlowestAck       time.Duration
	ServedShare      float64
}

const faultKinds = 36

// smallConfig is the fleet of the ordinary runs: four control processes and six nodes in three cells.
func smallConfig(seed int64) Config {
	return Config{Seed: seed, Controls: 4, Nodes: 6, Cells: 3, Backends: 8, Services: 2, Slots: 4, RequestRate: 60}
}

// Run starts a fleet, injects faults for the given time or plays the configured scene, repairs everything and
// checks that service recovers and that the final state is consistent.
func Run(c Config, length time.Duration) *Result {
	w := New(c)
	r := &Result{Seed: c.Seed, Violations: w.Violations, Counters: w.Counters, Faults: map[string]int{}}
	w.WatchInvariants()
	w.countUsableBackends()
	if c.scene != nil && c.scene.beforeStart != nil {
		c.scene.beforeStart(w)
	}
	gen := uint64(0)
	w.after(500*ms, func() {
		w.SetDesired(0, w.firstDocument(), "first", func(code ledger.Code, g uint64) {
			if code == ledger.Done {
				gen = g
			}
		})
	})
	for i := 0; i < 100 && (w.ReadyCount() < w.Nodes || gen == 0); i++ {
		w.Run(200 * ms)
	}
	if w.ReadyCount() < w.Nodes {
		w.ReportViolation("fleet did not come up", "%d of %d nodes ready after 20 s", w.ReadyCount(), w.Nodes)
	}
	w.GenerateRequests(c.RequestRate)
	w.Run(3 * time.Second)
	w.ignoresSync = c.DisabledGuard == "sync"
	switch {
	case c.scene != nil:
		c.scene.run(w, r, &gen)
	case c.NoFaults:
		w.Run(length)
	default:
		w.injectFaults(r, length, &gen)
	}
	w.restoreAll()
	from := w.Now
	n := len(w.ServedAt)
	for w.Now.Sub(from) < 15*time.Second && (len(w.ServedAt) < n+40 || w.ReadyCount() < w.Nodes) {
		w.Run(200 * ms)
	}
	r.RecoveryTime = max(r.RecoveryTime, w.Now.Sub(from))
	if len(w.ServedAt) < n+40 || w.ReadyCount() < w.Nodes {
		w.ReportViolation("service not back within 15 s", "%d visits served, %d of %d nodes ready", len(w.ServedAt)-n, w.ReadyCount(), w.Nodes)
	}
	w.Run(2 * time.Second)
	w.settleChanges()
	w.checkFinalState()
	w.checkHeldChanges(r)
	for i := 1; i < len(w.ServedAt); i++ {
		r.LongestGap = max(r.LongestGap, w.ServedAt[i].Sub(w.ServedAt[i-1]))
	}
	for _, b := range w.Backends {
		r.MaxConnections = max(r.MaxConnections, b.MaxConns)
	}
	r.SlowestRefusal, r.Log = w.slowestRefusal, w.Log
	return r
}

// countUsableBackends counts in how much of the time fewer than half of the backends may receive requests.
func (w *World) countUsableBackends() {
	usable := 0
	for _, b := range w.Backends {
		if b.up && b.state == cell.Ready && b.mode == "" {
			usable++
		}
	}
	w.Counters["looks at backends"]++
	if 2*usable < len(w.Backends) {
		w.Counters["few backends usable"]++
	}
	w.after(100*ms, w.countUsableBackends)
}

// restoreAll ends every fault: it heals links, starts stopped processes and repairs disks and backends.
func (w *World) restoreAll() {
	w.Tracef("all is mended")
	w.restored = true
	w.Heal()
	for _, p := range w.Processes {
		if !p.up && !p.removed {
			w.Start(p)
		}
		if p.frozen {
			w.Thaw(p)
		}
		if p.disk != nil {
			p.disk.stalled = false
			p.disk.full = false
			if p.control != nil {
				p.step(diskEvent(false))
			}
			p.writeDisk()
		}
	}
	for _, b := range w.Backends {
		b.mode = ""
		if !b.up {
			b.start()
		} else if b.state == cell.Leaving {
			b.restart(time.Second)
		}
	}
}

// checkFinalState checks that there is a leader, that every node has the version in effect and that no two
// seats have the same address.
func (w *World) checkFinalState() {
	l := w.Leader()
	for _, p := range w.Processes[:w.Controls] {
		if p.control != nil {
			w.Tracef("%s: %s", p.Name, p.control.Agreement.DebugString())
		}
	}
	if l == nil {
		w.ReportViolation("no leader at the end", "")
		return
	}
	w.CheckAcknowledged()
	for _, p := range w.Processes {
		if p.node != nil && p.node.state.Relay.DocumentGeneration < l.control.Ledger.EffectiveGeneration {
			w.ReportViolation("node left behind", "%s stands at %d, the fleet at %d", p.Name, p.node.state.Relay.DocumentGeneration, l.control.Ledger.EffectiveGeneration)
		}
	}
	seats := map[string]bool{}
	for _, s := range l.control.Ledger.Seats {
		if seats[s.Addr] {
			w.ReportViolation("two seats for one address", "%s", s.Addr)
		}
		seats[s.Addr] = true
	}
}

// injectFaults injects one random fault after another for the given time.
func (w *World) injectFaults(r *Result, length time.Duration, gen *uint64) {
	end := w.Now.Add(length)
	k := 0
	for w.Now.Before(end) {
		k++
		name := w.injectRandomFault(k, gen)
		r.Faults[name]++
		w.Run(time.Duration(300+w.Rand.Intn(2500)) * ms)
	}
}

// controlsUp counts the control processes that run and are not frozen.
func (w *World) controlsUp() int {
	n := 0
	for i := 0; i < w.Controls; i++ {
		if w.Processes[i].up && !w.Processes[i].frozen {
			n++
		}
	}
	return n
}

func (w *World) injectRandomFault(k int, gen *uint64) string {
	return w.injectFault(w.Rand.Intn(faultKinds), k, gen)
}

// injectFault injects the fault of the given kind, whose number is part of the random sequence of a seed, and
// returns its printed name.
func (w *World) injectFault(kind, k int, gen *uint64) string {
	process := w.Processes[w.Rand.Intn(len(w.Processes))]
	node := w.Node(w.Rand.Intn(w.Nodes))
	controlProcess := w.Control(w.Rand.Intn(w.Controls))
	backend := w.Backends[w.Rand.Intn(len(w.Backends))]
	duration := time.Duration(100+w.Rand.Intn(7000)) * ms
	later := func(d time.Duration, do func()) {
		w.after(d, func() {
			if !w.restored {
				do()
			}
		})
	}
	retire := func(b *Backend, after, pause time.Duration) {
		b.Drain()
		later(after, func() {
			if b.up && b.drainAckedAt != 0 {
				b.restart(pause)
			}
		})
	}
	switch kind {
	case 0:
		w.Kill(node)
		later(duration, func() { w.Start(node) })
		return "kill a node"
	case 1:
		if l := w.Leader(); l != nil {
			w.Kill(l)
			later(duration, func() { w.Start(l) })
		}
		return "kill the leader"
	case 2:
		w.Kill(controlProcess)
		later(duration, func() { w.Start(controlProcess) })
		return "kill a control process"
	case 3:
		w.Freeze(process, duration)
		return "freeze one"
	case 4:
		w.Isolate(process)
		later(duration, w.Heal)
		return "isolate one"
	case 5:
		for i := range w.Processes {
			for j := range w.Processes {
				if (i%w.Cells == 0) != (j%w.Cells == 0) {
					w.CutLink(w.Processes[i].Name, w.Processes[j].Name, true)
				}
			}
		}
		w.Tracef("one cell is cut off")
		later(duration, w.Heal)
		return "cut a cell off"
	case 6:
		other := w.Processes[w.Rand.Intn(len(w.Processes))]
		w.CutLink(process.Name, other.Name, false)
		later(duration, w.Heal)
		return "cut one way"
	case 7:
		w.lossRate, w.duplicateRate, w.extraDelay = 0.1, 0.1, 30*ms
		later(duration, w.Heal)
		return "poor links"
	case 8:
		if backend.up {
			backend.crash()
			later(duration, backend.start)
		}
		return "crash a backend"
	case 9:
		if backend.up && backend.state == 0 {
			retire(backend, 4*time.Second, 500*ms)
		}
		return "drain a backend"
	case 10:
		if backend.up {
			backend.crash()
			backend.service = serviceName(w.Rand.Intn(w.Services))
			later(time.Duration(w.Rand.Intn(3000))*ms, backend.start)
		}
		return "give an address to another service"
	case 11:
		backend.mode = []string{"lose", "garble", "hang"}[w.Rand.Intn(3)]
		later(duration, func() { backend.mode = "" })
		return "backend misbehaves"
	case 12:
		controlProcess.disk.stalled = true
		w.Tracef("%s: disk stalls", controlProcess.Name)
		if controlProcess.up && controlProcess.control != nil {
			w.after(300*ms, func() {
				if controlProcess.up && controlProcess.disk.stalled && controlProcess.control != nil {
					controlProcess.step(diskEvent(true))
				}
			})
		}
		later(duration, func() {
			controlProcess.disk.stalled = false
			if controlProcess.up && controlProcess.control != nil {
				controlProcess.step(diskEvent(false))
				controlProcess.writeDisk()
			}
		})
		return "stall a disk"
	case 13:
		if w.controlsUp() == w.Controls && w.votersCaughtUp() {
			w.Wipe(controlProcess)
			later(duration, func() { w.Start(controlProcess) })
			return "lose a disk"
		}
		return "none"
	case 14:
		w.RaceOperators(*gen, k, w.Document(w.Nodes, 1+w.Rand.Intn(3), 1+w.Rand.Intn(2), MaxBackendConnections))
		later(2*time.Second, func() { w.refreshGeneration(gen) })
		return "operators race"
	case 15:
		w.SubmitInvalid(*gen, k)
		return "broken desired state"
	case 16:
		d := w.Document(w.Nodes, w.Rand.Intn(4), 1+w.Rand.Intn(2), MaxBackendConnections)
		w.refreshGeneration(gen)
		w.SetDesired(*gen, d, fmt.Sprintf("change-%d", k), func(code ledger.Code, g uint64) { w.refreshGeneration(gen) })
		if w.Rand.Intn(3) == 0 {
			if l := w.Leader(); l != nil {
				later(time.Duration(w.Rand.Intn(100))*ms, func() { w.Kill(l) })
				later(duration, func() { w.Start(l) })
			}
		}
		return "change the desired state"
	case 17:
		w.repeatRecent()
		for _, p := range w.Processes[:w.Controls] {
			w.Kill(p)
			later(time.Duration(w.Rand.Intn(2000))*ms, func() { w.Start(p) })
		}
		return "kill all disk holders"
	case 18:
		for _, p := range w.Processes {
			if p.node != nil && w.Rand.Intn(2) == 0 {
				w.Kill(p)
				later(time.Duration(w.Rand.Intn(3000))*ms, func() { w.Start(p) })
			}
		}
		return "kill many nodes"
	case 19:
		if process.up && !process.frozen {
			w.Tracef("%s is asked to stop", process.Name)
			if process.control != nil {
				process.step(stopControl())
			} else {
				process.step(stopNode())
				if w.DisabledGuard == "drain" {
					process.node.exit()
				}
			}
			later(duration+4*time.Second, func() {
				w.Kill(process)
				w.Start(process)
			})
		}
		return "planned stop"
	case 20:
		for i := 0; i < 2; i++ {
			w.Freeze(w.Processes[w.Rand.Intn(len(w.Processes))], duration)
		}
		return "freeze two"
	case 21:
		if l := w.Leader(); l != nil {
			w.Isolate(l)
			later(duration, w.Heal)
		}
		return "isolate the leader"
	case 22:
		w.Kill(process)
		w.after(50*ms, func() { w.Start(process) })
		return "quick restart"
	case 23:
		w.Isolate(node)
		later(duration, w.Heal)
		for _, b := range w.Backends {
			if b.up && b.state == 0 && w.Rand.Intn(2) == 0 {
				retire(b, 4*time.Second, 0)
			}
		}
		return "isolate a node and drain backends"
	case 24:
		w.Isolate(node)
		later(duration, w.Heal)
		w.refreshGeneration(gen)
		w.SetDesired(*gen, w.Document(w.Nodes, w.Rand.Intn(4), 1+w.Rand.Intn(2), MaxBackendConnections), fmt.Sprintf("cut-%d", k), func(code ledger.Code, g uint64) { w.refreshGeneration(gen) })
		return "isolate a node and change the desired state"
	case 25:
		w.refreshGeneration(gen)
		w.SetDesired(*gen, w.Document(w.Nodes, w.Rand.Intn(4), 1+w.Rand.Intn(2), MaxBackendConnections), fmt.Sprintf("dark-%d", k), func(code ledger.Code, g uint64) {
			w.refreshGeneration(gen)
			if code != ledger.Done || w.restored {
				return
			}
			w.repeatRecent()
			for _, p := range w.Processes[:w.Controls] {
				w.Kill(p)
				later(time.Duration(w.Rand.Intn(2000))*ms, func() { w.Start(p) })
			}
		})
		return "change the desired state, then all disk holders lose power"
	case 26:
		for _, b := range w.Backends {
			if w.Rand.Intn(3) > 0 {
				b.mode = "refuse"
				later(duration+3*time.Second, func() { b.mode = "" })
			}
		}
		return "backends refuse connections"
	case 27:
		w.Freeze(node, duration)
		other := backend
		if other.up {
			other.crash()
			other.service = serviceName(w.Rand.Intn(w.Services))
			later(200*ms, other.start)
		}
		restarted := w.Node(w.Rand.Intn(w.Nodes))
		w.Kill(restarted)
		later(100*ms, func() { w.Start(restarted) })
		return "freeze a node while an address changes hands"
	case 29:
		controlProcess.disk.full = true
		w.Tracef("%s: disk is full", controlProcess.Name)
		if controlProcess.up && controlProcess.control != nil {
			controlProcess.step(diskEvent(true))
		}
		full := controlProcess.disk
		later(duration+3*time.Second, func() {
			if controlProcess.disk == full {
				w.Kill(controlProcess)
				full.full = false
				w.Start(controlProcess)
			}
		})
		return "fill a disk"
	case 30:
		if w.controlsUp() == w.Controls && w.votersCaughtUp() {
			w.Kill(controlProcess)
			later(13*time.Second, func() { w.Start(controlProcess) })
			return "take a disk holder away for long"
		}
		return "none"
	case 31:
		for i := 0; i < 5; i++ {
			later(time.Duration(i*800)*ms, func() {
				w.Kill(node)
				w.extraDelay = 0
				w.Start(node)
				delay := time.Duration(150+w.Rand.Intn(150)) * ms
				w.after(delay, func() { w.extraDelay, w.duplicateRate = 2*time.Second, 0.5 })
				w.after(delay+100*ms, func() { w.extraDelay, w.duplicateRate = 0, 0 })
			})
		}
		return "restart a node over and over on slow links"
	case 34:
		w.faultPhase, w.phaseFaultsLeft = forward.Phase(w.Rand.Intn(6)), 4
		return "ask again elsewhere in one phase"
	case 33:
		if backend.up && backend.state == cell.Ready {
			for i := 0; i < 12; i++ {
				backend.send(cell.Ready, time.Duration(200+i*300)*ms, nil)
			}
			backend.crash()
			backend.service = serviceName(w.Rand.Intn(w.Services))
			later(50*ms, backend.start)
		}
		return "an address changes hands while its old beats are under way"
	case 32:
		for _, p := range w.Processes {
			if w.Rand.Intn(2) == 0 {
				w.Tracef("%s: clock leaps", p.Name)
				p.clockOffset += duration
			}
		}
		return "clocks leap"
	case 28:
		for i := 0; i < w.Nodes; i++ {
			if w.Rand.Intn(2) == 0 {
				w.Freeze(w.Node(i), 2500*ms+time.Duration(w.Rand.Intn(4000))*ms)
			}
		}
		for _, b := range w.Backends {
			if b.up && b.state == 0 && w.Rand.Intn(3) > 0 {
				retire(b, 8*time.Second, 0)
			}
		}
		return "freeze nodes and drain backends"
	}
	w.extraDelay = 200 * ms
	later(duration, w.Heal)
	return "slow links"
}

// votersCaughtUp reports whether there are at least three voters, all have caught up with the leader, and all members
// still have the disks that the membership configuration names, so that losing one disk is within what the product
// tolerates.
func (w *World) votersCaughtUp() bool {
	l := w.Leader()
	if l == nil {
		return false
	}
	n := 0
	for _, v := range l.control.Agreement.Roster().Voters {
		if !v.Learner {
			n++
		}
		if p := w.processByAddr[v.Addr]; p == nil || p.disk == nil || p.Name+"/"+p.disk.id != v.Id || l.control.Agreement.MatchIndex(l.control.Agreement.Self.Voter) != 0 {
			return false
		} else if p != l && !v.Learner && l.control.Agreement.MatchIndex(voterID(v.Id)) < uint64(l.control.Agreement.Commit()) {
			return false
		}
	}
	return n >= 3
}

// refreshGeneration stores the leader's newest generation in gen.
func (w *World) refreshGeneration(gen *uint64) {
	if l := w.Leader(); l != nil {
		*gen = uint64(l.control.Ledger.Generation)
	}
}

func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d served, %d run, worst refusal %v, longest gap %v, back after %v, most connections %d", r.Seed, r.Counters["served"], r.Counters["run"], r.SlowestRefusal, r.LongestGap.Round(ms), r.RecoveryTime.Round(ms), r.MaxConnections)
	for k, v := range r.Violations {
		fmt.Fprintf(&b, "\n  BROKEN %s: %s", k, v)
	}
	return b.String()
}

// RunSeed runs the small fleet with random faults. The argument weak names a guard that is disabled, so that a
// test can show that the checks notice its absence.
func RunSeed(seed int64, weak string, length time.Duration, trace bool) *Result {
	c := smallConfig(seed)
	c.DisabledGuard, c.Trace = weak, trace
	return Run(c, length)
}
