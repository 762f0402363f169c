package simulate

import (
	"fmt"
	"time"

	"sloeturn/cell"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/wire"
)

// Backend is a simulated backend. mode names a misbehavior; the flags vary the kind of server by its number.
type Backend struct {
	w              *World
	name           string
	addr           string
	service        string
	cell           string
	incarnation    string
	starts         int
	up             bool
	state          int
	slots          int
	conns          map[uint64]*conn
	drainAckedAt   ident.Moment
	mode           string
	named          bool
	closesConns    bool
	warmup         time.Duration
	warmAt         ident.Moment
	closesIdle     bool
	cancelsWork    bool
	MaxConns       int
	activeRequests int
	silent         bool
	sequence       uint64
}

// MaxBackendConnections is the number of connections that a backend accepts.
const MaxBackendConnections = 60

func (w *World) addBackend(i int) {
	b := &Backend{w: w, name: fmt.Sprintf("backend-%d", i), addr: fmt.Sprintf("10.1.%d.%d:80", i/200, i%200+1), service: serviceName(i % w.Services), cell: w.cellName(i), slots: w.Slots, conns: map[uint64]*conn{}, named: i%4 == 3, closesIdle: i%4 == 1, cancelsWork: i%ignoresCancelEvery != 2, closesConns: i%8 == 6, warmup: time.Duration(i%3) * 3 * time.Second}
	w.Backends = append(w.Backends, b)
	w.backendByAddr[b.addr] = b
	w.after(time.Duration(w.Rand.Intn(1000))*ms, b.start)
}

func serviceName(i int) string { return "service-" + string(rune('a'+i)) }

func (b *Backend) start() {
	if b.up {
		return
	}
	b.up = true
	b.starts++
	b.incarnation = fmt.Sprintf("%s.%d", b.name, b.starts)
	b.state, b.drainAckedAt, b.mode, b.activeRequests, b.silent, b.sequence = cell.Ready, 0, "", 0, false, 0
	b.warmAt = b.w.Now.Add(b.warmup)
	b.w.Tracef("%s starts as %s of %s", b.name, b.incarnation, b.service)
	starts := b.starts
	var beat func()
	beat = func() {
		if !b.up || b.starts != starts {
			return
		}
		if b.silent {
			return
		}
		b.announce(b.state, func(ok bool) {
			if !ok && b.up && b.starts == starts {
				b.send(b.state, ms, nil)
			}
		})
		b.w.after(time.Duration(1500+b.w.Rand.Intn(1000))*ms, beat)
	}
	b.w.after(time.Duration(b.w.Rand.Intn(1500))*ms, beat)
}

// announce sends a heartbeat with the usual network delay, now and then up to 3 s late.
func (b *Backend) announce(state int, onAnswer func(bool)) {
	delay := ms
	if b.w.Rand.Intn(10) == 0 {
		delay = time.Duration(b.w.Rand.Intn(3000)) * ms
	}
	b.send(state, delay, onAnswer)
}

// send sends a heartbeat to a random process.
func (b *Backend) send(state int, delay time.Duration, onAnswer func(bool)) {
	w := b.w
	p := w.Processes[w.Rand.Intn(len(w.Processes))]
	a := &wire.Announce{Cell: b.cell, Addr: b.addr, Service: b.service, Slots: uint32(b.slots), State: uint32(state), ColdNs: int64(max(0, b.warmAt.Sub(w.Now)))}
	if b.named {
		a.Incarnation = b.incarnation
		b.sequence++
		a.Turn = b.sequence
	}
	starts := b.starts
	w.announceTo(p, a, delay, func() bool { return b.up && b.starts == starts }, func(ok bool) {
		if onAnswer != nil {
			onAnswer(ok)
		}
	})
}

func (b *Backend) accept(l *conn) {
	b.conns[l.id] = l
	if n := len(b.conns); n > b.MaxConns {
		b.MaxConns = n
		if n > b.w.maxConnections {
			b.w.ReportViolation("too many connections", "%s has %d, accepts %d", b.name, n, b.w.maxConnections)
		}
	}
}

func (w *World) closeConn(l *conn) {
	if !l.open {
		return
	}
	l.open = false
	delete(w.backendByAddr[l.addr].conns, l.id)
}

// crash ends the backend and breaks its connections.
func (b *Backend) crash() {
	if !b.up {
		return
	}
	b.up = false
	b.w.Tracef("%s crashes", b.name)
	var all []*conn
	for _, l := range b.conns {
		all = append(all, l)
	}
	for i := 1; i < len(all); i++ {
		for j := i; j > 0 && all[j].id < all[j-1].id; j-- {
			all[j], all[j-1] = all[j-1], all[j]
		}
	}
	for _, l := range all {
		b.w.closeConn(l)
		b.w.after(time.Duration(b.w.Rand.Intn(1000))*time.Microsecond, func() { l.from.connBroke(l) })
	}
}

