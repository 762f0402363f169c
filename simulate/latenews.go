package simulate

import (
	"time"

	"sloeturn/cell"
	"sloeturn/ident"
)

// oldestNews is how old the news of a cell may become at a node in touch while no holder changes: what
// is left of the drain time is for the request's own way.
const oldestNews = 1600 * time.Millisecond

// watchNews looks, until a moment, how old the news is on which nodes in touch decide.
func (w *World) watchNews(until ident.Moment) {
	for i := range w.Nodes {
		p := w.Node(i)
		if p.node == nil || !w.touch(p) || p.node.state.Why(p.clock()) != "" {
			continue
		}
		for c, k := range p.node.state.Relay.Cells {
			age := p.clock().Sub(k.AsOf)
			w.Count["oldest news, ms"] = max(w.Count["oldest news, ms"], int(age/ms))
			if age > oldestNews {
				w.Break("old news at a node in touch", "%s decides on %v old news of cell %s", p.Name, age, c)
			}
		}
	}
	if w.Now.Before(until) {
		w.at(20*ms, func() { w.watchNews(until) })
	}
}

// loseNodes kills, freezes or cuts off most nodes at once: those that pass news on are among them.
func (w *World) loseNodes() {
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
			w.at(pause, func() { w.Start(p) })
		case 1:
			w.Freeze(p, pause)
		case 2:
			w.at(time.Duration(w.Rand.Intn(800))*ms, func() { w.Freeze(p, pause) })
		}
	}
}

var lateNewsScene = &Scene{Name: "late-news", Text: "most nodes of large cells are killed or frozen at once, those that pass news on among them, while backends leave", config: func(c *Config) {
	onRoads(c)
	c.Nodes, c.Cells, c.Rate = 14, 1, 100
}, play: func(w *World, r *Result, gen *uint64) {
	w.named()
	for range 6 {
		w.Run(contact + 2*time.Second)
		w.loseNodes()
		b := w.Backends[w.Rand.Intn(len(w.Backends))]
		if b.up && b.state == cell.Ready {
			b.mute = true
			w.at(time.Duration(w.Rand.Intn(400))*ms, b.Drain)
		}
		w.watchNews(w.Now.Add(5 * time.Second))
		w.Run(5 * time.Second)
		b.replace(500 * ms)
	}
}}
