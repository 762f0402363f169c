package simulate

import (
	"fmt"
	"sort"
	"time"

	"sloeturn/admission"
	"sloeturn/data"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/wire"
)

// conn is a node's connection to a backend. incarnation is the backend incarnation the node expects there.
type conn struct {
	id          uint64
	from        *nodeSim
	addr        string
	incarnation string
	key         admission.Key
	request     ident.RequestID
	probe       bool
	open        bool
	idle        bool
}

// attemptState is the state of a request at a node; its hedge has a separate one.
type attemptState struct {
	request ident.RequestID
	lane    ident.Lane
	service string
	key     string
	arrived ident.Moment
	conn    *conn
	frozen  bool
	garbled bool
	// client is shared by a request and its hedge; the fields from job to canceled are separate.
	client  *client
	job     *job
	written bool
	// reachesAt is when the written request reaches its backend; the close of the connection cannot overtake it.
	reachesAt ident.Moment
	canceled  bool
	routedAttempt
	done func(a forward.Answer, served bool)
}

// nodeSim runs one node: its state, connections, probes and the attempts in flight.
type nodeSim struct {
	p        *Process
	state    *data.State
	conns    map[uint64]*conn
	attempts map[ident.RequestID]*attemptState
	probes   map[ident.Addr]*conn
	starts   uint64
	requests uint64
}

func newNode(p *Process, b data.Config) *nodeSim {
	n := &nodeSim{p: p, state: data.New(b, p.clock()), conns: map[uint64]*conn{}, attempts: map[ident.RequestID]*attemptState{}, probes: map[ident.Addr]*conn{}, starts: p.starts}
	if p.w.DisabledGuard == "gate" {
		n.state.Gate = func(v *forward.Request, now ident.Moment) (ident.Moment, string) {
			if n.state.Relay.Desired == nil || n.state.Seat() < 0 {
				return 0, "no desired state"
			}
			return now.Add(time.Hour), ""
		}
	}
	return n
}

// later runs do after the delay unless the process has ended, and defers it while the process is frozen.
func (n *nodeSim) later(d time.Duration, do func()) {
	n.p.w.after(d, func() { n.runWhenThawed(do) })
}

func (n *nodeSim) runWhenThawed(do func()) {
	if n.p.node != n {
		return
	}
	if n.p.frozen {
		n.p.deferred = append(n.p.deferred, func() { n.runWhenThawed(do) })
		return
	}
	do()
}

func (n *nodeSim) networkDelay() time.Duration {
	return time.Duration(50+n.p.w.Rand.Intn(1500)) * time.Microsecond
}

func (n *nodeSim) crash() {
	for _, l := range n.sortedConns() {
		n.p.w.closeConn(l)
	}
	for _, v := range ident.SortedKeys(n.attempts) {
		t := n.attempts[v]
		n.p.w.after(0, func() {
			if t.done != nil {
				t.done(forward.Answer{Status: 0}, false)
			}
		})
	}
}

