package simulate

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sloeturn/agreement"
	"sloeturn/cell"
	"sloeturn/data"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

const (
	routeCount   = 8
	fixedRoutes  = 4
	contactTime  = 6 * time.Second
	retryBudget  = 14
	maxCellGap   = 4 * time.Second
	firstEdition = 16
)

// routeState is the version of the route configuration: the newest one created and the newest one known as
// acknowledged. errorAnswers has backends answer some requests with an error.
type routeState struct {
	edition      int
	knownEdition int
	errorAnswers bool
}

// routedAttempt is what the checks know of the attempts of a request on a route.
type routedAttempt struct {
	attempt       int
	repeatable    bool
	refused       bool
	arrivals      int
	latencyTarget time.Duration
	endings       map[int]attemptEnding
}

type attemptEnding struct {
	forward.Ending
	status int
}

func (w *World) firstDocument() string {
	if !w.Routed {
		return w.Document(w.Nodes, 1, 2, MaxBackendConnections)
	}
	w.routing = &routeState{edition: firstEdition, knownEdition: firstEdition}
	return w.routeDocument(firstEdition)
}

// routeDocument is a configuration that moves the routes between the services and leaves some of the routes after
// the first four out, by the bits of k.
func (w *World) routeDocument(k int) string {
	var services, lanes, routes []string
	for i := 0; i < w.Services; i++ {
		s := serviceName(i)
		services = append(services, fmt.Sprintf(`"%s":{"maxConnections":%d,"reserve":4,"named":true,"line":1,"furtherShots":%d}`, s, MaxBackendConnections, retryBudget))
		lanes = append(lanes, fmt.Sprintf(`"%s":{"tenant":"mor","service":"%s","slots":4,"waiters":4}`, s, s))
	}
	for i := 0; i < routeCount; i++ {
		if i >= fixedRoutes && k>>(i-fixedRoutes)&1 == 1 {
			continue
		}
		one, two := (k>>1+i)%w.Services, (k+i)%w.Services
		to := fmt.Sprintf(`"%s":1`, serviceName(one))
		if one != two {
			to += fmt.Sprintf(`,"%s":2`, serviceName(two))
		}
		routes = append(routes, fmt.Sprintf(`"m%d":{"host":"h","prefix":"/m%d/","repeatable":%v,"wholeMs":1500,"aimMs":%d,"shots":3,"lanes":{%s}}`, i, i, i%2 == 0, 400+i*200, to))
	}
	return fmt.Sprintf(`{"edition":%d,"fleet":{"open":true},"services":{%s},"tenants":{"mor":{}},"lanes":{%s},"routes":{%s}}`, k, strings.Join(services, ","), strings.Join(lanes, ","), strings.Join(routes, ","))
}

// moveRoutes submits new routes; every other time two operators build on the same edition, of which one may win.
func (w *World) moveRoutes(n int) {
	base, acks := w.routing.knownEdition, 0
	for i := 0; i < 1+n%2; i++ {
		w.routing.edition += 1 + w.Rand.Intn(3)
		k := w.routing.edition
		c := &wire.SetDesired{ByEdition: true, Basis: uint64(base), ChangeId: fmt.Sprint("move-", k), Doc: []byte(w.routeDocument(k))}
		w.after(time.Duration(i*w.Rand.Intn(300))*ms, func() {
			w.submitUntilAnswered(c, c.ChangeId, func(code ledger.Code, g uint64) {
				if code != ledger.Done {
					return
				}
				if acks++; acks > 1 {
					w.ReportViolation("both racers heard yes", "on edition %d", base)
				}
				w.routing.knownEdition = k
			})
		})
	}
}

func (w *World) retryAllowance() int {
	if w.Routed {
		return retryBudget
	}
	return 4
}

func (w *World) markDisturbed(p *Process) { p.disturbedAt = w.Now }

// inTouch reports whether nothing has disturbed the node, its links or the core within contactTime.
func (w *World) inTouch(p *Process) bool {
	calm := func(q *Process) bool { return q.up && !q.frozen && w.Now.Sub(q.disturbedAt) > contactTime }
	if !calm(p) || len(w.cutLinks) > 0 || w.extraDelay > 0 {
		return false
	}
	for _, q := range w.Processes {
		if q.disk != nil && !q.removed && !calm(q) {
			return false
		}
	}
	return true
}

// trackDisturbances records every 10 ms which processes are down, frozen, cut off or slowed down.
func (w *World) trackDisturbances() {
	for _, p := range w.Processes {
		if !p.up || p.frozen || w.extraDelay > 0 {
			w.markDisturbed(p)
		}
	}
	for k := range w.cutLinks {
		for _, p := range w.Processes {
			if p.Name == k[0] || p.Name == k[1] {
				w.markDisturbed(p)
			}
		}
	}
	w.after(10*ms, w.trackDisturbances)
}

