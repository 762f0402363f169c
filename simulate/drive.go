package simulate

import (
	"fmt"
	"math"
	"time"

	"sloeturn/cell"
	"sloeturn/control"
	"sloeturn/data"
	"sloeturn/desired"
	"sloeturn/duty"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/pass"
	"sloeturn/wire"
)

type waiter struct {
	token uint64
	heard func(code uint32)
	reply func(r *wire.ProposeReply)
}

func (w *World) Doc0(nodes, surge int, slots, cap_ int) string {
	lanes, services := "", ""
	for i := 0; i < w.Services; i++ {
		if i > 0 {
			lanes += ","
			services += ","
		}
		s := serviceName(i)
		services += fmt.Sprintf(`"%s":{"maxConnections":%d,"reserve":2,"furtherShots":4}`, s, cap_)
		lanes += fmt.Sprintf(`"%s-once":{"tenant":"mor","service":"%s","slots":%d,"once":true},"%s-look":{"tenant":"goat","service":"%s","slots":%d}`, s, s, slots, s, s, slots)
	}
	return fmt.Sprintf(`{"fleet":{"nodes":%d,"surge":%d,"retiring":1},"services":{%s},"tenants":{"mor":{},"goat":{}},"lanes":{%s}}`, nodes, surge, services, lanes)
}

func (w *World) slotsOf(l ident.Lane) int {
	if l == pass.ProbeLane {
		return 1
	}
	if w.Routed {
		return 4
	}
	return max(2, w.fence)
}

func (w *World) tell(p *Proc, a *wire.Announce, late time.Duration, stands func() bool, heard func(bool)) {
	w.seq++
	t := w.seq<<8 | 1
	w.waits[t] = waiter{token: t, heard: func(code uint32) { heard(code == 200) }}
	var hear func()
	hear = func() {
		switch {
		case !p.up:
			w.announced(t, 503)
			return
		case p.frozen:
			p.held = append(p.held, hear)
			return
		case p.control != nil:
			p.control.Relay.Address(a, ident.Cell(p.Cell), p.clock())
		default:
			p.node.state.Relay.Address(a, ident.Cell(p.Cell), p.clock())
		}
		if w.Weak == "scatter" && a.Cell == "" {
			a.Cell = p.Cell
		}
		duty.Vouch(a, stands() || w.Weak == "stands")
		if p.control != nil {
			p.step(control.Announce{Token: t, Announce: a})
		} else {
			p.step(data.Announce{Token: t, Announce: a})
		}
	}
	if w.Weak == "write" && a.State == cell.Leaving {
		w.at(late+10*ms, func() { w.announced(t, 200) })
	}
	w.at(late, hear)
	w.at(late+3*time.Second, func() { w.announced(t, 503) })
}

func (w *World) announced(t uint64, code uint32) {
	if k, ok := w.waits[t]; ok && k.heard != nil {
		delete(w.waits, t)
		k.heard(code)
	}
}

func (w *World) changed(t uint64, r *wire.ProposeReply) {
	if k, ok := w.waits[t]; ok && k.reply != nil {
		delete(w.waits, t)
		k.reply(r)
	}
}

func (w *World) change(p *Proc, c *wire.SetDesired, reply func(r *wire.ProposeReply)) {
	w.seq++
	t := w.seq<<8 | 2
	w.waits[t] = waiter{token: t, reply: reply}
	lost := func() { w.changed(t, &wire.ProposeReply{Code: uint32(ledger.Lost)}) }
	w.at(ms, func() {
		if !p.up || p.frozen || p.control == nil {
			lost()
			return
		}
		p.step(control.Change{Token: t, Change: &wire.Change{Body: &wire.Change_SetDesired{SetDesired: c}}, Wait: 8 * time.Second})
	})
	w.at(9*time.Second, lost)
}

func (w *World) someControl() *Proc {
	var list []*Proc
	for _, p := range w.Procs {
		if p.disk != nil && !p.gone {
			list = append(list, p)
		}
	}
	return list[w.Rand.Intn(len(list))]
}

func (w *World) Set(basis uint64, doc, id string, done func(code ledger.Code, gen uint64)) {
	w.put(&wire.SetDesired{Basis: basis, ChangeId: id, Doc: []byte(doc), Author: id}, id, done)
}

func (w *World) put(c *wire.SetDesired, id string, done func(code ledger.Code, gen uint64)) {
	var try func(n int)
	try = func(n int) {
		w.change(w.someControl(), c, func(r *wire.ProposeReply) {
			code := ledger.Code(r.Code)
			if code == ledger.Lost && n < 30 {
				w.at(200*ms, func() { try(n + 1) })
				return
			}
			if code == ledger.Done {
				w.yes(id, r)
				if r.Generation > w.acked && len(c.Only) == 0 && !c.Withdraw && c.TakeOut == 0 {
					w.acked, w.ackedDoc, w.ackAt = r.Generation, id, w.Now
				}
			}
			done(code, r.Generation)
		})
	}
	try(0)
}

