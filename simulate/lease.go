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
	silence     = time.Second
	orderEvery  = 400 * ms
	orders      = 12
	fencedAck   = time.Second
	unfencedAck = 500 * ms
)

type order struct {
	id    string
	set   *wire.SetDesired
	at    ident.Moment
	bound time.Duration
	done  bool
}

// order has an operator ask one control process after another, each for a second at most, and says how long the yes took.
func (w *World) order(n int, bound time.Duration, victims []*Proc, tell func(took time.Duration)) {
	l := w.Leader()
	if l == nil {
		w.Break("no leader in a calm core", "order %d", n)
		return
	}
	o := &order{id: fmt.Sprint("order-", n), at: w.Now, bound: bound}
	o.set = &wire.SetDesired{Basis: uint64(l.control.Book.Generation), ChangeId: o.id, Doc: []byte(w.Doc0(w.Nodes, n%3, 2, Cap))}
	var try func(k int)
	try = func(k int) {
		if o.done || k > 20 {
			return
		}
		w.change(w.someControl(), o.set, func(r *wire.ProposeReply) {
			switch code := ledger.Code(r.Code); {
			case o.done || code == ledger.Lost:
			case code != ledger.Done:
				w.Break("a proper order was refused", "%s: %s", o.id, code)
			default:
				o.done = true
				w.yes(o.id, r)
				if r.Generation > w.acked {
					w.acked, w.ackedDoc, w.ackAt = r.Generation, o.id, w.Now
				}
				took := w.Now.Sub(o.at)
				tell(took)
				if took > o.bound {
					w.Break("an order was acknowledged late", "%s after %v, bound %v", o.id, took, o.bound)
				}
			}
		})
		w.at(silence, func() { try(k + 1) })
	}
	try(0)
	w.at(bound+time.Second, func() {
		if !o.done {
			w.Break("an order was acknowledged late", "%s has no yes after %v", o.id, w.Now.Sub(o.at))
		}
	})
}

func (w *World) fenced(list []*Proc) bool {
	l := w.Leader()
	for _, p := range list {
		ok := false
		for k, v := range l.control.Book.Seats {
			ok = ok || v.Addr == p.Addr && l.control.Book.Revoked[k].GetFenced()
		}
		if !ok {
			return false
		}
	}
	return true
}

// inRow gives twelve orders while the victims are silent; each is due a second after its asking once all of them are fenced, a tenure and half a second before.
func (w *World) inRow(r *Result, n *int, victims []*Proc, tenure time.Duration) {
	for range orders {
		*n++
		bound := tenure + unfencedAck
		if w.fenced(victims) {
			bound = fencedAck
			w.Count["orders beside a fence"]++
		}
		w.order(*n, bound, victims, func(took time.Duration) { r.Ack = max(r.Ack, took) })
		w.Run(orderEvery)
	}
}

func (w *World) calmer(victims []*Proc) {
	w.Heal()
	for _, p := range victims {
		if !p.up {
			w.Start(p)
		}
	}
	for k := 0; k < 100 && w.Ready() < w.Nodes; k++ {
		w.Run(100 * ms)
	}
	if w.Ready() < w.Nodes {
		w.Break("a node did not come back", "%d of %d ready 10 s after", w.Ready(), w.Nodes)
	}
	if l := w.Leader(); l != nil && len(l.control.Book.Revoked) > 0 {
		w.Run(2 * time.Second)
		if n := len(l.control.Book.Revoked); n > 0 {
			w.Break("a lease stays revoked though its node is back", "%d", n)
		}
	}
}

var leaseScenes = []*Scene{
	{Name: "silent-seats", Text: "nodes are frozen, killed or cut off, both ways or one, while twelve orders come 0.4 s apart, again and again", config: func(c *Config) {}, play: func(w *World, r *Result, gen *uint64) {
		n := 0
		for range 3 {
			w.Run(time.Duration(1000+w.Rand.Intn(1000)) * ms)
			var list []*Proc
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
					w.Say("%s hears nobody: %v, else nobody hears it", p.Name, in)
					for _, q := range w.Procs {
						if a, b := q.Name, p.Name; q != p && in {
							w.Cut(a, b, false)
						} else if q != p {
							w.Cut(b, a, false)
						}
					}
				}
			}
			w.inRow(r, &n, list, relay.CoreTenure)
			w.Run(relay.CoreTenure)
			if w.Rand.Intn(2) == 0 {
				w.inRow(r, &n, list, relay.CoreTenure)
			}
			w.Run(4 * time.Second)
			w.calmer(list)
		}
	}},
	{Name: "flapping-seats", Text: "a node is cut off for a moment again and again, with orders at once after each cut", config: func(c *Config) { c.Rate = 200 }, play: func(w *World, r *Result, gen *uint64) {
		n := 0
		p := w.Node(w.Rand.Intn(w.Nodes))
		for range 4 {
			w.Isolate(p)
			w.Run(time.Duration(1300+w.Rand.Intn(1500)) * ms)
			w.Heal()
			w.Run(relay.CoreTenure + time.Duration(300+w.Rand.Intn(1500))*ms)
			w.Isolate(p)
			for range 4 {
				n++
				w.order(n, relay.CoreTenure+unfencedAck, []*Proc{p}, func(took time.Duration) { r.Ack = max(r.Ack, took) })
				w.Run(orderEvery)
			}
			w.Run(time.Duration(w.Rand.Intn(3000)) * ms)
			w.calmer([]*Proc{p})
		}
	}},
}

func init() { Scenes = append(Scenes, leaseScenes...) }

// heedless makes a node take any word as its lease and never ask for a revoked one.
func (w *World) heedless(p *Proc, f *wire.Frame) bool {
	if w.Weak != "heed" || p.node == nil {
		return false
	}
	for _, c := range f.GetAsk().GetConfirms() {
		c.Restores = 0
	}
	return f.GetPropose().GetChange().GetNoop() != nil
}
