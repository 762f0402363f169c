package simulate

import (
	"time"

	"sloeturn/cell"
	"sloeturn/ident"
)

const (
	// inForceWithin is how long after its yes a node in contact may still decide by an older generation.
	inForceWithin = 2 * time.Second
	lookEvery     = 20 * ms
	// unreadyMost is the part, one in so many, of the time in contact for which nodes may be unready.
	unreadyMost = 8
)

// forceWatch judges on which generation nodes in contact with the core's majority decide, and counts
// how long they were unready. It needs the rivals, who judge when the core was last stirred.
type forceWatch struct {
	acked   []mark
	behind  map[string]bool
	looks   int
	unready int
}

// inContact says that nothing befell the node or the core within the contact time, and that the node
// reaches each control machine that itself reaches a majority of them.
func (w *World) inContact(p *Proc) bool {
	if !p.up || p.frozen || w.Now.Sub(p.hurt) < w.Contact || w.Now.Sub(w.ops.stirred) < w.Contact {
		return false
	}
	for _, q := range w.disks() {
		if w.reachesMajority(q) && (w.cut[[2]string{p.Name, q.Name}] || w.cut[[2]string{q.Name, p.Name}]) {
			return false
		}
	}
	return true
}

func (w *World) reachesMajority(p *Proc) bool {
	all, reached := w.disks(), 0
	for _, q := range all {
		if p.fit() && q.fit() && !w.cut[[2]string{p.Name, q.Name}] && !w.cut[[2]string{q.Name, p.Name}] {
			reached++
		}
	}
	return reached > len(all)/2
}

// due is the newest generation that was acknowledged at least inForceWithin ago.
func (f *forceWatch) due(now ident.Moment) (generation uint64) {
	for _, m := range f.acked {
		if now.Sub(m.at) > inForceWithin {
			generation = max(generation, m.gen)
		}
	}
	return generation
}

func (w *World) watchForce(until ident.Moment) *forceWatch {
	f := &forceWatch{behind: map[string]bool{}}
	var look func()
	look = func() {
		if n := len(f.acked); w.acked > 0 && (n == 0 || w.acked > f.acked[n-1].gen) {
			f.acked = append(f.acked, mark{w.Now, w.acked})
		}
		due := f.due(w.Now)
		for i := range w.Nodes {
			w.judgeNode(w.Node(i), f, due)
		}
		if w.Now.Before(until) {
			w.at(lookEvery, look)
		}
	}
	look()
	return f
}

func (w *World) judgeNode(p *Proc, f *forceWatch, due uint64) {
	if p.node == nil || !w.inContact(p) {
		return
	}
	f.looks++
	why := p.node.state.Unready(p.clock())
	if why != "" {
		f.unready++
	}
	at := uint64(p.node.state.Relay.DocGen)
	behind := at < due && p.node.denies()
	if behind && !f.behind[p.Name] {
		w.Break("a route denied by an older generation in contact", "%s decides under %d, %d was acknowledged over %v ago; %s", p.Name, at, due, inForceWithin, why)
	}
	f.behind[p.Name] = behind
}

// denies says whether a request for a route that the node doesn't know gets 404 just now.
func (n *nodeSim) denies() bool { return n.state.Relay.InTouch(n.p.clock()) }

// cutFromCore cuts a control machine off from the other control machines alone.
func (w *World) cutFromCore(p *Proc) {
	w.Say("%s is cut off from the other control machines", p.Name)
	for _, q := range w.disks() {
		if q != p {
			w.Cut(p.Name, q.Name, true)
		}
	}
}

// sealOff cuts the leader off from the other control machines for a while, now and then once more as
// soon as it is back, while a backend of any cell leaves.
func (w *World) sealOff() {
	if l := w.Leader(); l != nil {
		w.cutFromCore(l)
	}
	b := w.Backends[w.Rand.Intn(len(w.Backends))]
	if b.up && b.state == cell.Ready {
		w.at(time.Duration(w.Rand.Intn(4000))*ms, b.Drain)
	}
	w.Run(5*time.Second + time.Duration(w.Rand.Intn(4000))*ms)
	w.Heal()
	w.Run(time.Duration(w.Rand.Intn(2)) * 7 * time.Second)
	b.replace(500 * ms)
}

var coreCutScene = &Scene{Name: "core-cut", Text: "the leader is cut off from the other control machines again and again, not from the nodes, while orders come and backends leave", config: func(c *Config) {
	onSite(c)
	c.Controls, c.Nodes, c.Backends, c.Rate = 3+int(c.Seed%3), 9, 9, 60
}, play: func(w *World, r *Result, gen *uint64) {
	const rounds = 4
	w.named()
	w.openRivals()
	stop := w.keepAsking(150*ms, 900*ms)
	f := w.watchForce(w.Now.Add(rounds * 20 * time.Second))
	w.Run(2 * time.Second)
	from := w.since().Truncate(time.Second)
	for range rounds {
		w.sealOff()
	}
	stop()
	r.Share = w.served("", from, w.since().Truncate(time.Second)).of()
	w.Count["looks at nodes in contact"], w.Count["nodes in contact found unready"] = f.looks, f.unready
	if f.unready > f.looks/unreadyMost {
		w.Break("nodes in contact unready", "%d of %d looks", f.unready, f.looks)
	}
	w.Run(w.Contact)
}}

// heldAgain is how soon a cell has a holder that speaks once its last one is cut off from the core: the
// contact time and the time to catch up.
func (w *World) heldAgain() time.Duration { return w.Contact + w.CatchUp }

var holderCutScene = &Scene{Name: "holder-cut", Text: "the holder of a cell is cut off from the other control machines for long, not from the nodes; then it is back", config: func(c *Config) {
	onSite(c)
	c.Controls, c.Nodes, c.Backends = 3+int(c.Seed%3), 9, 9
}, play: func(w *World, r *Result, gen *uint64) {
	w.named()
	for i := range w.Cells {
		c := ident.Cell(w.cellName(i))
		l := w.Leader()
		if l == nil || l.control.Book.Holds[c] == nil {
			w.Break("a cell without a holder in calm times", "%s", c)
			return
		}
		stop := w.unheld(r, c)
		w.cutFromCore(w.byName(l.control.Book.Holds[c].Holder))
		w.Run(15 * time.Second)
		w.Heal()
		w.Run(2 * w.heldAgain())
		stop()
	}
	if r.Blind > w.heldAgain() {
		w.Break("a cell stood without a holder for long", "a node's news of it was %v old", r.Blind)
	}
}}
