package simulate

import (
	"fmt"
	"math"
	"time"

	"sloeturn/admission"
	"sloeturn/cell"
	"sloeturn/control"
	"sloeturn/daemon"
	"sloeturn/data"
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

// waiter waits for the reply to an announcement or a change.
type waiter struct {
	token       uint64
	onAnnounced func(code uint32)
	onReply     func(r *wire.ProposeReply)
}

// Document is a configuration with two lanes for each service: one at-most-once lane and one for reads.
func (w *World) Document(nodes, surge int, slots, maxConnections int) string {
	lanes, services := "", ""
	for i := 0; i < w.Services; i++ {
		if i > 0 {
			lanes += ","
			services += ","
		}
		s := serviceName(i)
		services += fmt.Sprintf(`"%s":{"maxConnections":%d,"reserve":2,"furtherShots":4}`, s, maxConnections)
		lanes += fmt.Sprintf(`"%s-once":{"tenant":"mor","service":"%s","slots":%d,"once":true},"%s-look":{"tenant":"goat","service":"%s","slots":%d}`, s, s, slots, s, s, slots)
	}
	return fmt.Sprintf(`{"fleet":{"nodes":%d,"surge":%d,"retiring":1},"services":{%s},"tenants":{"mor":{},"goat":{}},"lanes":{%s}}`, nodes, surge, services, lanes)
}

// maxLaneConnections is the largest number of connections of a lane that a node may hold to a backend.
func (w *World) maxLaneConnections(l ident.Lane) int {
	if l == admission.ProbeLane {
		return 1
	}
	if w.Routed {
		return 4
	}
	return max(2, w.laneLimit)
}

// announceTo sends a backend's announcement to a process; onAnswer is called once with whether it was
// acknowledged, at the latest delay + 3 s later. The announcement counts as vouched for if connectionOpen holds when
// it arrives.
func (w *World) announceTo(p *Process, a *wire.Announce, delay time.Duration, connectionOpen func() bool, onAnswer func(bool)) {
	w.seq++
	t := w.seq<<8 | 1
	w.waiters[t] = waiter{token: t, onAnnounced: func(code uint32) { onAnswer(code == 200) }}
	var deliver func()
	deliver = func() {
		switch {
		case !p.up:
			w.announceAnswered(t, 503)
			return
		case p.frozen:
			p.deferred = append(p.deferred, deliver)
			return
		case p.control != nil:
			p.control.Relay.CompleteAnnouncement(a, ident.Cell(p.Cell), p.clock())
		default:
			p.node.state.Relay.CompleteAnnouncement(a, ident.Cell(p.Cell), p.clock())
		}
		if w.DisabledGuard == "scatter" && a.Cell == "" {
			a.Cell = p.Cell
		}
		daemon.SetConnectionOpen(a, connectionOpen() || w.DisabledGuard == "stands")
		if p.control != nil {
			p.step(control.Announce{Token: t, Announce: a})
		} else {
			p.step(data.AnnounceReceived{Token: t, Announce: a})
		}
	}
	if w.DisabledGuard == "write" && a.State == cell.Leaving {
		w.after(delay+10*ms, func() { w.announceAnswered(t, 200) })
	}
	w.after(delay, deliver)
	w.after(delay+3*time.Second, func() { w.announceAnswered(t, 503) })
}

func (w *World) announceAnswered(t uint64, code uint32) {
	if k, ok := w.waiters[t]; ok && k.onAnnounced != nil {
		delete(w.waiters, t)
		k.onAnnounced(code)
	}
}

func (w *World) changeAnswered(t uint64, r *wire.ProposeReply) {
	if k, ok := w.waiters[t]; ok && k.onReply != nil {
		delete(w.waiters, t)
		k.onReply(r)
	}
}

// submitChange sends a change to one control process; without a reply within 9 s the reply is Lost.
func (w *World) submitChange(p *Process, c *wire.SetDesired, reply func(r *wire.ProposeReply)) {
	w.seq++
	t := w.seq<<8 | 2
	w.waiters[t] = waiter{token: t, onReply: reply}
	reportLost := func() { w.changeAnswered(t, &wire.ProposeReply{Code: uint32(ledger.Lost)}) }
	w.after(ms, func() {
		if !p.up || p.frozen || p.control == nil {
			reportLost()
			return
		}
		p.step(control.Change{Token: t, Change: &wire.Change{Body: &wire.Change_SetDesired{SetDesired: c}}, Wait: 8 * time.Second})
	})
	w.after(9*time.Second, reportLost)
}

func (w *World) randomControl() *Process {
	var list []*Process
	for _, p := range w.Processes {
		if p.disk != nil && !p.removed {
			list = append(list, p)
		}
	}
	return list[w.Rand.Intn(len(list))]
}

// SetDesired submits a whole configuration under a change ID and retries until there is a clear answer.
func (w *World) SetDesired(basis uint64, doc, id string, done func(code ledger.Code, gen uint64)) {
	w.submitUntilAnswered(&wire.SetDesired{Basis: basis, ChangeId: id, Doc: []byte(doc), Author: id}, id, done)
}

// submitUntilAnswered retries a change at random control processes until there is a clear answer or 30 retries
// were lost.
func (w *World) submitUntilAnswered(c *wire.SetDesired, id string, done func(code ledger.Code, gen uint64)) {
	var try func(n int)
	try = func(n int) {
		w.submitChange(w.randomControl(), c, func(r *wire.ProposeReply) {
			code := ledger.Code(r.Code)
			if code == ledger.Lost && n < 30 {
				w.after(200*ms, func() { try(n + 1) })
				return
			}
			if code == ledger.Done {
				w.recordAck(id, r)
				if r.Generation > w.ackedGeneration && len(c.Only) == 0 && !c.Withdraw && c.TakeOut == 0 {
					w.ackedGeneration, w.ackedChange, w.ackedAt = r.Generation, id, w.Now
				}
			}
			done(code, r.Generation)
		})
	}
	try(0)
}

// recordAck records an acknowledged change and checks that it keeps its generation.
func (w *World) recordAck(id string, r *wire.ProposeReply) {
	w.Tracef("change %s acknowledged as generation %d", id, r.Generation)
	if old, ok := w.ackedChanges[id]; ok && old != r.Generation {
		w.ReportViolation("two generations for one change", "%s", id)
	}
	w.ackedChanges[id] = r.Generation
}

// checkAdopted checks that a node's version never goes back and can be read.
func (w *World) checkAdopted(p *Process, a data.ConfigAdopted) {
	if a.Generation < p.adoptedGeneration {
		w.ReportViolation("a node went back", "%s from generation %d to %d", p.Name, p.adoptedGeneration, a.Generation)
	}
	p.adoptedGeneration = a.Generation
	if a.Desired == nil {
		w.ReportViolation("unreadable desired state adopted", "%s at generation %d", p.Name, a.Generation)
	}
}

// RaceOperators submits two changes on the same basis, of which at most one may be acknowledged.
func (w *World) RaceOperators(basis uint64, k int, doc string) {
	acks := 0
	gens := map[uint64]bool{}
	for i := 0; i < 2; i++ {
		race := func() {
			w.SetDesired(basis, doc, fmt.Sprintf("race-%d-%d", k, i), func(code ledger.Code, gen uint64) {
				if code == ledger.Done {
					acks++
					gens[gen] = true
				}
				if acks > 1 {
					w.ReportViolation("both racers heard yes", "race %d", k)
				}
			})
		}
		w.after(time.Duration(i*w.Rand.Intn(1500))*ms, race)
	}
}

// SubmitInvalid submits an invalid configuration, which must not be acknowledged.
func (w *World) SubmitInvalid(basis uint64, k int) {
	if l := w.Leader(); l != nil && w.DisabledGuard == "check" {
		l.control.Agreement.Propose(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(l.control.Ledger.Generation), ChangeId: fmt.Sprint("unchecked-", k), Doc: []byte(`{"fleet":{"nodes":0}}`)}}}, l.clock())
	}
	w.SetDesired(basis, `{"fleet":{"nodes":0},"lanes":{"x":{}}}`, fmt.Sprintf("bad-%d", k), func(code ledger.Code, gen uint64) {
		if code == ledger.Done {
			w.ReportViolation("invalid desired state acknowledged", "as generation %d", gen)
		}
	})
}

