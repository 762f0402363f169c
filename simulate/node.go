package simulate

import (
	"fmt"
	"sort"
	"time"

	"sloeturn/data"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/pass"
	"sloeturn/wire"
)

type link struct {
	id    uint64
	from  *nodeSim
	place string
	life  string
	key   pass.Key
	busy  ident.RequestID
	guard bool
	open  bool
	idle  bool
}

type trip struct {
	visit   ident.RequestID
	lane    ident.Lane
	service string
	key     string
	arrived ident.Moment
	link    *link
	frozen  bool
	bad     bool
	// client is shared by the attempts of a request, the rest is one attempt's own.
	client  *client
	job     *job
	written bool
	// reachesAt is when the written request reaches its backend: a closed half can't overtake it.
	reachesAt ident.Moment
	canceled  bool
	routed
	done func(a forward.Answer, served bool)
}

type nodeSim struct {
	p      *Proc
	state  *data.State
	links  map[uint64]*link
	trips  map[ident.RequestID]*trip
	guards map[ident.Addr]*link
	life   uint64
	visits uint64
}

func newNode(p *Proc, b data.Boot) *nodeSim {
	n := &nodeSim{p: p, state: data.New(b, p.clock()), links: map[uint64]*link{}, trips: map[ident.RequestID]*trip{}, guards: map[ident.Addr]*link{}, life: p.life}
	if p.w.Weak == "gate" {
		n.state.Gate = func(v *forward.Request, now ident.Moment) (ident.Moment, string) {
			if n.state.Relay.Desired == nil || n.state.Seat() < 0 {
				return 0, "no desired state"
			}
			return now.Add(time.Hour), ""
		}
	}
	return n
}

func (n *nodeSim) later(d time.Duration, do func()) {
	n.p.w.at(d, func() { n.run(do) })
}

func (n *nodeSim) run(do func()) {
	if n.p.node != n {
		return
	}
	if n.p.frozen {
		n.p.held = append(n.p.held, func() { n.run(do) })
		return
	}
	do()
}

func (n *nodeSim) wait() time.Duration {
	return time.Duration(50+n.p.w.Rand.Intn(1500)) * time.Microsecond
}

func (n *nodeSim) crash() {
	for _, l := range n.sorted() {
		n.p.w.close(l)
	}
	for _, v := range ident.Keys(n.trips) {
		t := n.trips[v]
		n.p.w.at(0, func() {
			if t.done != nil {
				t.done(forward.Answer{Status: 0}, false)
			}
		})
	}
}

