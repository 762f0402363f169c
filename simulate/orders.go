package simulate

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

func (w *World) newOrder(base, edition uint64, word string) *submission {
	o := w.ops
	o.count++
	r := &submission{id: fmt.Sprintf("order-%d", o.count), base: base, edition: edition, first: w.Now}
	var more strings.Builder
	for i := 0; i < 40; i++ {
		fmt.Fprintf(&more, `,"%s-%d-tenant-%d":{}`, word, o.count, i)
	}
	r.doc = strings.Replace(w.roadDoc(int(edition)), `"tenants":{"mor":{}`, `"tenants":{"mor":{}`+more.String(), 1)
	o.orders[r.id] = r
	o.open = append(o.open, r)
	return r
}

// another is a machine that an order has not been sent to in this turn.
func (w *World) another(r *submission) *Proc {
	var left []*Proc
	for _, p := range w.disks() {
		if !slices.Contains(r.tried, p.Name) {
			left = append(left, p)
		}
	}
	if len(left) == 0 {
		r.tried = nil
		left = w.disks()
	}
	return left[w.Rand.Intn(len(left))]
}

// submit sends an order to one machine after another until there is a clear answer.
func (w *World) submit(r *submission, at *Proc, done func(code ledger.Code, edition uint64)) {
	o, over := w.ops, false
	var try func(n int, p *Proc)
	try = func(n int, p *Proc) {
		if over || n > 400 {
			return
		}
		moved := false
		next := func(pause time.Duration) {
			if !moved && !over {
				moved = true
				w.at(pause, func() { try(n+1, w.another(r)) })
			}
		}
		c := r.set()
		if w.Weak == "resent" && n > 0 {
			c.ChangeId += "-again"
		}
		w.at(askWait, func() { next(min(time.Second, time.Duration(n+1)*50*ms)) })
		r.tries++
		r.tried = append(r.tried, p.Name)
		w.Say("%s goes to %s", r.id, p.Name)
		w.change(p, c, func(a *wire.ProposeReply) {
			lost := w.Rand.Float64() < o.lose
			switch code := ledger.Code(a.Code); code {
			case ledger.Done:
				w.heardYes(r, p, a, lost)
				if !lost && !over {
					over = true
					done(code, a.Edition)
				}
			case ledger.Stale, ledger.Invalid:
				if g := o.taken[r.id]; g != 0 {
					w.Break("an order that was taken was refused", "%s, generation %d, by %s: %s", r.id, g, p.Name, code)
				}
				r.refused = true
				if !lost && !over {
					over = true
					done(code, a.Edition)
				}
			default:
				next(time.Duration(50+w.Rand.Intn(200)) * ms)
			}
		})
	}
	try(0, at)
}

func (w *World) heardYes(r *submission, p *Proc, a *wire.ProposeReply, lost bool) {
	o := w.ops
	if at := o.cutAt[p.Name]; at != 0 && !r.first.Before(at) {
		w.Break("a yes at the cut-off side", "%s by %s", r.id, p.Name)
	}
	if id := o.winner[a.Generation]; id != "" && id != r.id {
		w.Break("two winners under one number", "generation %d: %s and %s", a.Generation, id, r.id)
	}
	if id := o.number[r.edition]; id != "" && id != r.id {
		w.Break("both racers heard yes", "edition %d: %s and %s", r.edition, id, r.id)
	}
	if g := o.taken[r.id]; g != 0 && g != a.Generation {
		w.Break("two generations for one change", "%s: %d and %d", r.id, g, a.Generation)
	}
	o.winner[a.Generation], o.number[r.edition], o.taken[r.id] = r.id, r.id, a.Generation
	r.acked = true
	if lost {
		return
	}
	w.Count["orders acknowledged"]++
	w.Say("order %s acknowledged by %s as generation %d", r.id, p.Name, a.Generation)
	w.rise(a.Generation)
	if a.Generation > w.acked {
		w.acked, w.ackedDoc, w.ackAt = a.Generation, r.id, w.Now
	}
}

func (w *World) rise(g uint64) {
	if o := w.ops; g > o.floor {
		o.floor = g
		o.floors = append(o.floors, mark{w.Now, g})
	}
}

// read asks one machine for the newest generation, as an operator does.
func (w *World) read(p *Proc) {
	floor, end := w.ops.floor, w.Now.Add(readMost)
	answer := func(g ident.Generation, at *Proc) {
		if uint64(g) < floor {
			w.Break("a read went back", "%s reads %d by %s, %d was known before it asked", p.Name, g, at.Name, floor)
		}
		w.Count["reads"]++
		w.rise(uint64(g))
	}
	var at func(q *Proc, asked ident.Moment, onward bool)
	at = func(q *Proc, asked ident.Moment, onward bool) {
		if !q.up || q.control == nil || w.Now.After(end) {
			return
		}
		if q.frozen {
			q.held = append(q.held, func() { at(q, asked, onward) })
			return
		}
		if w.Weak == "read" {
			asked = 0
		}
		f := q.control.Read(0, false, asked, q.clock())
		g, wait, lead, ok := f.Generation, f.Wait, f.Lead, f.OK
		to := w.byAddr[lead]
		switch {
		case ok:
			w.at(hop, func() {
				if q == p || p.up && !w.cut[[2]string{q.Name, p.Name}] {
					answer(g, q)
				}
			})
		case wait:
			w.at(5*ms, func() { at(q, asked, onward) })
		case !onward && to != nil && to != q && !w.cut[[2]string{q.Name, to.Name}]:
			w.at(hop, func() { at(to, to.clock(), true) })
		}
	}
	w.at(hop, func() { at(p, p.clock(), false) })
}

// keepAsking has operators send orders, each on the one before, with pauses of least to most, and readers read at all machines.
func (w *World) keepAsking(least, most time.Duration) (stop func()) {
	on, known := true, uint64(opening)
	var next, look func()
	next = func() {
		if !on {
			return
		}
		w.at(least+time.Duration(w.Rand.Int63n(int64(most-least))), next)
		if len(w.ops.open) >= 8 {
			return
		}
		list := w.disks()
		r := w.newOrder(known, known+1, "one")
		known++
		w.submit(r, list[w.Rand.Intn(len(list))], func(code ledger.Code, edition uint64) {
			if code == ledger.Stale {
				known = edition
			}
		})
	}
	look = func() {
		if on {
			w.at(150*ms, look)
			list := w.disks()
			w.read(list[w.Rand.Intn(len(list))])
		}
	}
	next()
	look()
	return func() { on = false }
}

func (w *World) settleOrders() {
	if w.ops == nil {
		return
	}
	for k := 0; k < 200 && len(w.ops.open) > 0; k++ {
		w.Run(50 * ms)
	}
	w.Run(w.Contact + w.CatchUp)
	if l := w.Leader(); l != nil {
		w.audit(l)
		if l.control.Book.InForce < l.control.Book.Generation {
			w.Break("the newest generation never came in force", "%d of %d", l.control.Book.InForce, l.control.Book.Generation)
		}
	}
}

func (r *submission) set() *wire.SetDesired {
	return &wire.SetDesired{ByEdition: true, Basis: r.base, ChangeId: r.id, Doc: []byte(r.doc)}
}