// receiveRouted hands a request to the node by its path and checks that the node decides under the newest
// acknowledged routes while it is in touch.
func (n *nodeSim) receiveRouted(path string, left time.Duration, done func(a forward.Answer, served bool)) ident.RequestID {
	w, d := n.p.w, n.state.Desired()
	if d == nil {
		done(forward.Answer{Status: 503, Ran: forward.RanNo, Reason: "no desired state"}, false)
		return ""
	}
	n.requests++
	if g := uint64(n.state.Relay.DocumentGeneration); g < w.ackedGeneration && w.inTouch(n.p) {
		w.ReportViolation("older routes after a yes", "%s decides under %d %v after %d was acknowledged", n.p.Name, g, w.Now.Sub(w.ackedAt), w.ackedGeneration)
	}
	r := d.FindRoute("h", path)
	if r == nil && !n.deniesUnknownRoutes() {
		done(forward.Answer{Status: 503, Ran: forward.RanNo, Reason: "out of touch"}, false)
		return ""
	}
	if r == nil {
		if path[2]-'0' < fixedRoutes {
			w.ReportViolation("refused though allowed", "%s by %s", path, n.p.Name)
		}
		done(forward.Answer{Status: 404, Ran: forward.RanNo, Reason: "no route"}, false)
		return ""
	}
	rule := *r.PickLane(w.Rand.Uint64())
	id := ident.RequestID(fmt.Sprintf("%s-%d-%d", n.p.Name, n.starts, n.requests))
	t := &attemptState{request: id, lane: rule.Name, service: string(rule.Service), arrived: w.Now, done: done, routedAttempt: routedAttempt{repeatable: rule.Repeatable, latencyTarget: rule.TargetLatency, endings: map[int]attemptEnding{}}}
	n.attempts[id] = t
	n.watchClient(t)
	w.firstAttempts[t.service] = append(w.firstAttempts[t.service], w.Now)
	if w.DisabledGuard == "again" {
		rule.Repeatable = true
	}
	at := n.p.clock()
	n.p.step(data.RequestArrived{Arrival: forward.Arrival{ID: id, Lane: rule.Name, Rule: &rule, Arrived: at, Deadline: at.Add(left)}})
	return id
}

// recordEnding records how an attempt on a route ended.
func (t *attemptState) recordEnding(w *World, ending forward.Ending, status int) forward.Ending {
	if !w.Routed {
		return ending
	}
	if ending == forward.Broken && w.DisabledGuard == "turned" {
		ending = forward.Rejected
	}
	t.endings[t.attempt] = attemptEnding{ending, status}
	return ending
}

// checkDelivered checks that an answer passed on to a client is a complete one that an attempt really had.
func (n *nodeSim) checkDelivered(t *attemptState, shot int) {
	w := n.p.w
	if !w.Routed {
		return
	}
	e, ok := t.endings[shot]
	switch {
	case !ok:
		w.ReportViolation("an answer no shot had", "%s shot %d", t.request, shot)
	case e.Ending == forward.Rejected:
		t.refused = true
		if w.executions[string(t.request)] > 0 {
			w.ReportViolation("told not run, but it ran", "%s: turned away at shot %d", t.request, shot)
		}
	case e.Ending != forward.Complete:
		w.ReportViolation("garbled answer passed on", "%s shot %d was %s", t.request, shot, e.Ending)
	case e.status == 503:
		w.ReportViolation("a backend's own 503 passed on", "%s shot %d", t.request, shot)
	}
}

func (w *World) drawStatus() int {
	if k := w.Rand.Intn(40); w.routing.errorAnswers && k < 3 {
		return []int{503, 500, 500}[k]
	}
	return 200
}

// admits reports whether the backend takes a request, and checks that no request runs that was refused, or twice if
// it is not repeatable.
func (b *Backend) admits(t *attemptState, l *conn) bool {
	w := b.w
	if t.arrivals++; t.arrivals > 1 {
		w.retries[t.service] = append(w.retries[t.service], w.Now)
	}
	end := func(ending forward.Ending, status int) {
		w.after(time.Duration(200+w.Rand.Intn(2000))*time.Microsecond, func() { l.from.attemptEnded(t, l, ending, status, false) })
	}
	if l.incarnation != b.incarnation && w.DisabledGuard != "life" {
		w.Counters["moved"]++
		end(forward.Misdirected, 421)
		return false
	}
	if b.activeRequests >= b.slots+1 || b.mode == "full" {
		w.Counters["turned away"]++
		end(forward.Rejected, 503)
		return false
	}
	if t.refused {
		w.ReportViolation("ran after it was refused", "%s at %s", t.request, b.name)
	}
	if w.executions[string(t.request)] > 0 && !t.repeatable {
		w.ReportViolation("ran twice", "%s at %s", t.request, b.name)
	}
	return true
}

