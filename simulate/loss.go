package simulate

import (
	"time"

	"sloeturn/ident"
)

// cutOff cuts a machine from others: 0 both ways, 1 it isn't heard, 2 it hears nothing.
func (w *World) cutOff(p *Proc, way int, core bool) {
	w.Say("%s is cut off, way %d, from the core only: %v", p.Name, way, core)
	for _, q := range w.Procs {
		if q == p || core && q.disk == nil {
			continue
		}
		if way != 2 {
			w.Cut(p.Name, q.Name, false)
		}
		if way != 1 {
			w.Cut(q.Name, p.Name, false)
		}
	}
	w.ops.cutAt[p.Name] = w.Now
}

func (w *World) rejoin() {
	w.cut = map[[2]string]bool{}
	w.ops.cutAt = map[string]ident.Moment{}
	w.Say("all links are whole again")
}

func (w *World) target() *Proc {
	list := w.disks()
	l := w.Leader()
	switch k := w.Rand.Intn(8); {
	case k < 5 && l != nil:
		return l
	case k == 5 && l != nil:
		for _, h := range l.control.Book.Holds {
			if p := w.byName(h.Holder); p != nil && h.Cell == w.cellName(0) {
				return p
			}
		}
	}
	return list[w.Rand.Intn(len(list))]
}

// spice adds a trouble that counts no machine as lost, beside those that are.
func (w *World) spice(lost *Proc) {
	list := w.disks()
	p := list[w.Rand.Intn(len(list))]
	switch w.Rand.Intn(6) {
	case 0:
		w.Say("%s: clock leaps", p.Name)
		p.skew += time.Duration(w.Rand.Intn(4000)) * ms
	case 1:
		w.Say("%s: its links are reset", p.Name)
		p.resets++
	case 2:
		w.loss, w.double, w.slow = 0.1, 0.2, 40*ms
		w.at(time.Duration(w.Rand.Intn(1500))*ms, func() { w.loss, w.double, w.slow = 0, 0, 0 })
	case 3:
		w.Freeze(w.Node(w.Rand.Intn(w.Nodes)), time.Duration(w.Rand.Intn(9000))*ms)
	case 4:
		if lost != nil && lost.up && !lost.disk.stuck {
			w.stall(lost, time.Duration(200+w.Rand.Intn(1500))*ms)
		}
	}
}

func (w *World) stall(p *Proc, d time.Duration) {
	w.Say("%s: disk stalls for %v", p.Name, d)
	k := p.disk
	k.stuck = true
	w.at(300*ms, func() {
		if p.disk == k && k.stuck && p.up {
			p.step(diskEvent(true))
		}
	})
	w.at(d, func() {
		k.stuck = false
		if p.disk == k && p.up {
			p.step(diskEvent(false))
			p.writeDisk()
		}
	})
}

// fill has a disk refuse every write from now on for a while; the process is started anew after it.
func (w *World) fill(p *Proc, d time.Duration) {
	w.Say("%s: disk refuses for %v", p.Name, d)
	k := p.disk
	k.full = true
	if p.up {
		p.step(diskEvent(true))
	}
	w.at(d, func() {
		if p.disk == k && k.full {
			w.Kill(p)
			k.full = false
			w.Start(p)
		}
	})
}

// lose takes a machine away in one of several ways and brings it, or an empty one in its place, back; the answer is when it is back.
func (w *World) lose(p *Proc, spare func() *Proc) (back time.Duration) {
	back = time.Duration(w.Rand.Intn(1500)) * ms
	start := func(q *Proc, wiped bool) {
		w.at(back, func() {
			q.joins = q.joins || wiped
			w.Start(q)
		})
	}
	how := w.Rand.Intn(5)
	if how == 3 && (p.up && p.control != nil) {
		w.Say("%s is asked to stop", p.Name)
		p.step(stopControl())
		w.at(time.Duration(500+w.Rand.Intn(2500))*ms, func() { w.Kill(p) })
		back += 3 * time.Second
		if q := spare(); q != nil {
			w.at(3*time.Second, func() { p.gone, q.gone = true, false })
			start(q, true)
		} else {
			start(p, false)
		}
		return back
	}
	q := p
	switch {
	case how == 0:
		w.Kill(p)
		start(p, false)
	case how == 1:
		w.Wipe(p)
		start(p, true)
	default:
		w.Kill(p)
		if q = spare(); q == nil {
			w.Wipe(p)
			q = p
		} else {
			p.gone, q.gone = true, false
		}
		start(q, true)
	}
	if w.Rand.Intn(4) == 0 {
		d := time.Duration(300+w.Rand.Intn(1500)) * ms
		at := back + time.Duration(w.Rand.Intn(400))*ms
		w.at(at, func() {
			if w.Rand.Intn(2) == 0 {
				w.stall(q, d)
			} else {
				w.fill(q, d)
			}
		})
		back = at + d
	}
	return back
}

func (w *World) spare() *Proc {
	for _, p := range w.Procs[len(w.Procs)-w.Spares:] {
		if p.gone && p.life == 0 && !p.taken {
			p.taken = true
			return p
		}
	}
	return nil
}

func (w *World) lossesInTurn(n int) {
	for i := 0; i < n; i++ {
		list := w.disks()
		back := time.Duration(0)
		k := 1
		if w.Losses > 1 {
			k += w.Rand.Intn(w.Losses)
		}
		for j := 0; j < k; j++ {
			p := list[(i+j)%len(list)]
			if l := w.Leader(); j == 0 && l != nil && w.Rand.Intn(2) == 0 {
				p = l
			}
			if p.up && !p.gone {
				back = max(back, w.lose(p, w.spare))
			}
		}
		if w.Rand.Intn(3) == 0 {
			w.at(back+time.Duration(w.Rand.Intn(1000))*ms, func() { w.spice(nil) })
		}
		w.Run(back + w.CatchUp)
	}
}

func (w *World) strikeLeader() {
	l := w.Leader()
	if l == nil {
		return
	}
	d := time.Duration(100+w.Rand.Intn(2500)) * ms
	switch w.Rand.Intn(5) {
	case 0:
		w.Kill(l)
		w.at(d, func() { w.Start(l) })
	case 1:
		w.Freeze(l, d)
	case 2:
		l.control.Agree.Resign(l.clock())
		l.control.Settle(l.clock())
		l.obeyControl(l.control.Take())
	case 3:
		w.cutOff(l, w.Rand.Intn(3), w.Rand.Intn(2) == 0)
		w.at(d, w.rejoin)
	case 4:
		l.resets++
	}
}
