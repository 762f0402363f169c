package simulate

import (
	"fmt"
	"time"

	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/relay"
	"sloeturn/wire"
)

const (
	operatorTimeout   = time.Second
	changeInterval    = 400 * ms
	changesPerRound   = 12
	fencedAckBound    = time.Second
	unfencedAckMargin = 500 * ms
)

// timedChange is a change that must be acknowledged within a bound.
type timedChange struct {
	id        string
	message   *wire.SetDesired
	startedAt ident.Moment
	bound     time.Duration
	done      bool
}

// submitTimed has an operator try one control process after another, a second apart, until one acknowledges the
// change, and calls onAck with the time that this took.
func (w *World) submitTimed(n int, bound time.Duration, victims []*Process, onAck func(took time.Duration)) {
	l := w.Leader()
	if l == nil {
		w.ReportViolation("no leader in a calm core", "order %d", n)
		return
	}
	o := &timedChange{id: fmt.Sprint("order-", n), startedAt: w.Now, bound: bound}
	o.message = &wire.SetDesired{Basis: uint64(l.control.Ledger.Generation), ChangeId: o.id, Doc: []byte(w.Document(w.Nodes, n%3, 2, MaxBackendConnections))}
	var try func(k int)
	try = func(k int) {
		if o.done || k > 20 {
			return
		}
		w.submitChange(w.randomControl(), o.message, func(r *wire.ProposeReply) {
			switch code := ledger.Code(r.Code); {
			case o.done || code == ledger.Lost:
			case code != ledger.Done:
				w.ReportViolation("a proper order was refused", "%s: %s", o.id, code)
			default:
				o.done = true
				w.recordAck(o.id, r)
				if r.Generation > w.ackedGeneration {
					w.ackedGeneration, w.ackedChange, w.ackedAt = r.Generation, o.id, w.Now
				}
				took := w.Now.Sub(o.startedAt)
				onAck(took)
				if took > o.bound {
					w.ReportViolation("an order was acknowledged late", "%s after %v, bound %v", o.id, took, o.bound)
				}
			}
		})
		w.after(operatorTimeout, func() { try(k + 1) })
	}
	try(0)
	w.after(bound+time.Second, func() {
		if !o.done {
			w.ReportViolation("an order was acknowledged late", "%s has no yes after %v", o.id, w.Now.Sub(o.startedAt))
		}
	})
}

// allFenced reports whether the leases of all listed nodes are revoked and fenced.
func (w *World) allFenced(list []*Process) bool {
	l := w.Leader()
	for _, p := range list {
		ok := false
		for k, v := range l.control.Ledger.Seats {
			ok = ok || v.Addr == p.Addr && l.control.Ledger.RevokedLeases[k].GetFenced()
		}
		if !ok {
			return false
		}
	}
	return true
}

// submitRound submits twelve changes while the victims are silent. Each must be acknowledged within a second if all
// of the victims are fenced, and within a lease and half a second otherwise.
func (w *World) submitRound(r *Result, n *int, victims []*Process, lease time.Duration) {
	for range changesPerRound {
		*n++
		bound := lease + unfencedAckMargin
		if w.allFenced(victims) {
			bound = fencedAckBound
			w.Counters["orders beside a fence"]++
		}
		w.submitTimed(*n, bound, victims, func(took time.Duration) { r.SlowestAck = max(r.SlowestAck, took) })
		w.Run(changeInterval)
	}
}

// awaitRecovery restores the listed processes and checks that all nodes are ready and no lease stays revoked.
func (w *World) awaitRecovery(victims []*Process) {
	w.Heal()
	for _, p := range victims {
		if !p.up {
			w.Start(p)
		}
	}
	for k := 0; k < 100 && w.ReadyCount() < w.Nodes; k++ {
		w.Run(100 * ms)
	}
	if w.ReadyCount() < w.Nodes {
		w.ReportViolation("a node did not come back", "%d of %d ready 10 s after", w.ReadyCount(), w.Nodes)
	}
	if l := w.Leader(); l != nil && len(l.control.Ledger.RevokedLeases) > 0 {
		w.Run(2 * time.Second)
		if n := len(l.control.Ledger.RevokedLeases); n > 0 {
			w.ReportViolation("a lease stays revoked though its node is back", "%d", n)
		}
	}
}

