package simulate

import (
	"time"

	"sloeturn/cell"
	"sloeturn/ident"
)

const (
	// inEffectWithin is how long after an acknowledgment a node in contact may still decide by an older generation.
	inEffectWithin = 2 * time.Second
	checkInterval  = 20 * ms
	// unreadyDivisor bounds the time for which nodes in contact may be unready to 1/unreadyDivisor of it.
	unreadyDivisor = 8
)

// effectWatch checks under which generation nodes in contact with a majority of the core decide, and counts how
// long they were unready. It needs the changeChecker, which knows when the core was last disturbed.
type effectWatch struct {
	acked   []generationMark
	behind  map[string]bool
	checks  int
	unready int
}

// inContact reports whether nothing has disturbed the node or the core within ContactTime and the node reaches
// each control process that itself reaches a majority of them.
func (w *World) inContact(p *Process) bool {
	if !p.up || p.frozen || w.Now.Sub(p.disturbedAt) < w.ContactTime || w.Now.Sub(w.checker.disturbedAt) < w.ContactTime {
		return false
	}
	for _, q := range w.controlProcesses() {
		if w.reachesMajority(q) && (w.cutLinks[[2]string{p.Name, q.Name}] || w.cutLinks[[2]string{q.Name, p.Name}]) {
			return false
		}
	}
	return true
}

func (w *World) reachesMajority(p *Process) bool {
	all, reached := w.controlProcesses(), 0
	for _, q := range all {
		if p.healthy() && q.healthy() && !w.cutLinks[[2]string{p.Name, q.Name}] && !w.cutLinks[[2]string{q.Name, p.Name}] {
			reached++
		}
	}
	return reached > len(all)/2
}

// due returns the newest generation that was acknowledged more than inEffectWithin ago.
func (f *effectWatch) due(now ident.Moment) (generation uint64) {
	for _, m := range f.acked {
		if now.Sub(m.at) > inEffectWithin {
			generation = max(generation, m.generation)
		}
	}
	return generation
}

func (w *World) watchEffect(until ident.Moment) *effectWatch {
	f := &effectWatch{behind: map[string]bool{}}
	var check func()
	check = func() {
		if n := len(f.acked); w.ackedGeneration > 0 && (n == 0 || w.ackedGeneration > f.acked[n-1].generation) {
			f.acked = append(f.acked, generationMark{w.Now, w.ackedGeneration})
		}
		due := f.due(w.Now)
		for i := range w.Nodes {
			w.checkNode(w.Node(i), f, due)
		}
		if w.Now.Before(until) {
			w.after(checkInterval, check)
		}
	}
	check()
	return f
}

// checkNode checks whether a node in contact denies routes under a generation older than the one due.
func (w *World) checkNode(p *Process, f *effectWatch, due uint64) {
	if p.node == nil || !w.inContact(p) {
		return
	}
	f.checks++
	why := p.node.state.UnavailableReason(p.clock())
	if why != "" {
		f.unready++
	}
	at := uint64(p.node.state.Relay.DocumentGeneration)
	behind := at < due && p.node.deniesUnknownRoutes()
	if behind && !f.behind[p.Name] {
		w.ReportViolation("a route denied by an older generation in contact", "%s decides under %d, %d was acknowledged over %v ago; %s", p.Name, at, due, inEffectWithin, why)
	}
	f.behind[p.Name] = behind
}

// deniesUnknownRoutes reports whether a request for a route that the node does not know gets 404 now.
func (n *nodeSim) deniesUnknownRoutes() bool { return n.state.Relay.LeaseValid(n.p.clock()) }

// cutFromCore cuts a control process off from the other control processes alone.
func (w *World) cutFromCore(p *Process) {
	w.Tracef("%s is cut off from the other control machines", p.Name)
	for _, q := range w.controlProcesses() {
		if q != p {
			w.CutLink(p.Name, q.Name, true)
		}
	}
}

// isolateLeaderFromCore cuts the leader off from the other control processes for a while, while a backend of any
// cell drains. Half of the time it returns as soon as the links have healed, so that the next cut may follow at once.
func (w *World) isolateLeaderFromCore() {
	if l := w.Leader(); l != nil {
		w.cutFromCore(l)
	}
	b := w.Backends[w.Rand.Intn(len(w.Backends))]
	if b.up && b.state == cell.Ready {
		w.after(time.Duration(w.Rand.Intn(4000))*ms, b.Drain)
	}
	w.Run(5*time.Second + time.Duration(w.Rand.Intn(4000))*ms)
	w.Heal()
	w.Run(time.Duration(w.Rand.Intn(2)) * 7 * time.Second)
	b.restart(500 * ms)
}

var coreCutScene = &Scene{Name: "core-cut", Description: "the leader is cut off from the other control machines again and again, not from the nodes, while orders come and backends leave", configure: func(c *Config) {
	configureBounds(c)
	c.Controls, c.Nodes, c.Backends, c.RequestRate = 3+int(c.Seed%3), 9, 9, 60
}, run: func(w *World, r *Result, gen *uint64) {
	const rounds = 4
	w.nameBackends()
	w.startChecker()
	stop := w.generateChanges(150*ms, 900*ms)
	f := w.watchEffect(w.Now.Add(rounds * 20 * time.Second))
	w.Run(2 * time.Second)
	from := w.elapsed().Truncate(time.Second)
	for range rounds {
		w.isolateLeaderFromCore()
	}
	stop()
	r.ServedShare = w.servedBetween("", from, w.elapsed().Truncate(time.Second)).ratio()
	w.Counters["looks at nodes in contact"], w.Counters["nodes in contact found unready"] = f.checks, f.unready
	if f.unready > f.checks/unreadyDivisor {
		w.ReportViolation("nodes in contact unready", "%d of %d looks", f.unready, f.checks)
	}
	w.Run(w.ContactTime)
}}

// holderRecoveryTime is how soon a cell has a working holder once its last one is cut off from the core:
// ContactTime plus CatchUpTime.
func (w *World) holderRecoveryTime() time.Duration { return w.ContactTime + w.CatchUpTime }

var holderCutScene = &Scene{Name: "holder-cut", Description: "the holder of a cell is cut off from the other control machines for long, not from the nodes; then it is back", configure: func(c *Config) {
	configureBounds(c)
	c.Controls, c.Nodes, c.Backends = 3+int(c.Seed%3), 9, 9
}, run: func(w *World, r *Result, gen *uint64) {
	w.nameBackends()
	for i := range w.Cells {
		c := ident.Cell(w.cellName(i))
		l := w.Leader()
		if l == nil || l.control.Ledger.CellHolders[c] == nil {
			w.ReportViolation("a cell without a holder in calm times", "%s", c)
			return
		}
		stop := w.watchCellAge(r, c)
		w.cutFromCore(w.processByName(l.control.Ledger.CellHolders[c].Holder))
		w.Run(15 * time.Second)
		w.Heal()
		w.Run(2 * w.holderRecoveryTime())
		stop()
	}
	if r.MaxCellStaleness > w.holderRecoveryTime() {
		w.ReportViolation("a cell stood without a holder for long", "a node's news of it was %v old", r.MaxCellStaleness)
	}
}}