func (n *nodeSim) sortedConns() []*conn {
	var out []*conn
	for _, l := range n.conns {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// open opens a connection to a backend and checks the connection limit of the lane. It returns nil if the backend
// refuses or cannot be reached.
func (n *nodeSim) open(addr string, key admission.Key, incarnation string) *conn {
	w := n.p.w
	b := w.backendByAddr[addr]
	if b != nil && b.mode == "refuse" && key.Lane != admission.ProbeLane {
		return nil
	}
	if b == nil || !b.up || w.cutLinks[[2]string{n.p.Name, b.name}] {
		return nil
	}
	w.seq++
	l := &conn{id: w.seq, from: n, addr: addr, incarnation: incarnation, key: key, open: true}
	n.conns[l.id] = l
	b.accept(l)
	count := 0
	for _, o := range n.conns {
		if o.open && o.key == key {
			count++
		}
	}
	if limit := w.maxLaneConnections(key.Lane); count > limit {
		w.ReportViolation("lane past its fence", "%s holds %d of lane %q at %s, fence %d", n.p.Name, count, key.Lane, addr, limit)
	}
	return l
}

// takeIdle returns an idle connection of the pool to the given incarnation, or nil, and closes those to other
// incarnations that it finds before.
func (n *nodeSim) takeIdle(k admission.Key, incarnation string) *conn {
	var found *conn
	staleConns := -1
	for _, l := range n.sortedConns() {
		if !l.idle || l.key != k {
			continue
		}
		if l.incarnation == incarnation {
			found = l
			staleConns++
			break
		}
		n.closeConn(l)
		staleConns++
	}
	for ; staleConns > 0; staleConns-- {
		n.p.step(data.IdleConnectionEnded{Key: k})
	}
	return found
}

func (n *nodeSim) closeConn(l *conn) {
	delete(n.conns, l.id)
	n.p.w.closeConn(l)
}

// applyEffects carries out the effects of the node's state.
func (n *nodeSim) applyEffects(list []any) {
	p := n.p
	w := p.w
	for _, e := range list {
		switch e := e.(type) {
		case wire.Send:
			if w.DisabledGuard == "claims" {
				if c := e.Frame.GetPropose().GetChange().GetClaim(); c != nil {
					t := e.Frame.GetPropose().Token
					n.later(ms, func() {
						p.step(data.FrameReceived{Frame: &wire.Frame{Body: &wire.Frame_ProposeReply{ProposeReply: &wire.ProposeReply{Token: t, Visit: c.Visit}}}})
					})
					continue
				}
			}
			p.send(e)
		case forward.Dial:
			n.later(n.networkDelay(), func() { n.dial(e) })
		case forward.Hedge:
			if t := n.attempts[e.Request]; t != nil {
				c := *t
				c.request, c.conn, c.job = e.Hedge, nil, nil
				c.written, c.canceled = false, false
				n.attempts[e.Hedge] = &c
			}
		case forward.Write:
			n.later(n.networkDelay()/4, func() { n.write(e) })
		case forward.ReturnConnection:
			n.later(0, func() { n.release(e.Request) })
		case forward.Cancel:
			n.cancel(e)
		case forward.CloseConnection:
			if t := n.attempts[e.Request]; t != nil && t.conn != nil {
				l := t.conn
				n.closeConn(l)
				n.later(0, func() { n.attemptEnded(t, l, forward.TimedOut, 0, false) })
			}
		case forward.Answer:
			n.answer(e)
		case forward.Deliver:
			n.later(0, func() { n.p.step(data.AnswerWritten{Request: e.Request}) })
			if t := n.attempts[e.Request]; t != nil && t.done != nil {
				done := t.done
				t.done = nil
				t.client.finish(w.Now)
				n.checkDelivered(t, e.Attempt)
				if t.garbled && !w.Routed {
					w.ReportViolation("garbled answer passed on", "%s", t.request)
				}
				done(forward.Answer{Status: 200, Ran: forward.RanYes}, true)
			}
		case admission.Close:
			n.later(n.networkDelay(), func() {
				for i := 0; i < e.Count; i++ {
					for _, l := range n.sortedConns() {
						if l.idle && l.key == e.Key {
							n.closeConn(l)
							p.step(data.IdleConnectionEnded{Key: e.Key})
							break
						}
					}
				}
			})
		case data.CloseStaleConns:
			n.later(n.networkDelay(), func() {
				for _, l := range n.sortedConns() {
					if l.idle && e.Incarnations[l.key.Addr] != l.incarnation {
						n.closeConn(l)
						p.step(data.IdleConnectionEnded{Key: l.key})
					}
				}
			})
		case data.StartProbe:
			n.later(n.networkDelay(), func() { n.startProbe(e) })
		case data.ProbeNow:
			n.later(n.networkDelay(), func() {
				l := n.probes[e.Addr]
				if b := w.backendByAddr[string(e.Addr)]; l != nil && l.open && l.incarnation == e.Incarnation && !b.closesConns {
					n.later(n.networkDelay(), func() {
						if l.open {
							p.step(data.ProbeSucceeded(e))
						}
					})
				}
			})
		case data.StopProbe:
			n.later(n.networkDelay(), func() {
				if l := n.probes[e.Addr]; l != nil && l.incarnation == e.Incarnation {
					delete(n.probes, e.Addr)
					n.closeConn(l)
					p.step(data.ProbeLost{Addr: e.Addr, Incarnation: e.Incarnation, Why: "ended"})
				}
			})
		case data.AnnounceAnswered:
			w.announceAnswered(e.Token, e.Code)
		case data.LogNote:
			w.Tracef("%s: %s", p.Name, e.Text)
		case data.ConfigAdopted:
			w.checkAdopted(p, e)
		case forward.Trace:
			w.injectFaultAtPhase(n, e)
			w.Tracef("%s visit %s lane %s: %s to %s at %s %s", p.Name, e.Request, e.Lane, e.From, e.To, e.Addr, e.Note)
		case data.Exit:
			w.Tracef("%s ends", p.Name)
			n.exit()
			w.after(300*ms, func() {
				if w.restored {
					w.Start(p)
				}
			})
		}
	}
}

// exit ends a drained process; requests that are still at a backend violate an invariant.
func (n *nodeSim) exit() {
	w := n.p.w
	for _, v := range ident.SortedKeys(n.attempts) {
		if k := n.state.Find(v); k != nil && k.Phase == forward.Sent && n.attempts[v].conn != nil {
			w.ReportViolation("planned stop cut a visit", "%s left %s behind", n.p.Name, v)
		}
	}
	p := n.p
	w.after(0, func() {
		if p.node == n {
			p.stop()
		}
	})
}

func (n *nodeSim) startProbe(e data.StartProbe) {
	l := n.open(string(e.Addr), admission.Key{Lane: admission.ProbeLane, Addr: e.Addr}, e.Incarnation)
	if l == nil {
		n.p.step(data.ProbeLost{Addr: e.Addr, Incarnation: e.Incarnation, Why: "refused"})
		return
	}
	l.probe = true
	n.probes[e.Addr] = l
	b := n.p.w.backendByAddr[string(e.Addr)]
	n.later(n.networkDelay(), func() {
		if !l.open || n.probes[e.Addr] != l {
			return
		}
		if b.named && (b.service != string(e.Service) || b.incarnation != e.Incarnation) && n.p.w.DisabledGuard != "identity" {
			delete(n.probes, e.Addr)
			n.closeConn(l)
			n.p.step(data.ProbeLost{Addr: e.Addr, Incarnation: e.Incarnation, Why: "another answers"})
			return
		}
		n.p.step(data.ProbeConnected{Addr: e.Addr, Incarnation: e.Incarnation, ServiceNamed: b.named || n.p.w.DisabledGuard == "identity"})
	})
}

func (n *nodeSim) dial(e forward.Dial) {
	var l *conn
	if e.Reuse {
		l = n.takeIdle(e.Key, e.Backend.Incarnation)
		if l != nil && e.Attempt == 1 && !n.p.w.Routed && n.attempts[e.Request] != nil {
			n.p.w.firstAttempts[n.attempts[e.Request].service] = append(n.p.w.firstAttempts[n.attempts[e.Request].service], n.p.w.Now)
		}
	}
	if l == nil {
		if e.Backend.Ejected {
			n.p.step(data.ConnectFailed{Request: e.Request, Attempt: e.Attempt, Key: e.Key})
			return
		}
		if e.Attempt == 1 && !n.p.w.Routed && n.attempts[e.Request] != nil {
			n.p.w.firstAttempts[n.attempts[e.Request].service] = append(n.p.w.firstAttempts[n.attempts[e.Request].service], n.p.w.Now)
		}
		l = n.open(string(e.Key.Addr), e.Key, e.Backend.Incarnation)
		if e.Attempt > 1 && !n.p.w.Routed && n.attempts[e.Request] != nil {
			n.p.w.retries[n.attempts[e.Request].service] = append(n.p.w.retries[n.attempts[e.Request].service], n.p.w.Now)
		}
	}
	t := n.attempts[e.Request]
	if l == nil {
		n.p.step(data.ConnectFailed{Request: e.Request, Attempt: e.Attempt, Key: e.Key, Eject: true})
		return
	}
	l.idle = false
	if t == nil {
		l.idle = true
		n.p.step(data.ConnectionFreed{Key: e.Key, Keep: true})
		return
	}
	t.conn = l
	l.request = e.Request
	n.p.step(data.Connected{Request: e.Request, Attempt: e.Attempt})
}

// release returns an attempt's connection to the pool.
func (n *nodeSim) release(v ident.RequestID) {
	t := n.attempts[v]
	if t == nil || t.conn == nil {
		return
	}
	l := t.conn
	t.conn = nil
	l.request = ""
	if l.open {
		l.idle = true
		n.p.step(data.ConnectionFreed{Key: l.key, Keep: true})
	} else {
		n.p.step(data.ConnectionFreed{Key: l.key, Eject: true})
	}
	n.forgetIfDone(t)
}

func (n *nodeSim) forgetIfDone(t *attemptState) {
	if t.done == nil && t.conn == nil && n.state.Find(t.request) == nil {
		delete(n.attempts, t.request)
	}
}

// write sends an attempt to its backend and checks that the node decides under the newest acknowledged generation,
// unless the run allows staleness, and that blackout periods are kept.
func (n *nodeSim) write(e forward.Write) {
	if v := n.state.Find(e.Request); v != nil && v.Attempt != e.Attempt {
		return
	}
	t := n.attempts[e.Request]
	if t == nil || t.conn == nil {
		n.p.step(data.NotWritten{Request: e.Request, Attempt: e.Attempt, Why: "no connection"})
		return
	}
	l := t.conn
	if !l.open {
		t.conn = nil
		delete(n.conns, l.id)
		n.p.step(data.NotWritten{Request: e.Request, Attempt: e.Attempt, Why: "broke before the first byte"})
		n.p.step(data.ConnectionFreed{Key: l.key, Eject: true})
		return
	}
	w := n.p.w
	if n.p.clock().After(e.NotAfter) && w.DisabledGuard != "gate" {
		n.p.step(data.NotWritten{Request: e.Request, Attempt: e.Attempt, Why: "lease ran out"})
		n.release(e.Request)
		return
	}
	if t.canceled {
		n.p.step(data.NotWritten{Request: e.Request, Attempt: e.Attempt, Why: "canceled"})
		n.release(e.Request)
		return
	}
	t.attempt, t.written = e.Attempt, true
	if g := uint64(n.state.Relay.DocumentGeneration); g < w.ackedGeneration && w.MaxStaleness == 0 {
		w.ReportViolation("older generation served", "%s sends under %d after %d was acknowledged", n.p.Name, g, w.ackedGeneration)
	}
	w.checkBlackout(n.p)
	b := w.backendByAddr[l.addr]
	delay := n.networkDelay()
	t.reachesAt = w.Now.Add(delay)
	w.after(delay, func() { b.serve(t, l) })
}

// attemptEnded reports the end of an attempt to the node and keeps or closes its connection.
func (n *nodeSim) attemptEnded(t *attemptState, l *conn, ending forward.Ending, status int, bar bool) {
	n.runWhenThawed(func() {
		if t.conn != l {
			return
		}
		t.conn = nil
		l.request = ""
		t.written = false
		if t.canceled && ending == forward.Broken {
			ending, bar = forward.Canceled, false
		}
		ending = t.recordEnding(n.p.w, ending, status)
		if ending == forward.Broken && n.p.w.DisabledGuard == "told" {
			n.p.step(data.NotWritten{Request: t.request, Attempt: t.attempt, Why: "a lie"})
		} else {
			n.p.step(data.AttemptEnded{Request: t.request, Attempt: t.attempt, Ending: ending, Status: status})
		}
		b := n.p.w.backendByAddr[l.addr]
		reuse := (ending == forward.Complete || ending == forward.Rejected) && l.open && !b.closesConns && !t.canceled
		if reuse {
			l.idle = true
			b.closeIdleLater(l)
		} else {
			delete(n.conns, l.id)
			n.p.w.closeConn(l)
		}
		n.p.step(data.ConnectionFreed{Key: l.key, Keep: reuse, Eject: bar})
		n.forgetIfDone(t)
	})
}

// connBroke handles a connection that the backend closed.
func (n *nodeSim) connBroke(l *conn) {
	n.runWhenThawed(func() {
		delete(n.conns, l.id)
		switch {
		case l.probe:
			if n.probes[l.key.Addr] == l {
				delete(n.probes, l.key.Addr)
				n.p.step(data.ProbeLost{Addr: l.key.Addr, Incarnation: l.incarnation, Why: "broke"})
			}
		case l.idle:
			l.idle = false
			n.p.step(data.IdleConnectionEnded{Key: l.key, Eject: true})
		case l.request != "":
			if t := n.attempts[l.request]; t != nil && t.conn == l && t.written && n.state.Find(t.request) != nil && n.state.Find(t.request).Phase == forward.Sent {
				n.attemptEnded(t, l, forward.Broken, 0, true)
			}
		}
	})
}

// answer delivers the node's own answer to the client and checks refusals: they must be prompt, name a time to
// retry after, and may only say that the request did not run if that is so.
func (n *nodeSim) answer(a forward.Answer) {
	t := n.attempts[a.Request]
	if t == nil || t.done == nil {
		return
	}
	w := n.p.w
	if a.Status == 503 && a.Ran == forward.RanNo {
		t.refused = true
		took := w.Now.Sub(t.arrived)
		if !t.frozen {
			if t.arrivals > 0 {
				took = 0
			}
			w.slowestRefusal = max(w.slowestRefusal, took)
			if took > 210*ms || t.latencyTarget > 0 && took > t.latencyTarget/4+15*ms {
				w.ReportViolation("refusal late", "%s after %v: %s", a.Request, took, a.Reason)
			}
		}
		if w.executions[string(a.Request)] > 0 {
			w.ReportViolation("told not run, but it ran", "%s: %s", a.Request, a.Reason)
		}
		if a.RetryAfter == 0 {
			w.ReportViolation("refusal without a time to come back", "%s: %s", a.Request, a.Reason)
		}
	}
	done := t.done
	t.done = nil
	t.client.finish(w.Now)
	done(a, false)
	n.later(0, func() { n.forgetIfDone(t) })
}

// receive hands a request to the node; done is called with the answer.
func (n *nodeSim) receive(lane, key string, left time.Duration, done func(a forward.Answer, served bool)) ident.RequestID {
	d := n.state.Relay.Desired
	if n.p.w.Routed {
		return n.receiveRouted(lane, left, done)
	}
	if d == nil || d.Lanes[ident.Lane(lane)] == nil {
		done(forward.Answer{Status: 503, Ran: forward.RanNo, Reason: "no desired state"}, false)
		return ""
	}
	n.requests++
	rule := d.Lanes[ident.Lane(lane)]
	id := ident.RequestID(fmt.Sprintf("%s-%d-%d", n.p.Name, n.starts, n.requests))
	t := &attemptState{request: id, lane: rule.Name, service: string(rule.Service), key: key, arrived: n.p.w.Now, done: done}
	n.attempts[id] = t
	n.watchClient(t)
	at := n.p.clock()
	if n.p.w.DisabledGuard == "patience" {
		at = at.Add(2 * time.Second)
	}
	a := forward.Arrival{ID: id, Lane: rule.Name, Rule: rule, Arrived: at, Deadline: n.p.clock().Add(left)}
	if key != "" {
		a.Key = []byte(key)
		a.BodyDigest = []byte("body")
	}
	n.p.step(data.RequestArrived{Arrival: a})
	return id
}