// chainChanges has one operator submit change after change, each based on the last acknowledged one, going from
// process to process until a change is acknowledged.
func (w *World) chainChanges(r *Result, bound time.Duration) (stop func()) {
	on, n := true, 0
	var next func()
	next = func() {
		if n++; !on {
			return
		}
		id, from, done := fmt.Sprint("step-", n), w.Now, false
		c := &wire.SetDesired{Basis: w.ackedGeneration, ChangeId: id, Doc: []byte(w.Document(w.Nodes, n%3, 2, MaxBackendConnections))}
		var try func(k int)
		try = func(k int) {
			moved := false
			move := func() {
				if !moved && !done && k < 60 {
					moved = true
					w.after(20*ms, func() { try(k + 1) })
				}
			}
			w.submitChange(w.randomControl(), c, func(a *wire.ProposeReply) {
				switch code := ledger.Code(a.Code); {
				case done:
				case code == ledger.Lost:
					move()
				case code != ledger.Done:
					done = true
					w.ReportViolation("a proper order was refused", "%s on %d: %s", id, c.Basis, code)
				default:
					done = true
					w.recordAck(id, a)
					w.ackedGeneration, w.ackedChange, w.ackedAt = max(w.ackedGeneration, a.Generation), id, w.Now
					r.SlowestAck = max(r.SlowestAck, w.Now.Sub(from))
					if w.Now.Sub(from) > bound {
						w.ReportViolation("an order was acknowledged late", "%s after %v, bound %v", id, w.Now.Sub(from), bound)
					}
					w.after(time.Duration(w.Rand.Intn(600))*ms, next)
				}
			})
			w.after(operatorTimeout, move)
		}
		try(0)
	}
	next()
	return func() { on = false }
}

// startReaders reads the newest state at any control process, by way of the leader that it names, and checks that
// it is never older than what was acknowledged before the read began.
func (w *World) startReaders(preferred *Process) (stop func()) {
	on := true
	var ask func(p *Process, asked ident.Moment, acked uint64, hops int, until ident.Moment)
	ask = func(p *Process, asked ident.Moment, acked uint64, hops int, until ident.Moment) {
		if !p.up || p.frozen || p.control == nil || w.Now.After(until) {
			return
		}
		if w.DisabledGuard == "read" {
			asked = 0
		}
		switch f := p.control.Read(0, false, asked, p.clock()); {
		case f.Unconfirmed:
			w.after(5*ms, func() { ask(p, asked, acked, hops, until) })
		case f.LeaderHTTP != "" && hops == 0:
			for _, q := range w.Processes[:w.Controls] {
				if q.control != nil && f.LeaderHTTP == q.httpAddr() && !w.cutLinks[[2]string{p.Name, q.Name}] && !w.cutLinks[[2]string{q.Name, p.Name}] {
					w.after(ms, func() { ask(q, q.clock(), acked, 1, until) })
				}
			}
		case f.OK:
			w.Counters["reads"]++
			if uint64(f.Generation) < acked {
				w.ReportViolation("an old configuration was read", "%s says %d, acknowledged before %d", p.Name, f.Generation, acked)
			}
		}
	}
	var check func()
	check = func() {
		if on {
			p := w.randomControl()
			if w.Rand.Intn(2) == 0 {
				p = preferred
			}
			ask(p, p.clock(), w.ackedGeneration, 0, w.Now.Add(700*ms))
			w.after(time.Duration(10+w.Rand.Intn(30))*ms, check)
		}
	}
	check()
	return func() { on = false }
}

func (p *Process) httpAddr() string { return p.Addr }

// cutDirections cuts a process off from the selected others, one way or both.
func (w *World) cutDirections(p *Process, from func(q *Process) bool, in, out bool) {
	w.Tracef("%s is cut off, in %v, out %v", p.Name, in, out)
	for _, q := range w.Processes {
		if q != p && from(q) {
			w.cutLinks[[2]string{q.Name, p.Name}] = w.cutLinks[[2]string{q.Name, p.Name}] || in
			w.cutLinks[[2]string{p.Name, q.Name}] = w.cutLinks[[2]string{p.Name, q.Name}] || out
		}
	}
}