// CheckAcknowledged checks that the leader's state machine has the newest acknowledged change, holds only valid
// configurations and gives no seat to an older incarnation of its owner.
func (w *World) CheckAcknowledged() {
	l := w.Leader()
	w.auditHistory(l)
	if l == nil || w.ackedGeneration == 0 {
		return
	}
	at, _ := l.control.Agreement.QuorumContact()
	if at.Before(l.clock()) && l.clock().Sub(at) > 0 && w.ackedAt.Add(l.clockOffset).After(at) {
		return
	}
	if uint64(l.control.Ledger.Generation) < w.ackedGeneration {
		w.ReportViolation("acknowledged generation missing", "%s reads %d, acknowledged %d", l.Name, l.control.Ledger.Generation, w.ackedGeneration)
		return
	}
	if line := l.control.Ledger.AppliedChange(w.ackedChange); line == nil && uint64(l.control.Ledger.Generation) < w.ackedGeneration+ledger.MaxChangeRecords {
		w.ReportViolation("acknowledged generation missing", "%s has no change %s", l.Name, w.ackedChange)
	}
	for _, v := range l.control.Ledger.Seats {
		if w.startOrder[v.Incarnation] < w.startOrder[w.seatIncarnations[v.Addr]] {
			w.ReportViolation("a dead self took a seat", "seat %d of %s", v.Seat, v.Addr)
		}
		w.seatIncarnations[v.Addr] = v.Incarnation
	}
	for _, h := range l.control.Ledger.History {
		if !w.validDocument(h.Doc) {
			w.ReportViolation("invalid desired state took effect", "generation %d", h.Generation)
		}
	}
}

