package simulate

import (
	"time"

	"sloeturn/data"
	"sloeturn/forward"
	"sloeturn/ident"
)

const (
	// maxCancelTime is how long after a client has left its requests may still reach or occupy a backend.
	maxCancelTime = 500 * time.Millisecond
	// ignoresCancelEvery: each fifth backend keeps working on a request after its caller closed the connection.
	ignoresCancelEvery = 5
)

// client is the client that waits for a request, shared by the attempts of the request. doneAt is the moment at
// which it left or was answered; 0 while it waits.
type client struct {
	doneAt ident.Moment
}

func (c *client) finish(now ident.Moment) {
	if c != nil && c.doneAt == 0 {
		c.doneAt = now
	}
}

// job is the work of a backend for one attempt.
type job struct {
	backend       *Backend
	backendStarts int
	done          bool
}

// clientLeaves closes a client's connection after a while, unless the client was answered before.
func (n *nodeSim) clientLeaves(id ident.RequestID, after time.Duration) {
	n.later(after, func() {
		t := n.attempts[id]
		if t == nil || t.done == nil {
			return
		}
		n.p.w.Counters["clients that left"]++
		t.done = nil
		t.client.finish(n.p.w.Now)
		if n.p.w.DisabledGuard != "unseen" {
			n.p.step(data.ClientLeft{Request: id})
		}
	})
}

// watchClient has the work for a request checked half a second after its client left or was answered. It waits for
// that for 10 s at most.
func (n *nodeSim) watchClient(t *attemptState) {
	w := n.p.w
	t.client = &client{}
	var check func()
	check = func() {
		c := t.client
		if c.doneAt == 0 && n.p.node == n && w.Now.Sub(t.arrived) < 10*time.Second {
			w.after(50*ms, check)
			return
		}
		w.after(c.doneAt.Add(maxCancelTime).Sub(w.Now), func() { n.checkWorkEnded(t.request) })
	}
	w.after(50*ms, check)
}

// checkWorkEnded reports a violation if a backend that cancels the work of lost callers still works on a repeatable
// request half a second after its client left or was answered.
func (n *nodeSim) checkWorkEnded(id ident.RequestID) {
	w := n.p.w
	if n.p.node != n || !w.inTouch(n.p) {
		return
	}
	for _, t := range []*attemptState{n.attempts[id], n.attempts[id+"-beside"]} {
		if t == nil || !t.repeatable {
			continue
		}
		if j := t.job; j != nil && !j.done && j.backend.up && j.backend.starts == j.backendStarts && j.backend.cancelsWork {
			w.ReportViolation("work went on after its client had left", "%s at %s", t.request, j.backend.name)
		}
	}
}

// checkLateArrival reports a violation if a request reaches a backend long after its client left.
func (t *attemptState) checkLateArrival(w *World, p *Process) {
	if t.client == nil || t.client.doneAt == 0 || !w.inTouch(p) {
		return
	}
	if ago := w.Now.Sub(t.client.doneAt); ago > maxCancelTime {
		w.ReportViolation("sent for a client that had left", "%s %v after", t.request, ago)
	}
}

// cancel closes this node's half of an attempt's connection, or keeps the attempt from being written.
func (n *nodeSim) cancel(e forward.Cancel) {
	w := n.p.w
	t := n.attempts[e.Request]
	if t == nil || w.DisabledGuard == "cancel" {
		return
	}
	t.canceled = true
	l := t.conn
	if l == nil || !t.written {
		return
	}
	w.Counters["canceled"]++
	if w.Routed && !t.repeatable {
		w.ReportViolation("work broken off that must not be repeated", "%s at %s", t.request, l.addr)
	}
	if w.DisabledGuard == "hasty" {
		t.conn = nil
		l.request = ""
		n.p.step(data.AttemptEnded{Request: t.request, Attempt: t.attempt, Ending: forward.Canceled})
		n.p.step(data.ConnectionFreed{Key: l.key})
	}
	delay := max(n.networkDelay(), t.reachesAt.Sub(w.Now)+time.Microsecond)
	w.after(delay, func() { w.backendByAddr[l.addr].callerClosed(t, l) })
}

// callerClosed has a backend notice that its caller closed its half of a connection.
func (b *Backend) callerClosed(t *attemptState, l *conn) {
	w := b.w
	if !b.cancelsWork || !b.up || !l.open {
		return
	}
	if j := t.job; j != nil && j.backend == b && j.backendStarts == b.starts && !j.done {
		j.done = true
		b.activeRequests--
	}
	w.after(time.Duration(20+w.Rand.Intn(60))*ms, func() {
		w.closeConn(l)
		l.from.attemptEnded(t, l, forward.Canceled, 0, false)
	})
}

// drawLeaving draws whether a client leaves before it is answered.
func (w *World) drawLeaving() bool {
	if w.LeavingShare > 0 {
		return w.Rand.Float64() < w.LeavingShare
	}
	return w.Rand.Intn(25) == 0
}

// drawLeaveDelay draws how long a client that leaves waits before it does so.
func (w *World) drawLeaveDelay() time.Duration {
	if w.LeavingShare > 0 {
		return time.Duration(w.Rand.Intn(400)) * ms
	}
	return time.Duration(w.Rand.Intn(60)) * ms
}

var leaveScenes = []*Scene{
	{Name: "route-leaves", Description: "most backends are slow and half of the clients leave before they are answered, while nodes freeze and end", configure: func(c *Config) {
		configureRoutes(c)
		c.RequestRate, c.LeavingShare = 200, 0.5
	}, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		w.Run(contactTime)
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
				w.after(300*ms, func() { w.Start(p) })
			}
			w.Run(1500 * ms)
		}
		if w.Counters["canceled"] == 0 && w.DisabledGuard == "" {
			w.ReportViolation("nothing was canceled", "%d clients left", w.Counters["clients that left"])
		}
	}},
}

func init() { Scenes = append(Scenes, leaveScenes...) }