// closeIdleLater closes an idle connection after a while if the backend does so.
func (b *Backend) closeIdleLater(l *conn) {
	if !b.closesIdle {
		return
	}
	b.w.after(time.Duration(200+b.w.Rand.Intn(1000))*ms, func() {
		if l.idle && l.open {
			b.w.closeConn(l)
			b.w.after(ms, func() { l.from.connBroke(l) })
		}
	})
}

// serve runs a request at the backend and checks that the backend may run it: the service fits, its drain was not
// acknowledged more than 2 s ago, and no at-most-once request runs twice.
func (b *Backend) serve(t *attemptState, l *conn) {
	w := b.w
	if !l.open || !b.up || w.backendByAddr[l.addr] != b {
		return
	}
	if w.Routed && !b.admits(t, l) {
		return
	}
	if t.service != b.service {
		w.ReportViolation("ran on a service nobody allowed", "%s for %s ran at %s of %s", t.request, t.service, b.name, b.service)
	}
	if b.drainAckedAt != 0 && w.Now.Sub(b.drainAckedAt) > 2*time.Second && (!w.Routed || w.inTouch(l.from.p)) {
		w.ReportViolation("sent to a leaving backend", "%s ran at %s %v after its drain was heard", t.request, b.name, w.Now.Sub(b.drainAckedAt))
	}
	t.checkLateArrival(w, l.from.p)
	w.executions[string(t.request)]++
	if t.key != "" {
		w.requestsByKey[t.key] = append(w.requestsByKey[t.key], string(t.request))
		if len(w.requestsByKey[t.key]) > 1 {
			w.ReportViolation("ran twice", "key %s by %v", t.key, w.requestsByKey[t.key])
		}
	}
	w.Counters["run"]++
	work := time.Duration(10+w.Rand.Intn(80)) * ms
	if w.Rand.Intn(200) == 0 {
		work += 3 * time.Second
	}
	if b.mode == "hang" || w.hangingLane != "" && string(t.lane) == w.hangingLane {
		work += 30 * time.Second
	}
	if b.mode == "slow" {
		work += time.Duration(300+w.Rand.Intn(2500)) * ms
	}
	starts := b.starts
	b.activeRequests++
	running := &job{backend: b, backendStarts: starts}
	t.job = running
	w.after(work, func() {
		if running.done {
			return
		}
		running.done = true
		if b.starts == starts {
			b.activeRequests--
		}
		if !b.up || b.starts != starts || !l.open {
			return
		}
		ending, status := forward.Complete, 200
		if w.Routed {
			status = w.drawStatus()
		}
		switch {
		case b.mode == "late" && w.Rand.Intn(2) == 0:
			w.after(time.Duration(1000+w.Rand.Intn(2000))*ms, func() { b.respond(t, l, ending, status) })
			return
		case b.mode == "reset" && w.Rand.Intn(2) == 0:
			ending = forward.Broken
		case b.mode == "twice":
			w.after(time.Duration(w.Rand.Intn(40))*ms, func() { b.respond(t, l, ending, status) })
		case b.mode == "lose" && w.Rand.Intn(2) == 0:
			ending = forward.Broken
		case b.mode == "garble" && w.Rand.Intn(2) == 0:
			t.garbled = true
			if ending = forward.Malformed; w.DisabledGuard == "answers" {
				ending = forward.Complete
			}
		}
		b.respond(t, l, ending, status)
	})
}

func (b *Backend) respond(t *attemptState, l *conn, ending forward.Ending, status int) {
	b.w.after(time.Duration(100+b.w.Rand.Intn(1000))*time.Microsecond, func() {
		if ending == forward.Broken {
			b.w.closeConn(l)
		}
		l.from.attemptEnded(t, l, ending, status, ending == forward.Broken)
	})
}

// restart ends the backend as deregistered and starts its next incarnation after the pause.
func (b *Backend) restart(pause time.Duration) {
	b.announce(cell.Gone, nil)
	b.crash()
	if pause > 0 {
		b.w.after(pause, b.start)
		return
	}
	b.start()
}

// Drain announces until acknowledged that the backend is leaving.
func (b *Backend) Drain() {
	b.state = cell.Leaving
	starts := b.starts
	var try func()
	try = func() {
		if !b.up || b.starts != starts {
			return
		}
		b.announce(cell.Leaving, func(ok bool) {
			if b.starts != starts {
				return
			}
			if ok {
				if b.drainAckedAt == 0 {
					b.drainAckedAt = b.w.Now
					b.w.Tracef("%s is known to leave", b.name)
				}
				return
			}
			b.w.after(100*ms, try)
		})
	}
	try()
}