func (w *World) validDocument(doc []byte) bool {
	valid, ok := w.documentValid[string(doc)]
	if !ok {
		_, faults := desired.Read(doc)
		valid = len(faults) == 0
		w.documentValid[string(doc)] = valid
	}
	return valid
}

func (w *World) WatchInvariants() {
	var check func()
	check = func() {
		w.CheckAcknowledged()
		w.checkRetryWindows()
		w.after(100*ms, check)
	}
	w.after(100*ms, check)
}

// checkRetryWindows checks that the retries to a service within 10 s stay within a fifth of its first attempts
// plus an allowance.
func (w *World) checkRetryWindows() {
	from := w.Now.Add(-10 * time.Second)
	for s, list := range w.retries {
		for len(list) > 0 && list[0].Before(from) {
			list = list[1:]
		}
		w.retries[s] = list
		seen := w.firstAttempts[s]
		for len(seen) > 0 && seen[0].Before(from) {
			seen = seen[1:]
		}
		w.firstAttempts[s] = seen
		if len(list) > len(seen)/5+w.retryAllowance() {
			w.ReportViolation("too many further tries", "%d to %s in 10 s, traffic %d", len(list), s, len(seen))
		}
	}
}

// GenerateRequests sends requests as a Poisson process of the given rate to the nodes that were ready when last
// polled. Requests to at-most-once lanes have idempotency keys.
func (w *World) GenerateRequests(rate float64) {
	var ready []*Process
	var poll func()
	poll = func() {
		ready = nil
		for _, p := range w.Processes {
			if p.up && !p.frozen && p.node != nil && p.node.state.Ready() {
				ready = append(ready, p)
			}
		}
		w.after(time.Second, poll)
	}
	poll()
	w.readyNodes = func() []*Process { return ready }
	var next func()
	next = func() {
		w.after(time.Duration(w.Rand.ExpFloat64()/rate*1e9), next)
		if w.Routed {
			w.sendRequest(w.readyNodes, fmt.Sprintf("/m%d/x", w.Rand.Intn(routeCount)), "", 0)
			return
		}
		lane := serviceName(w.Rand.Intn(w.Services))
		key := ""
		if w.Rand.Intn(3) == 0 {
			lane += "-once"
			w.keyedRequests++
			key = fmt.Sprintf("key-%d", w.keyedRequests)
		} else {
			lane += "-look"
		}
		w.sendRequest(w.readyNodes, lane, key, 0)
	}
	next()
}

// servedRequest is a served request with an idempotency key.
type servedRequest struct {
	lane string
	key  string
	at   ident.Moment
}

// repeatRecent sends the requests that were served within the last 150 ms again 3 to 6 s later, which must not run
// twice.
func (w *World) repeatRecent() {
	for i := len(w.recentServed) - 1; i >= 0 && w.Now.Sub(w.recentServed[i].at) < 150*ms; i-- {
		k := w.recentServed[i]
		w.after(time.Duration(3000+w.Rand.Intn(3000))*ms, func() { w.sendRequest(w.readyNodes, k.lane, k.key, 3) })
	}
}