func (w *World) yes(id string, r *wire.ProposeReply) {
	w.Say("change %s acknowledged as generation %d", id, r.Generation)
	if old, ok := w.told[id]; ok && old != r.Generation {
		w.Break("two generations for one change", "%s", id)
	}
	w.told[id] = r.Generation
}

func (w *World) adopted(p *Proc, a data.Adopt) {
	if a.Generation < p.at {
		w.Break("a node went back", "%s from generation %d to %d", p.Name, p.at, a.Generation)
	}
	p.at = a.Generation
	if a.Desired == nil {
		w.Break("unreadable desired state adopted", "%s at generation %d", p.Name, a.Generation)
	}
}

func (w *World) Race(basis uint64, k int, doc string) {
	yes := 0
	gens := map[uint64]bool{}
	for i := 0; i < 2; i++ {
		race := func() {
			w.Set(basis, doc, fmt.Sprintf("race-%d-%d", k, i), func(code ledger.Code, gen uint64) {
				if code == ledger.Done {
					yes++
					gens[gen] = true
				}
				if yes > 1 {
					w.Break("both racers heard yes", "race %d", k)
				}
			})
		}
		w.at(time.Duration(i*w.Rand.Intn(1500))*ms, race)
	}
}

func (w *World) Bad(basis uint64, k int) {
	if l := w.Leader(); l != nil && w.Weak == "check" {
		l.control.Agree.Propose(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(l.control.Book.Generation), ChangeId: fmt.Sprint("unchecked-", k), Doc: []byte(`{"fleet":{"nodes":0}}`)}}}, l.clock())
	}
	w.Set(basis, `{"fleet":{"nodes":0},"lanes":{"x":{}}}`, fmt.Sprintf("bad-%d", k), func(code ledger.Code, gen uint64) {
		if code == ledger.Done {
			w.Break("invalid desired state acknowledged", "as generation %d", gen)
		}
	})
}

func (w *World) ReadBack() {
	l := w.Leader()
	w.audit(l)
	if l == nil || w.acked == 0 {
		return
	}
	at, _ := l.control.Agree.AsOf()
	if at.Before(l.clock()) && l.clock().Sub(at) > 0 && w.ackAt.Add(l.skew).After(at) {
		return
	}
	if uint64(l.control.Book.Generation) < w.acked {
		w.Break("acknowledged generation missing", "%s reads %d, acknowledged %d", l.Name, l.control.Book.Generation, w.acked)
		return
	}
	if line := l.control.Book.ByChange(w.ackedDoc); line == nil && uint64(l.control.Book.Generation) < w.acked+ledger.KeysKept {
		w.Break("acknowledged generation missing", "%s has no change %s", l.Name, w.ackedDoc)
	}
	for _, v := range l.control.Book.Seats {
		if w.lives[v.Incarnation] < w.lives[w.seated[v.Addr]] {
			w.Break("a dead self took a seat", "seat %d of %s", v.Seat, v.Addr)
		}
		w.seated[v.Addr] = v.Incarnation
	}
	for _, h := range l.control.Book.History {
		if !w.sound(h.Doc) {
			w.Break("invalid desired state took effect", "generation %d", h.Generation)
		}
	}
}

func (w *World) sound(doc []byte) bool {
	yes, ok := w.docs[string(doc)]
	if !ok {
		_, faults := desired.Read(doc)
		yes = len(faults) == 0
		w.docs[string(doc)] = yes
	}
	return yes
}

func (w *World) Watch() {
	var look func()
	look = func() {
		w.ReadBack()
		w.windows()
		w.at(100*ms, look)
	}
	w.at(100*ms, look)
}

func (w *World) windows() {
	from := w.Now.Add(-10 * time.Second)
	for s, list := range w.further {
		for len(list) > 0 && list[0].Before(from) {
			list = list[1:]
		}
		w.further[s] = list
		seen := w.traffic[s]
		for len(seen) > 0 && seen[0].Before(from) {
			seen = seen[1:]
		}
		w.traffic[s] = seen
		if len(list) > len(seen)/5+w.allowance() {
			w.Break("too many further tries", "%d to %s in 10 s, traffic %d", len(list), s, len(seen))
		}
	}
}

func (w *World) Visits(rate float64) {
	var ready []*Proc
	var poll func()
	poll = func() {
		ready = nil
		for _, p := range w.Procs {
			if p.up && !p.frozen && p.node != nil && p.node.state.Ready() {
				ready = append(ready, p)
			}
		}
		w.at(time.Second, poll)
	}
	poll()
	w.ready = func() []*Proc { return ready }
	var next func()
	next = func() {
		w.at(time.Duration(w.Rand.ExpFloat64()/rate*1e9), next)
		if w.Routed {
			w.shot(w.ready, fmt.Sprintf("/m%d/x", w.Rand.Intn(roads)), "", 0)
			return
		}
		lane := serviceName(w.Rand.Intn(w.Services))
		key := ""
		if w.Rand.Intn(3) == 0 {
			lane += "-once"
			w.visits++
			key = fmt.Sprintf("key-%d", w.visits)
		} else {
			lane += "-look"
		}
		w.shot(w.ready, lane, key, 0)
	}
	next()
}