var leaseScenes = []*Scene{
	{Name: "silent-seats", Description: "nodes are frozen, killed or cut off, both ways or one, while twelve orders come 0.4 s apart, again and again", configure: func(c *Config) {}, run: func(w *World, r *Result, gen *uint64) {
		n := 0
		for range 3 {
			w.Run(time.Duration(1000+w.Rand.Intn(1000)) * ms)
			var list []*Process
			for range 1 + w.Rand.Intn(2) {
				p := w.Node(w.Rand.Intn(w.Nodes))
				if len(list) > 0 && list[0] == p {
					continue
				}
				list = append(list, p)
				switch w.Rand.Intn(4) {
				case 0:
					w.Freeze(p, 13*time.Second)
				case 1:
					w.Kill(p)
				case 2:
					w.Isolate(p)
				case 3:
					in := w.Rand.Intn(2) == 0
					w.Tracef("%s hears nobody: %v, else nobody hears it", p.Name, in)
					for _, q := range w.Processes {
						if a, b := q.Name, p.Name; q != p && in {
							w.CutLink(a, b, false)
						} else if q != p {
							w.CutLink(b, a, false)
						}
					}
				}
			}
			w.submitRound(r, &n, list, relay.DefaultLease)
			w.Run(relay.DefaultLease)
			if w.Rand.Intn(2) == 0 {
				w.submitRound(r, &n, list, relay.DefaultLease)
			}
			w.Run(4 * time.Second)
			w.awaitRecovery(list)
		}
	}},
	{Name: "flapping-seats", Description: "a node is cut off for a moment again and again, with orders at once after each cut", configure: func(c *Config) { c.RequestRate = 200 }, run: func(w *World, r *Result, gen *uint64) {
		n := 0
		p := w.Node(w.Rand.Intn(w.Nodes))
		for range 4 {
			w.Isolate(p)
			w.Run(time.Duration(1300+w.Rand.Intn(1500)) * ms)
			w.Heal()
			w.Run(relay.DefaultLease + time.Duration(300+w.Rand.Intn(1500))*ms)
			w.Isolate(p)
			for range 4 {
				n++
				w.submitTimed(n, relay.DefaultLease+unfencedAckMargin, []*Process{p}, func(took time.Duration) { r.SlowestAck = max(r.SlowestAck, took) })
				w.Run(changeInterval)
			}
			w.Run(time.Duration(w.Rand.Intn(3000)) * ms)
			w.awaitRecovery([]*Process{p})
		}
	}},
}

func init() {
	leaseScenes = append(leaseScenes, &Scene{Name: "cut-control", Description: "a control process, often the leader, is cut off for 20 s in six ways while an operator orders and others read at it and elsewhere", configure: func(c *Config) { c.RequestRate = 15 }, run: func(w *World, r *Result, gen *uint64) {
		w.refreshGeneration(gen)
		w.ackedGeneration = max(w.ackedGeneration, *gen)
		stop := w.chainChanges(r, relay.DefaultLease+5*time.Second)
		for range 3 {
			w.Run(time.Duration(2000+w.Rand.Intn(1500)) * ms)
			p := w.Control(w.Rand.Intn(w.Controls))
			if l := w.Leader(); l != nil && w.Rand.Intn(3) > 0 {
				p = l
			}
			from := func(q *Process) bool { return true }
			if w.Rand.Intn(2) == 0 {
				from = func(q *Process) bool { return q.control != nil }
			}
			way := w.Rand.Intn(3)
			stopReaders := w.startReaders(p)
			w.cutDirections(p, from, way != 1, way != 2)
			w.Run(20 * time.Second)
			stopReaders()
			w.Heal()
		}
		w.Run(3 * time.Second)
		stop()
		w.Run(relay.DefaultLease + 5*time.Second)
	}})
}

func init() { Scenes = append(Scenes, leaseScenes...) }

// tamperLeaseFrame has a node never ask for the restoration of a revoked lease; it reports whether to drop the
// frame. This disables the guard heed, together with tick, where the node takes any core update as its lease.
func (w *World) tamperLeaseFrame(p *Process, f *wire.Frame) bool {
	if w.DisabledGuard != "heed" || p.node == nil {
		return false
	}
	for _, c := range f.GetAsk().GetConfirms() {
		c.Restores = 0
	}
	return f.GetPropose().GetChange().GetNoop() != nil
}