// sendRequest sends a request to one of the ready nodes; n counts its retries. Half of the requests with a key that
// are not served, or get no answer within 2.5 s, are retried at any ready node, and so is one in 40 of the served ones.
func (w *World) sendRequest(ready func() []*Process, lane, key string, n int) {
	list := ready()
	if len(list) == 0 {
		w.Counters["no node ready"]++
		return
	}
	p := list[int(float64(len(list))*math.Pow(w.Rand.Float64(), max(1, w.LoadSkew)))]
	counts, leaving := &servedCounts{reasons: map[string]int{}}, w.drawLeaving()
	if n == 0 && !leaving {
		counts = w.currentCounts(lane)
	}
	counts.asked++
	again := func() {
		if key != "" && n < 3 && w.Rand.Intn(2) == 0 {
			w.after(time.Duration(w.Rand.Intn([]int{300, 6000}[w.Rand.Intn(2)]))*ms, func() { w.sendRequest(ready, lane, key, n+1) })
		}
	}
	answered := false
	w.after(ms, func() {
		if !p.up {
			w.Counters["connection refused"]++
			again()
			return
		}
		deliver := func() {
			if p.node == nil {
				return
			}
			id := p.node.receive(lane, key, 2*time.Second, func(a forward.Answer, served bool) {
				if answered {
					return
				}
				answered = true
				if !served {
					counts.reasons[a.Reason]++
				}
				switch {
				case served:
					w.Counters["served"]++
					counts.served++
					w.ServedAt = append(w.ServedAt, w.Now)
					if key != "" {
						w.recentServed = append(w.recentServed, servedRequest{lane, key, w.Now})
					}
				case a.Status == 0:
					w.Counters["broken off"]++
				default:
					w.Counters[fmt.Sprintf("%d ran %s", a.Status, a.Ran)]++
					w.Counters["why "+a.Reason]++
				}
				if !served || w.Rand.Intn(20) == 0 {
					again()
				}
			})
			if n := p.node; id != "" && leaving {
				n.clientLeaves(id, w.drawLeaveDelay())
			}
		}
		if p.frozen {
			p.deferred = append(p.deferred, deliver)
			return
		}
		deliver()
	})
	w.after(2500*ms, func() {
		if !answered {
			answered = true
			w.Counters["no answer"]++
			again()
		}
	})
}

// servedCounts counts requests sent and served, and the reasons of refusals.
type servedCounts struct {
	asked, served int
	reasons       map[string]int
}

func (w *World) currentCounts(lane string) *servedCounts {
	by := w.countsBySecond[lane]
	if by == nil {
		by = map[int]*servedCounts{}
		w.countsBySecond[lane] = by
	}
	k := int(w.Now.Sub(w.start) / time.Second)
	if by[k] == nil {
		by[k] = &servedCounts{reasons: map[string]int{}}
	}
	return by[k]
}

func (w *World) servedBetween(lane string, from, to time.Duration) (s servedCounts) {
	s.reasons = map[string]int{}
	for l, by := range w.countsBySecond {
		for k, v := range by {
			if at := time.Duration(k) * time.Second; (lane == "" || lane == l) && at >= from && at < to {
				s.asked, s.served = s.asked+v.asked, s.served+v.served
				for k, n := range v.reasons {
					s.reasons[k] += n
				}
			}
		}
	}
	return s
}

func (s servedCounts) ratio() float64 {
	if s.asked == 0 {
		return 0
	}
	return float64(s.served) / float64(s.asked)
}

// injectFaultAtPhase sends a request with a key twice more at the moment at which it enters the chosen phase, and
// sometimes kills the node or the leader or wipes the leader's disk.
func (w *World) injectFaultAtPhase(n *nodeSim, e forward.Trace) {
	t := n.attempts[e.Request]
	if w.phaseFaultsLeft == 0 || t == nil || t.key == "" || e.To != w.faultPhase {
		return
	}
	w.phaseFaultsLeft--
	for i := 0; i < 2; i++ {
		w.after(time.Duration(w.Rand.Intn(40))*ms, func() { w.sendRequest(w.readyNodes, string(t.lane), t.key, 3) })
	}
	l := w.Leader()
	switch kind := w.Rand.Intn(6); {
	case kind == 0:
		w.after(0, func() { w.Kill(n.p) })
		w.after(time.Second, func() { w.Start(n.p) })
	case kind == 1 && l != nil && w.controlsUp() == w.Controls && w.votersCaughtUp():
		w.after(0, func() { w.Wipe(l) })
		w.after(time.Second, func() { w.Start(l) })
	case kind == 2 && l != nil:
		w.after(0, func() { w.Kill(l) })
		w.after(time.Second, func() { w.Start(l) })
	}
}