type attempt struct {
	lane string
	key  string
	at   ident.Moment
}

func (w *World) askAgain() {
	for i := len(w.recent) - 1; i >= 0 && w.Now.Sub(w.recent[i].at) < 150*ms; i-- {
		k := w.recent[i]
		w.at(time.Duration(3000+w.Rand.Intn(3000))*ms, func() { w.shot(w.ready, k.lane, k.key, 3) })
	}
}

func (w *World) shot(ready func() []*Proc, lane, key string, n int) {
	list := ready()
	if len(list) == 0 {
		w.Count["no node ready"]++
		return
	}
	p := list[int(float64(len(list))*math.Pow(w.Rand.Float64(), max(1, w.Skew)))]
	tally, leaves := &share{why: map[string]int{}}, w.leaves()
	if n == 0 && !leaves {
		tally = w.tally(lane)
	}
	tally.asked++
	again := func() {
		if key != "" && n < 3 && w.Rand.Intn(2) == 0 {
			w.at(time.Duration(w.Rand.Intn([]int{300, 6000}[w.Rand.Intn(2)]))*ms, func() { w.shot(ready, lane, key, n+1) })
		}
	}
	heard := false
	w.at(ms, func() {
		if !p.up {
			w.Count["connection refused"]++
			again()
			return
		}
		go_ := func() {
			if p.node == nil {
				return
			}
			id := p.node.arrive(lane, key, 2*time.Second, func(a forward.Answer, served bool) {
				if heard {
					return
				}
				heard = true
				if !served {
					tally.why[a.Reason]++
				}
				switch {
				case served:
					w.Count["served"]++
					tally.served++
					w.Served = append(w.Served, w.Now)
					if key != "" {
						w.recent = append(w.recent, attempt{lane, key, w.Now})
					}
				case a.Status == 0:
					w.Count["broken off"]++
				default:
					w.Count[fmt.Sprintf("%d ran %s", a.Status, a.Ran)]++
					w.Count["why "+a.Reason]++
				}
				if !served || w.Rand.Intn(20) == 0 {
					again()
				}
			})
			if n := p.node; id != "" && leaves {
				n.clientLeaves(id, w.patience())
			}
		}
		if p.frozen {
			p.held = append(p.held, go_)
			return
		}
		go_()
	})
	w.at(2500*ms, func() {
		if !heard {
			heard = true
			w.Count["no answer"]++
			again()
		}
	})
}

type share struct {
	asked, served int
	why           map[string]int
}

func (w *World) tally(lane string) *share {
	by := w.seconds[lane]
	if by == nil {
		by = map[int]*share{}
		w.seconds[lane] = by
	}
	k := int(w.Now.Sub(w.start) / time.Second)
	if by[k] == nil {
		by[k] = &share{why: map[string]int{}}
	}
	return by[k]
}

func (w *World) served(lane string, from, to time.Duration) (s share) {
	s.why = map[string]int{}
	for l, by := range w.seconds {
		for k, v := range by {
			if at := time.Duration(k) * time.Second; (lane == "" || lane == l) && at >= from && at < to {
				s.asked, s.served = s.asked+v.asked, s.served+v.served
				for k, n := range v.why {
					s.why[k] += n
				}
			}
		}
	}
	return s
}

func (s share) of() float64 {
	if s.asked == 0 {
		return 0
	}
	return float64(s.served) / float64(s.asked)
}

func (w *World) pounced(n *nodeSim, e forward.Trace) {
	t := n.trips[e.Request]
	if w.pounces == 0 || t == nil || t.key == "" || e.To != w.pounce {
		return
	}
	w.pounces--
	for i := 0; i < 2; i++ {
		w.at(time.Duration(w.Rand.Intn(40))*ms, func() { w.shot(w.ready, string(t.lane), t.key, 3) })
	}
	l := w.Leader()
	switch how := w.Rand.Intn(6); {
	case how == 0:
		w.at(0, func() { w.Kill(n.p) })
		w.at(time.Second, func() { w.Start(n.p) })
	case how == 1 && l != nil && w.disksUp() == w.Controls && w.voters():
		w.at(0, func() { w.Wipe(l) })
		w.at(time.Second, func() { w.Start(l) })
	case how == 2 && l != nil:
		w.at(0, func() { w.Kill(l) })
		w.at(time.Second, func() { w.Start(l) })
	}
}