func (n *nodeSim) sorted() []*link {
	var out []*link
	for _, l := range n.links {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

func (n *nodeSim) open(place string, key pass.Key, life string) *link {
	w := n.p.w
	b := w.byPlace[place]
	if b != nil && b.mode == "refuse" && key.Lane != pass.ProbeLane {
		return nil
	}
	if b == nil || !b.up || w.cut[[2]string{n.p.Name, b.name}] {
		return nil
	}
	w.seq++
	l := &link{id: w.seq, from: n, place: place, life: life, key: key, open: true}
	n.links[l.id] = l
	b.join(l)
	count := 0
	for _, o := range n.links {
		if o.open && o.key == key {
			count++
		}
	}
	if most := w.slotsOf(key.Lane); count > most {
		w.Break("lane past its fence", "%s holds %d of lane %q at %s, fence %d", n.p.Name, count, key.Lane, place, most)
	}
	return l
}

func (n *nodeSim) takeIdle(k pass.Key, life string) *link {
	var found *link
	lost := -1
	for _, l := range n.sorted() {
		if !l.idle || l.key != k {
			continue
		}
		if l.life == life {
			found = l
			lost++
			break
		}
		n.dropLink(l)
		lost++
	}
	for ; lost > 0; lost-- {
		n.p.step(data.IdleBroke{Key: k})
	}
	return found
}

func (n *nodeSim) dropLink(l *link) {
	delete(n.links, l.id)
	n.p.w.close(l)
}

func (n *nodeSim) obey(list []any) {
	p := n.p
	w := p.w
	for _, e := range list {
		switch e := e.(type) {
		case wire.Send:
			if w.Weak == "claims" {
				if c := e.Frame.GetPropose().GetChange().GetClaim(); c != nil {
					t := e.Frame.GetPropose().Token
					n.later(ms, func() {
						p.step(data.Got{Frame: &wire.Frame{Body: &wire.Frame_ProposeReply{ProposeReply: &wire.ProposeReply{Token: t, Visit: c.Visit}}}})
					})
					continue
				}
			}
			p.send(e)
		case forward.Dial:
			n.later(n.wait(), func() { n.dial(e) })
		case forward.Hedge:
			if t := n.trips[e.Request]; t != nil {
				c := *t
				c.visit, c.link, c.job = e.Hedge, nil, nil
				c.written, c.canceled = false, false
				n.trips[e.Hedge] = &c
			}
		case forward.Write:
			n.later(n.wait()/4, func() { n.write(e) })
		case forward.Drop:
			n.later(0, func() { n.keep(e.Request) })
		case forward.Cancel:
			n.cancel(e)
		case forward.Cut:
			if t := n.trips[e.Request]; t != nil && t.link != nil {
				l := t.link
				n.dropLink(l)
				n.later(0, func() { n.ended(t, l, forward.TimedOut, 0, false) })
			}
		case forward.Answer:
			n.answer(e)
		case forward.Deliver:
			n.later(0, func() { n.p.step(data.Written{Request: e.Request}) })
			if t := n.trips[e.Request]; t != nil && t.done != nil {
				d := t.done
				t.done = nil
				t.client.over(w.Now)
				n.passedOn(t, e.Attempt)
				if t.bad && !w.Routed {
					w.Break("garbled answer passed on", "%s", t.visit)
				}
				d(forward.Answer{Status: 200, Ran: forward.RanYes}, true)
			}
		case pass.Close:
			n.later(n.wait(), func() {
				for i := 0; i < e.Count; i++ {
					for _, l := range n.sorted() {
						if l.idle && l.key == e.Key {
							n.dropLink(l)
							p.step(data.IdleBroke{Key: e.Key})
							break
						}
					}
				}
			})
		case data.Shed:
			n.later(n.wait(), func() {
				for _, l := range n.sorted() {
					if l.idle && e.Lives[l.key.Addr] != l.life {
						n.dropLink(l)
						p.step(data.IdleBroke{Key: l.key})
					}
				}
			})
		case data.Guard:
			n.later(n.wait(), func() { n.guard(e) })
		case data.GuardAsk:
			n.later(n.wait(), func() {
				l := n.guards[e.Addr]
				if b := w.byPlace[string(e.Addr)]; l != nil && l.open && l.life == e.Life && !b.closes {
					n.later(n.wait(), func() {
						if l.open {
							p.step(data.GuardSound(e))
						}
					})
				}
			})
		case data.GuardEnd:
			n.later(n.wait(), func() {
				if l := n.guards[e.Addr]; l != nil && l.life == e.Life {
					delete(n.guards, e.Addr)
					n.dropLink(l)
					p.step(data.GuardLost{Addr: e.Addr, Life: e.Life, Why: "ended"})
				}
			})
		case data.Announced:
			w.announced(e.Token, e.Code)
		case data.Note:
			w.Say("%s: %s", p.Name, e.Text)
		case data.Adopt:
			w.adopted(p, e)
		case forward.Trace:
			w.pounced(n, e)
			w.Say("%s visit %s lane %s: %s to %s at %s %s", p.Name, e.Request, e.Lane, e.From, e.To, e.Addr, e.Note)
		case data.Exit:
			w.Say("%s ends", p.Name)
			n.leave()
			w.at(300*ms, func() {
				if w.mended {
					w.Start(p)
				}
			})
		}
	}
}

func (n *nodeSim) leave() {
	w := n.p.w
	for _, v := range ident.Keys(n.trips) {
		if k := n.state.Find(v); k != nil && k.Phase == forward.Sent && n.trips[v].link != nil {
			w.Break("planned stop cut a visit", "%s left %s behind", n.p.Name, v)
		}
	}
	p := n.p
	w.at(0, func() {
		if p.node == n {
			p.stopNow()
		}
	})
}

func (n *nodeSim) guard(e data.Guard) {
	l := n.open(string(e.Addr), pass.Key{Lane: pass.ProbeLane, Addr: e.Addr}, e.Life)
	if l == nil {
		n.p.step(data.GuardLost{Addr: e.Addr, Life: e.Life, Why: "refused"})
		return
	}
	l.guard = true
	n.guards[e.Addr] = l
	b := n.p.w.byPlace[string(e.Addr)]
	n.later(n.wait(), func() {
		if !l.open || n.guards[e.Addr] != l {
			return
		}
		if b.names && (b.service != string(e.Service) || b.life != e.Life) && n.p.w.Weak != "identity" {
			delete(n.guards, e.Addr)
			n.dropLink(l)
			n.p.step(data.GuardLost{Addr: e.Addr, Life: e.Life, Why: "another answers"})
			return
		}
		n.p.step(data.GuardMade{Addr: e.Addr, Life: e.Life, Named: b.names || n.p.w.Weak == "identity"})
	})
}

func (n *nodeSim) dial(e forward.Dial) {
	var l *link
	if e.Reuse {
		l = n.takeIdle(e.Key, e.Backend.Life)
		if l != nil && e.Attempt == 1 && !n.p.w.Routed && n.trips[e.Request] != nil {
			n.p.w.traffic[n.trips[e.Request].service] = append(n.p.w.traffic[n.trips[e.Request].service], n.p.w.Now)
		}
	}
	if l == nil {
		if e.Backend.Barred {
			n.p.step(data.ConnectFailed{Request: e.Request, Attempt: e.Attempt, Key: e.Key})
			return
		}
		if e.Attempt == 1 && !n.p.w.Routed && n.trips[e.Request] != nil {
			n.p.w.traffic[n.trips[e.Request].service] = append(n.p.w.traffic[n.trips[e.Request].service], n.p.w.Now)
		}
		l = n.open(string(e.Key.Addr), e.Key, e.Backend.Life)
		if e.Attempt > 1 && !n.p.w.Routed && n.trips[e.Request] != nil {
			n.p.w.further[n.trips[e.Request].service] = append(n.p.w.further[n.trips[e.Request].service], n.p.w.Now)
		}
	}
	t := n.trips[e.Request]
	if l == nil {
		n.p.step(data.ConnectFailed{Request: e.Request, Attempt: e.Attempt, Key: e.Key, Bar: true})
		return
	}
	l.idle = false
	if t == nil {
		l.idle = true
		n.p.step(data.Freed{Key: e.Key, Keep: true})
		return
	}
	t.link = l
	l.busy = e.Request
	n.p.step(data.Connected{Request: e.Request, Attempt: e.Attempt})
}

func (n *nodeSim) keep(v ident.RequestID) {
	t := n.trips[v]
	if t == nil || t.link == nil {
		return
	}
	l := t.link
	t.link = nil
	l.busy = ""
	if l.open {
		l.idle = true
		n.p.step(data.Freed{Key: l.key, Keep: true})
	} else {
		n.p.step(data.Freed{Key: l.key, Bar: true})
	}
	n.forget(t)
}

func (n *nodeSim) forget(t *trip) {
	if t.done == nil && t.link == nil && n.state.Find(t.visit) == nil {
		delete(n.trips, t.visit)
	}
}

func (n *nodeSim) write(e forward.Write) {
	if v := n.state.Find(e.Request); v != nil && v.Attempt != e.Attempt {
		return
	}
	t := n.trips[e.Request]
	if t == nil || t.link == nil {
		n.p.step(data.NotWritten{Request: e.Request, Attempt: e.Attempt, Why: "no connection"})
		return
	}
	l := t.link
	if !l.open {
		t.link = nil
		delete(n.links, l.id)
		n.p.step(data.NotWritten{Request: e.Request, Attempt: e.Attempt, Why: "broke before the first byte"})
		n.p.step(data.Freed{Key: l.key, Bar: true})
		return
	}
	w := n.p.w
	if n.p.clock().After(e.NotAfter) && w.Weak != "gate" {
		n.p.step(data.NotWritten{Request: e.Request, Attempt: e.Attempt, Why: "lease ran out"})
		n.keep(e.Request)
		return
	}
	if t.canceled {
		n.p.step(data.NotWritten{Request: e.Request, Attempt: e.Attempt, Why: "canceled"})
		n.keep(e.Request)
		return
	}
	t.shot, t.written = e.Attempt, true
	if g := uint64(n.state.Relay.DocGen); g < w.acked && w.Stale == 0 {
		w.Break("older generation served", "%s sends under %d after %d was acknowledged", n.p.Name, g, w.acked)
	}
	w.still(n.p)
	b := w.byPlace[l.place]
	way := n.wait()
	t.reachesAt = w.Now.Add(way)
	w.at(way, func() { b.take(t, l) })
}

func (n *nodeSim) ended(t *trip, l *link, how forward.Ending, status int, bar bool) {
	n.run(func() {
		if t.link != l {
			return
		}
		t.link = nil
		l.busy = ""
		t.written = false
		if t.canceled && how == forward.Broken {
			how, bar = forward.Canceled, false
		}
		how = t.heard(n.p.w, how, status)
		if how == forward.Broken && n.p.w.Weak == "told" {
			n.p.step(data.NotWritten{Request: t.visit, Attempt: t.shot, Why: "a lie"})
		} else {
			n.p.step(data.Ended{Request: t.visit, Attempt: t.shot, Ending: how, Status: status})
		}
		b := n.p.w.byPlace[l.place]
		keep := (how == forward.Complete || how == forward.TurnedAway) && l.open && !b.closes && !t.canceled
		if keep {
			l.idle = true
			b.tire(l)
		} else {
			delete(n.links, l.id)
			n.p.w.close(l)
		}
		n.p.step(data.Freed{Key: l.key, Keep: keep, Bar: bar})
		n.forget(t)
	})
}

func (n *nodeSim) broke(l *link) {
	n.run(func() {
		delete(n.links, l.id)
		switch {
		case l.guard:
			if n.guards[l.key.Addr] == l {
				delete(n.guards, l.key.Addr)
				n.p.step(data.GuardLost{Addr: l.key.Addr, Life: l.life, Why: "broke"})
			}
		case l.idle:
			l.idle = false
			n.p.step(data.IdleBroke{Key: l.key, Bar: true})
		case l.busy != "":
			if t := n.trips[l.busy]; t != nil && t.link == l && t.written && n.state.Find(t.visit) != nil && n.state.Find(t.visit).Phase == forward.Sent {
				n.ended(t, l, forward.Broken, 0, true)
			}
		}
	})
}

func (n *nodeSim) answer(a forward.Answer) {
	t := n.trips[a.Request]
	if t == nil || t.done == nil {
		return
	}
	w := n.p.w
	if a.Status == 503 && a.Ran == forward.RanNo {
		t.refused = true
		took := w.Now.Sub(t.arrived)
		if !t.frozen {
			if t.reached > 0 {
				took = 0
			}
			w.slowestRefusal = max(w.slowestRefusal, took)
			if took > 210*ms || t.aim > 0 && took > t.aim/4+15*ms {
				w.Break("refusal late", "%s after %v: %s", a.Request, took, a.Reason)
			}
		}
		if w.ranBy[string(a.Request)] > 0 {
			w.Break("told not run, but it ran", "%s: %s", a.Request, a.Reason)
		}
		if a.RetryAfter == 0 {
			w.Break("refusal without a time to come back", "%s: %s", a.Request, a.Reason)
		}
	}
	d := t.done
	t.done = nil
	t.client.over(w.Now)
	d(a, false)
	n.later(0, func() { n.forget(t) })
}

func (n *nodeSim) arrive(lane, key string, left time.Duration, done func(a forward.Answer, served bool)) ident.RequestID {
	d := n.state.Relay.Desired
	if n.p.w.Routed {
		return n.routed(lane, left, done)
	}
	if d == nil || d.Lanes[ident.Lane(lane)] == nil {
		done(forward.Answer{Status: 503, Ran: forward.RanNo, Reason: "no desired state"}, false)
		return ""
	}
	n.visits++
	rule := d.Lanes[ident.Lane(lane)]
	id := ident.RequestID(fmt.Sprintf("%s-%d-%d", n.p.Name, n.life, n.visits))
	t := &trip{visit: id, lane: rule.Name, service: string(rule.Service), key: key, arrived: n.p.w.Now, done: done}
	n.trips[id] = t
	n.watch(t)
	at := n.p.clock()
	if n.p.w.Weak == "patience" {
		at = at.Add(2 * time.Second)
	}
	a := forward.Arrival{ID: id, Lane: rule.Name, Rule: rule, Arrived: at, Deadline: n.p.clock().Add(left)}
	if key != "" {
		a.Key = []byte(key)
		a.Body = []byte("body")
	}
	n.p.step(data.Arrive{Arrival: a})
	return id
}
