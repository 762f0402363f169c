package simulate

import (
	"time"

	"sloeturn/data"
	"sloeturn/forward"
	"sloeturn/ident"
)

const (
	// letGoMost is how long after a client has left its requests may still reach or occupy a backend.
	letGoMost = 500 * time.Millisecond
	// hangUpEvery: all but each fifth backend drop a request once its caller closes the connection.
	hangUpEvery = 5
)

// client is who waits for a request, shared by the request's attempts. overAt is the moment at which
// it left or was answered; 0 while it waits.
type client struct {
	overAt ident.Moment
}

func (c *client) over(now ident.Moment) {
	if c != nil && c.overAt == 0 {
		c.overAt = now
	}
}

// job is what a backend works on for one attempt.
type job struct {
	by   *Backend
	life int
	over bool
}

// clientLeaves closes a client's connection after a while, unless it was answered before, and looks
// half a second later whether its work was ended.
func (n *nodeSim) clientLeaves(id ident.RequestID, after time.Duration) {
	n.later(after, func() {
		t := n.trips[id]
		if t == nil || t.done == nil {
			return
		}
		n.p.w.Count["clients that left"]++
		t.done = nil
		t.client.over(n.p.w.Now)
		if n.p.w.Weak != "unseen" {
			n.p.step(data.ClientLeft{Request: id})
		}
	})
}

// watch has a request's client judged: it is looked at half a second after it left or was answered.
func (n *nodeSim) watch(t *trip) {
	w := n.p.w
	t.client = &client{}
	var look func()
	look = func() {
		c := t.client
		if c.overAt == 0 && n.p.node == n && w.Now.Sub(t.arrived) < 10*time.Second {
			w.at(50*ms, look)
			return
		}
		w.at(c.overAt.Add(letGoMost).Sub(w.Now), func() { n.judge(t.visit) })
	}
	w.at(50*ms, look)
}

// judge breaks a promise if a backend that drops what its callers leave still works on a repeatable
// request half a second after its client left or was answered.
func (n *nodeSim) judge(id ident.RequestID) {
	w := n.p.w
	if n.p.node != n || !w.touch(n.p) {
		return
	}
	for _, t := range []*trip{n.trips[id], n.trips[id+"-beside"]} {
		if t == nil || !t.again {
			continue
		}
		if j := t.job; j != nil && !j.over && j.by.up && j.by.lives == j.life && j.by.hangsUp {
			w.Break("work went on after its client had left", "%s at %s", t.visit, j.by.name)
		}
	}
}

// late breaks a promise if a request reaches a backend long after its client left.
func (t *trip) late(w *World, p *Proc) {
	if t.client == nil || t.client.overAt == 0 || !w.touch(p) {
		return
	}
	if ago := w.Now.Sub(t.client.overAt); ago > letGoMost {
		w.Break("sent for a client that had left", "%s %v after", t.visit, ago)
	}
}

// cancel closes this node's half of an attempt's connection, or keeps the attempt from being written.
func (n *nodeSim) cancel(e forward.Cancel) {
	w := n.p.w
	t := n.trips[e.Request]
	if t == nil || w.Weak == "cancel" {
		return
	}
	t.canceled = true
	l := t.link
	if l == nil || !t.written {
		return
	}
	w.Count["canceled"]++
	if w.Routed && !t.again {
		w.Break("work broken off that must not be repeated", "%s at %s", t.visit, l.place)
	}
	if w.Weak == "hasty" {
		t.link = nil
		l.busy = ""
		n.p.step(data.Ended{Request: t.visit, Attempt: t.shot, Ending: forward.Canceled})
		n.p.step(data.Freed{Key: l.key})
	}
	way := max(n.wait(), t.reachesAt.Sub(w.Now)+time.Microsecond)
	w.at(way, func() { w.byPlace[l.place].hungUp(t, l) })
}

// hungUp has a backend see that its caller closed its half of a connection.
func (b *Backend) hungUp(t *trip, l *link) {
	w := b.w
	if !b.hangsUp || !b.up || !l.open {
		return
	}
	if j := t.job; j != nil && j.by == b && j.life == b.lives && !j.over {
		j.over = true
		b.working--
	}
	w.at(time.Duration(20+w.Rand.Intn(60))*ms, func() {
		w.close(l)
		l.from.ended(t, l, forward.Canceled, 0, false)
	})
}

// leaves draws whether a client leaves before it is answered.
func (w *World) leaves() bool {
	if w.Leaving > 0 {
		return w.Rand.Float64() < w.Leaving
	}
	return w.Rand.Intn(25) == 0
}

// patience draws how long a client waits that leaves.
func (w *World) patience() time.Duration {
	if w.Leaving > 0 {
		return time.Duration(w.Rand.Intn(400)) * ms
	}
	return time.Duration(w.Rand.Intn(60)) * ms
}

var leaveScenes = []*Scene{
	{Name: "route-leaves", Text: "most backends are slow and half of the clients leave before they are answered, while nodes freeze and end", config: func(c *Config) {
		onRoads(c)
		c.Rate, c.Leaving = 200, 0.5
	}, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		w.Run(contact)
		for i := 0; i < 12; i++ {
			for _, b := range w.Backends {
				if b.mode = ""; w.Rand.Intn(3) > 0 {
					b.mode = "slow"
				}
			}
			p := w.Node(w.Rand.Intn(w.Nodes))
			switch i % 6 {
			case 1:
				w.Freeze(p, time.Duration(200+w.Rand.Intn(1500))*ms)
			case 3:
				w.Kill(p)
				w.at(300*ms, func() { w.Start(p) })
			}
			w.Run(1500 * ms)
		}
		if w.Count["canceled"] == 0 && w.Weak == "" {
			w.Break("nothing was canceled", "%d clients left", w.Count["clients that left"])
		}
	}},
}

func init() { Scenes = append(Scenes, leaveScenes...) }