func configureRoutes(c *Config) {
	c.Routed, c.Backends, c.RequestRate, c.MaxStaleness = true, 10, 120, 20*time.Second
}

// nameBackends has all backends name their service and incarnation, starts the tracking of disturbances and waits
// until the names are known.
func (w *World) nameBackends() {
	for _, b := range w.Backends {
		b.named = true
	}
	w.trackDisturbances()
	w.Run(4 * time.Second)
}

var routeScenes = []*Scene{
	{Name: "routes", Description: "routes move between services while backends drain, end, hand their addresses on, fill up and lose answers", configure: configureRoutes, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		w.routing.errorAnswers = true
		for i := 0; i < 16; i++ {
			b := w.Backends[w.Rand.Intn(len(w.Backends))]
			switch w.Rand.Intn(7) {
			case 0:
				b.mode = "full"
				w.after(2*time.Second, func() { b.mode = "" })
			case 1:
				b.mode = "lose"
				w.after(2*time.Second, func() { b.mode = "" })
			case 2:
				b.mode = "garble"
				w.after(2*time.Second, func() { b.mode = "" })
			case 3:
				b.crash()
				b.service = serviceName(w.Rand.Intn(w.Services))
				w.after(time.Duration(w.Rand.Intn(300))*ms, b.start)
			case 4:
				if b.up && b.state == cell.Ready {
					b.Drain()
					w.after(4*time.Second, func() { b.restart(500 * ms) })
				}
			case 5:
				if p := w.Node(w.Rand.Intn(w.Nodes)); i%3 == 0 {
					w.Kill(p)
					w.after(300*ms, func() { w.Start(p) })
				}
			case 6:
				if i%3 == 0 {
					w.Freeze(w.Node(w.Rand.Intn(w.Nodes)), time.Duration(w.Rand.Intn(3000))*ms)
				}
			}
			w.moveRoutes(i)
			w.Run(time.Duration(500+w.Rand.Intn(2500)) * ms)
		}
	}},
	{Name: "route-drains", Description: "backends of named services drain and say no more; their cell's holder is killed as soon as it has said yes", configure: configureRoutes, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		for i := 0; i < 4; i++ {
			w.Run(contactTime + time.Second)
			b := w.Backends[w.Rand.Intn(len(w.Backends))]
			if !b.up || b.state != cell.Ready {
				continue
			}
			b.Drain()
			b.silent = true
			for k := 0; k < 200 && b.drainAckedAt == 0; k++ {
				w.Run(10 * ms)
			}
			if l := w.Leader(); l != nil && l.control.Ledger.CellHolders[ident.Cell(b.cell)] != nil {
				p := w.processByName(l.control.Ledger.CellHolders[ident.Cell(b.cell)].Holder)
				w.Kill(p)
				w.after(time.Second, func() { w.Start(p) })
			}
			w.Run(contactTime + 4*time.Second)
			b.restart(500 * ms)
		}
	}},
	{Name: "cut-drains", Description: "a cell's holder is cut off together with a control process that is no voter; backends drain there and say no more", configure: func(c *Config) { c.Backends = 12 }, run: func(w *World, r *Result, gen *uint64) {
		for i := 0; i < 6; i++ {
			w.Run(3 * time.Second)
			w.drainDuringCut()
			w.Run(7 * time.Second)
			w.Heal()
		}
	}},
	{Name: "route-tries", Description: "most backends are full or lose answers while nodes restart: further arrivals over all nodes", configure: func(c *Config) { configureRoutes(c); c.RequestRate = 200 }, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		for i := 0; i < 12; i++ {
			for _, b := range w.Backends {
				if b.mode = ""; w.Rand.Intn(4) > 0 {
					b.mode = []string{"full", "lose"}[w.Rand.Intn(2)]
				}
			}
			if i%3 == 0 {
				p := w.Node(w.Rand.Intn(w.Nodes))
				w.Kill(p)
				w.Start(p)
			}
			w.Run(1500 * ms)
		}
	}},
	{Name: "route-stale", Description: "all control processes stand still for 12 s; nodes serve on old news", configure: configureRoutes, run: func(w *World, r *Result, gen *uint64) {
		w.nameBackends()
		from := w.elapsed().Truncate(time.Second)
		for i := 0; i < w.Controls; i++ {
			w.Freeze(w.Control(i), 12*time.Second)
		}
		w.Run(12 * time.Second)
		s := w.servedBetween("", from+time.Second, from+11*time.Second)
		r.ServedShare = s.ratio()
		if r.ServedShare < minServedShare {
			w.ReportViolation("not served on old news", "share %.3f: %v", r.ServedShare, s.reasons)
		}
		w.moveRoutes(1)
		w.Run(5 * time.Second)
	}},
	{Name: "holder-gone", Description: "cells' holders are killed one after another and stay away for a while; nodes serve their named lives on old news", configure: configureRoutes, run: func(w *World, r *Result, gen *uint64) {
		w.killHolders(r, 0.97)
	}},
}

