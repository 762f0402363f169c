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
	roads   = 8
	firm    = 4
	contact = 6 * time.Second
	places  = 14
	gapMost = 4 * time.Second
	opening = 16
)

type road struct {
	edition int
	known   int
	odd     bool
}

type routed struct {
	shot    int
	again   bool
	refused bool
	reached int
	aim     time.Duration
	ends    map[int]end
}

type end struct {
	forward.Ending
	status int
}

func (w *World) firstDoc() string {
	if !w.Routed {
		return w.Doc0(w.Nodes, 1, 2, Cap)
	}
	w.road = &road{edition: opening, known: opening}
	return w.roadDoc(opening)
}

// roadDoc moves the first routes between the services and takes some of the rest out, by the bits of k.
func (w *World) roadDoc(k int) string {
	var services, lanes, routes []string
	for i := 0; i < w.Services; i++ {
		s := serviceName(i)
		services = append(services, fmt.Sprintf(`"%s":{"maxConnections":%d,"reserve":4,"named":true,"line":1,"furtherShots":%d}`, s, Cap, places))
		lanes = append(lanes, fmt.Sprintf(`"%s":{"tenant":"mor","service":"%s","slots":4,"waiters":4}`, s, s))
	}
	for i := 0; i < roads; i++ {
		if i >= firm && k>>(i-firm)&1 == 1 {
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

// move has two operators build on the same edition every other time.
func (w *World) move(n int) {
	base, yes := w.road.known, 0
	for i := 0; i < 1+n%2; i++ {
		w.road.edition += 1 + w.Rand.Intn(3)
		k := w.road.edition
		c := &wire.SetDesired{ByEdition: true, Basis: uint64(base), ChangeId: fmt.Sprint("move-", k), Doc: []byte(w.roadDoc(k))}
		w.at(time.Duration(i*w.Rand.Intn(300))*ms, func() {
			w.put(c, c.ChangeId, func(code ledger.Code, g uint64) {
				if code != ledger.Done {
					return
				}
				if yes++; yes > 1 {
					w.Break("both racers heard yes", "on edition %d", base)
				}
				w.road.known = k
			})
		})
	}
}

func (w *World) allowance() int {
	if w.Routed {
		return places
	}
	return 4
}

func (w *World) hurts(p *Proc) { p.hurt = w.Now }

// touch: nothing befell the node, its links or the core within contact, nor does now.
func (w *World) touch(p *Proc) bool {
	calm := func(q *Proc) bool { return q.up && !q.frozen && w.Now.Sub(q.hurt) > contact }
	if !calm(p) || len(w.cut) > 0 || w.slow > 0 {
		return false
	}
	for _, q := range w.Procs {
		if q.disk != nil && !q.gone && !calm(q) {
			return false
		}
	}
	return true
}

func (w *World) bruise() {
	for _, p := range w.Procs {
		if !p.up || p.frozen || w.slow > 0 {
			w.hurts(p)
		}
	}
	for k := range w.cut {
		for _, p := range w.Procs {
			if p.Name == k[0] || p.Name == k[1] {
				w.hurts(p)
			}
		}
	}
	w.at(10*ms, w.bruise)
}

func (n *nodeSim) routed(path string, left time.Duration, done func(a forward.Answer, served bool)) ident.RequestID {
	w, d := n.p.w, n.state.Desired()
	if d == nil {
		done(forward.Answer{Status: 503, Ran: forward.RanNo, Reason: "no desired state"}, false)
		return ""
	}
	n.visits++
	if g := uint64(n.state.Relay.DocGen); g < w.acked && w.touch(n.p) {
		w.Break("older routes after a yes", "%s decides under %d %v after %d was acknowledged", n.p.Name, g, w.Now.Sub(w.ackAt), w.acked)
	}
	r := d.Find("h", path)
	if r == nil && !n.denies() {
		done(forward.Answer{Status: 503, Ran: forward.RanNo, Reason: "out of touch"}, false)
		return ""
	}
	if r == nil {
		if path[2]-'0' < firm {
			w.Break("refused though allowed", "%s by %s", path, n.p.Name)
		}
		done(forward.Answer{Status: 404, Ran: forward.RanNo, Reason: "no route"}, false)
		return ""
	}
	rule := *r.Pick(w.Rand.Uint64())
	id := ident.RequestID(fmt.Sprintf("%s-%d-%d", n.p.Name, n.life, n.visits))
	t := &trip{visit: id, lane: rule.Name, service: string(rule.Service), arrived: w.Now, done: done, routed: routed{again: rule.Repeatable, aim: rule.Aim, ends: map[int]end{}}}
	n.trips[id] = t
	n.watch(t)
	w.traffic[t.service] = append(w.traffic[t.service], w.Now)
	if w.Weak == "again" {
		rule.Repeatable = true
	}
	at := n.p.clock()
	n.p.step(data.Arrive{Arrival: forward.Arrival{ID: id, Lane: rule.Name, Rule: &rule, Arrived: at, Deadline: at.Add(left)}})
	return id
}

func (t *trip) heard(w *World, how forward.Ending, status int) forward.Ending {
	if !w.Routed {
		return how
	}
	if how == forward.Broken && w.Weak == "turned" {
		how = forward.TurnedAway
	}
	t.ends[t.shot] = end{how, status}
	return how
}

func (n *nodeSim) passedOn(t *trip, shot int) {
	w := n.p.w
	if !w.Routed {
		return
	}
	e, ok := t.ends[shot]
	switch {
	case !ok:
		w.Break("an answer no shot had", "%s shot %d", t.visit, shot)
	case e.Ending == forward.TurnedAway:
		t.refused = true
		if w.ranBy[string(t.visit)] > 0 {
			w.Break("told not run, but it ran", "%s: turned away at shot %d", t.visit, shot)
		}
	case e.Ending != forward.Complete:
		w.Break("garbled answer passed on", "%s shot %d was %s", t.visit, shot, e.Ending)
	case e.status == 503:
		w.Break("a backend's own 503 passed on", "%s shot %d", t.visit, shot)
	}
}

func (w *World) status() int {
	if k := w.Rand.Intn(40); w.road.odd && k < 3 {
		return []int{503, 500, 500}[k]
	}
	return 200
}

// receive says whether the backend takes a visit up.
func (b *Backend) receive(t *trip, l *link) bool {
	w := b.w
	if t.reached++; t.reached > 1 {
		w.further[t.service] = append(w.further[t.service], w.Now)
	}
	end := func(how forward.Ending, status int) {
		w.at(time.Duration(200+w.Rand.Intn(2000))*time.Microsecond, func() { l.from.ended(t, l, how, status, false) })
	}
	if l.life != b.life && w.Weak != "life" {
		w.Count["moved"]++
		end(forward.Misdirected, 421)
		return false
	}
	if b.working >= b.slots+1 || b.mode == "full" {
		w.Count["turned away"]++
		end(forward.TurnedAway, 503)
		return false
	}
	if t.refused {
		w.Break("ran after it was refused", "%s at %s", t.visit, b.name)
	}
	if w.ranBy[string(t.visit)] > 0 && !t.again {
		w.Break("ran twice", "%s at %s", t.visit, b.name)
	}
	return true
}

func onRoads(c *Config) {
	c.Routed, c.Backends, c.Rate, c.Stale = true, 10, 120, 20*time.Second
}

func (w *World) named() {
	for _, b := range w.Backends {
		b.names = true
	}
	w.bruise()
	w.Run(4 * time.Second)
}

var roadScenes = []*Scene{
	{Name: "routes", Text: "routes move between services while backends drain, end, hand their addresses on, fill up and lose answers", config: onRoads, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		w.road.odd = true
		for i := 0; i < 16; i++ {
			b := w.Backends[w.Rand.Intn(len(w.Backends))]
			switch w.Rand.Intn(7) {
			case 0:
				b.mode = "full"
				w.at(2*time.Second, func() { b.mode = "" })
			case 1:
				b.mode = "lose"
				w.at(2*time.Second, func() { b.mode = "" })
			case 2:
				b.mode = "garble"
				w.at(2*time.Second, func() { b.mode = "" })
			case 3:
				b.crash()
				b.service = serviceName(w.Rand.Intn(w.Services))
				w.at(time.Duration(w.Rand.Intn(300))*ms, b.start)
			case 4:
				if b.up && b.state == cell.Ready {
					b.Drain()
					w.at(4*time.Second, func() { b.replace(500 * ms) })
				}
			case 5:
				if p := w.Node(w.Rand.Intn(w.Nodes)); i%3 == 0 {
					w.Kill(p)
					w.at(300*ms, func() { w.Start(p) })
				}
			case 6:
				if i%3 == 0 {
					w.Freeze(w.Node(w.Rand.Intn(w.Nodes)), time.Duration(w.Rand.Intn(3000))*ms)
				}
			}
			w.move(i)
			w.Run(time.Duration(500+w.Rand.Intn(2500)) * ms)
		}
	}},
	{Name: "route-drains", Text: "backends of named services drain and say no more; their cell's holder is killed as soon as it has said yes", config: onRoads, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		for i := 0; i < 4; i++ {
			w.Run(contact + time.Second)
			b := w.Backends[w.Rand.Intn(len(w.Backends))]
			if !b.up || b.state != cell.Ready {
				continue
			}
			b.Drain()
			b.mute = true
			for k := 0; k < 200 && b.leftAt == 0; k++ {
				w.Run(10 * ms)
			}
			if l := w.Leader(); l != nil && l.control.Book.Holds[ident.Cell(b.cell)] != nil {
				p := w.byName(l.control.Book.Holds[ident.Cell(b.cell)].Holder)
				w.Kill(p)
				w.at(time.Second, func() { w.Start(p) })
			}
			w.Run(contact + 4*time.Second)
			b.replace(500 * ms)
		}
	}},
	{Name: "cut-drains", Text: "a cell's holder is cut off together with a control process that is no voter; backends drain there and say no more", config: func(c *Config) { c.Backends = 12 }, play: func(w *World, r *Result, gen *uint64) {
		for i := 0; i < 6; i++ {
			w.Run(3 * time.Second)
			w.cutDrain()
			w.Run(7 * time.Second)
			w.Heal()
		}
	}},
	{Name: "route-tries", Text: "most backends are full or lose answers while nodes restart: further arrivals over all nodes", config: func(c *Config) { onRoads(c); c.Rate = 200 }, play: func(w *World, r *Result, gen *uint64) {
		w.named()
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
	{Name: "route-stale", Text: "all control processes stand still for 12 s; nodes serve on old news", config: onRoads, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		from := w.since().Truncate(time.Second)
		for i := 0; i < w.Controls; i++ {
			w.Freeze(w.Control(i), 12*time.Second)
		}
		w.Run(12 * time.Second)
		s := w.served("", from+time.Second, from+11*time.Second)
		r.Share = s.of()
		if r.Share < floor {
			w.Break("not served on old news", "share %.3f: %v", r.Share, s.why)
		}
		w.move(1)
		w.Run(5 * time.Second)
	}},
	{Name: "holder-gone", Text: "cells' holders are killed one after another and stay away for a while; nodes serve their named lives on old news", config: onRoads, play: func(w *World, r *Result, gen *uint64) {
		w.holders(r, 0.97)
	}},
}

func (w *World) holders(r *Result, least float64) {
	w.named()
	from := w.since().Truncate(time.Second)
	for i := 0; i < 5; i++ {
		c := w.cellName(i)
		l := w.Leader()
		if l == nil || l.control.Book.Holds[ident.Cell(c)] == nil {
			w.Run(time.Second)
			continue
		}
		p := w.byName(l.control.Book.Holds[ident.Cell(c)].Holder)
		stop := w.unheld(r, ident.Cell(c))
		w.Kill(p)
		w.Run(5 * time.Second)
		stop()
		w.Start(p)
		w.Run(6 * time.Second)
	}
	if r.Share = w.served("", from, w.since().Truncate(time.Second)).of(); r.Share < least {
		w.Break("not served while holders change", "share %.3f", r.Share)
	}
	if r.Blind > gapMost {
		w.Break("a cell stood without a holder for long", "a node's news of it was %v old", r.Blind)
	}
}

func (w *World) byName(name string) *Proc {
	for _, p := range w.Procs {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// unheld measures how old the news of a cell with its backends grows at ready nodes.
func (w *World) unheld(r *Result, c ident.Cell) (stop func()) {
	on := true
	var look func()
	look = func() {
		for _, p := range w.Procs {
			if p.node == nil || !p.node.state.Ready() {
				continue
			}
			if k := p.node.state.Relay.Cells[c]; k != nil && p.up && !p.frozen {
				r.Blind = max(r.Blind, p.clock().Sub(k.AsOf))
				if len(k.Table) == 0 {
					w.Break("a new holder forgot its cell's lives", "%s knows none of cell %s", p.Name, c)
				}
			}
		}
		if on {
			w.at(20*ms, look)
		}
	}
	look()
	return func() { on = false }
}

func init() {
	Scenes = append(append(Scenes, roadScenes...), signOffScene, lateNewsScene, coreCutScene, holderCutScene)
}

// cutDrain cuts a cell's holder off with as many others as leave a majority of the voters, and drains a backend of that cell at both.
func (w *World) cutDrain() {
	l := w.Leader()
	b := w.Backends[w.Rand.Intn(len(w.Backends))]
	if l == nil || !b.up || b.state != cell.Ready || l.control.Book.Holds[ident.Cell(b.cell)] == nil {
		return
	}
	votes := map[string]bool{}
	for _, v := range agreement.Voters(l.control.Agree.Roster()) {
		votes[v.Member] = true
	}
	off := []*Proc{w.byName(l.control.Book.Holds[ident.Cell(b.cell)].Holder)}
	for _, p := range w.Procs[:w.Controls] {
		if p != off[0] && p.up && !votes[p.Name] {
			off = append(off, p)
			break
		}
	}
	for _, p := range off {
		w.Say("%s is cut off with the holder", p.Name)
		for _, q := range w.Procs {
			if !slices.Contains(off, q) {
				w.Cut(p.Name, q.Name, true)
			}
		}
	}
	w.Run(time.Duration(w.Rand.Intn(1300)) * ms)
	life, until := b.lives, w.Now.Add(2*time.Second)
	b.state, b.mute = cell.Leaving, true
	var try func()
	try = func() {
		if !b.up || b.lives != life || b.leftAt != 0 || w.Now.After(until) {
			return
		}
		p := off[w.Rand.Intn(len(off))]
		w.tell(p, &wire.Announce{Cell: b.cell, Addr: b.place, Service: b.service, Slots: uint32(b.slots), State: cell.Leaving, Notice: true}, ms, func() bool { return true }, func(ok bool) {
			if ok && b.lives == life && b.leftAt == 0 {
				b.leftAt = w.Now
				w.Say("%s is known to leave", b.name)
			}
		})
		w.at(100*ms, try)
	}
	try()
	w.at(9*time.Second, func() { b.replace(500 * ms) })
}
