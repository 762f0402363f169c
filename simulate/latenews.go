package simulate

import (
	"time"

	"sloeturn/cell"
	"sloeturn/ident"
)

// maxUpdateAge is how old the update of a cell may become at a node in touch while its holder stays the same. The
// rest of the drain time is for the request's own way.
const maxUpdateAge = 1600 * time.Millisecond

// watchUpdateAge checks, until the given moment, the age of the updates under which nodes in touch decide.
func (w *World) watchUpdateAge(until ident.Moment) {
	for i := range w.Nodes {
		p := w.Node(i)
		if p.node == nil || !w.inTouch(p) || p.node.state.NotReadyReason(p.clock()) != "" {
			continue
		}
		for c, k := range p.node.state.Relay.Cells {
			age := p.clock().Sub(k.AsOf)
			w.Counters["oldest news, ms"] = max(w.Counters["oldest news, ms"], int(age/ms))
			if age > maxUpdateAge {
				w.ReportViolation("old news at a node in touch", "%s decides on %v old news of cell %s", p.Name, age, c)
			}
		}
	}
	if w.Now.Before(until) {
		w.after(20*ms, func() { w.watchUpdateAge(until) })
	}
}

// disruptNodes kills or freezes about two thirds of the nodes at once or within 0.8 s, usually with some among them
// that forward updates to others.
func (w *World) disruptNodes() {
	way := w.Rand.Intn(3)
	for i := range w.Nodes {
		p := w.Node(i)
		if w.Rand.Intn(3) == 0 {
			continue
		}
		pause := time.Duration(500+w.Rand.Intn(6000)) * ms
		switch way {
		case 0:
			w.Kill(p)
			w.after(pause, func() { w.Start(p) })
		case 1:
			w.Freeze(p, pause)
		case 2:
			w.after(time.Duration(w.Rand.Intn(800))*ms, func() { w.Freeze(p, pause) })
		}
	}
}

var lateUpdatesScene = &Scene{Name: "late-news", Description: "most nodes of large cells are killed or frozen at once, those that pass news on among them, while backends leave", configure: func(c *Config) {
	configureRoutes(c)
	c.Nodes, c.Cells, c.RequestRate = 14, 1, 100
}, run: func(w *World, r *Result, gen *uint64) {
	w.nameBackends()
	for range 6 {
		w.Run(contactTime + 2*time.Second)
		w.disruptNodes()
		b := w.Backends[w.Rand.Intn(len(w.Backends))]
		if b.up && b.state == cell.Ready {
			b.silent = true
			w.after(time.Duration(w.Rand.Intn(400))*ms, b.Drain)
		}
		w.watchUpdateAge(w.Now.Add(5 * time.Second))
		w.Run(5 * time.Second)
		b.restart(500 * ms)
	}
}}