// killHolders kills the holder of one cell after another and checks that nodes keep serving meanwhile.
func (w *World) killHolders(r *Result, least float64) {
	w.nameBackends()
	from := w.elapsed().Truncate(time.Second)
	for i := 0; i < 5; i++ {
		c := w.cellName(i)
		l := w.Leader()
		if l == nil || l.control.Ledger.CellHolders[ident.Cell(c)] == nil {
			w.Run(time.Second)
			continue
		}
		p := w.processByName(l.control.Ledger.CellHolders[ident.Cell(c)].Holder)
		stop := w.watchCellAge(r, ident.Cell(c))
		w.Kill(p)
		w.Run(5 * time.Second)
		stop()
		w.Start(p)
		w.Run(6 * time.Second)
	}
	if r.ServedShare = w.servedBetween("", from, w.elapsed().Truncate(time.Second)).ratio(); r.ServedShare < least {
		w.ReportViolation("not served while holders change", "share %.3f", r.ServedShare)
	}
	if r.MaxCellStaleness > maxCellGap {
		w.ReportViolation("a cell stood without a holder for long", "a node's news of it was %v old", r.MaxCellStaleness)
	}
}

func (w *World) processByName(name string) *Process {
	for _, p := range w.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// watchCellAge measures how old the update of a cell grows at ready nodes and checks that its table is not lost.
func (w *World) watchCellAge(r *Result, c ident.Cell) (stop func()) {
	on := true
	var check func()
	check = func() {
		for _, p := range w.Processes {
			if p.node == nil || !p.node.state.Ready() {
				continue
			}
			if k := p.node.state.Relay.Cells[c]; k != nil && p.up && !p.frozen {
				r.MaxCellStaleness = max(r.MaxCellStaleness, p.clock().Sub(k.AsOf))
				if len(k.Backends) == 0 {
					w.ReportViolation("a new holder forgot its cell's lives", "%s knows none of cell %s", p.Name, c)
				}
			}
		}
		if on {
			w.after(20*ms, check)
		}
	}
	check()
	return func() { on = false }
}

func init() {
	Scenes = append(append(Scenes, routeScenes...), deregistrationScene, lateUpdatesScene, coreCutScene, holderCutScene)
}

// drainDuringCut cuts the holder of a cell off, together with a control process that is no voter if there is one,
// which leaves a majority of the voters connected. A backend of that cell announces at both that it drains, until one
// acknowledges it or 2 s have passed.
func (w *World) drainDuringCut() {
	l := w.Leader()
	b := w.Backends[w.Rand.Intn(len(w.Backends))]
	if l == nil || !b.up || b.state != cell.Ready || l.control.Ledger.CellHolders[ident.Cell(b.cell)] == nil {
		return
	}
	votes := map[string]bool{}
	for _, v := range agreement.Voters(l.control.Agreement.Roster()) {
		votes[v.Member] = true
	}
	off := []*Process{w.processByName(l.control.Ledger.CellHolders[ident.Cell(b.cell)].Holder)}
	for _, p := range w.Processes[:w.Controls] {
		if p != off[0] && p.up && !votes[p.Name] {
			off = append(off, p)
			break
		}
	}
	for _, p := range off {
		w.Tracef("%s is cut off with the holder", p.Name)
		for _, q := range w.Processes {
			if !slices.Contains(off, q) {
				w.CutLink(p.Name, q.Name, true)
			}
		}
	}
	w.Run(time.Duration(w.Rand.Intn(1300)) * ms)
	starts, until := b.starts, w.Now.Add(2*time.Second)
	b.state, b.silent = cell.Leaving, true
	var try func()
	try = func() {
		if !b.up || b.starts != starts || b.drainAckedAt != 0 || w.Now.After(until) {
			return
		}
		p := off[w.Rand.Intn(len(off))]
		w.announceTo(p, &wire.Announce{Cell: b.cell, Addr: b.addr, Service: b.service, Slots: uint32(b.slots), State: cell.Leaving, Notice: true}, ms, func() bool { return true }, func(ok bool) {
			if ok && b.starts == starts && b.drainAckedAt == 0 {
				b.drainAckedAt = w.Now
				w.Tracef("%s is known to leave", b.name)
			}
		})
		w.after(100*ms, try)
	}
	try()
	w.after(9*time.Second, func() { b.restart(500 * ms) })
}
