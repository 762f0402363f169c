package simulate

import (
	"time"

	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	// maxHeartbeatDelay is the longest network delay of a heartbeat in the deregistration scene.
	maxHeartbeatDelay = 3 * time.Second
	// drainTime is how long a backend continues to serve at least after its deregistration was acknowledged.
	drainTime = 2 * time.Second
)

// Deregister has a backend deregister, by its incarnation alone, at one control process after another until one
// acknowledges it: at first, then at random ones. The backend continues to serve but sends no more heartbeats.
func (b *Backend) Deregister(first *Process) {
	w, starts := b.w, b.starts
	b.silent = true
	var try func(p *Process)
	try = func(p *Process) {
		if !b.up || b.starts != starts {
			return
		}
		a := &wire.Announce{State: cell.Gone, Incarnation: b.incarnation}
		w.announceTo(p, a, ms, func() bool { return true }, func(ok bool) {
			switch {
			case b.starts != starts:
			case !ok:
				w.after(100*ms, func() { try(w.Control(w.Rand.Intn(w.Controls))) })
			case b.drainAckedAt == 0:
				b.drainAckedAt = w.Now
				w.Tracef("%s is known to have signed off", b.name)
			}
		})
	}
	try(first)
}

// playDeregistration plays one deregistration while heartbeats are still in flight: at a process that has just
// started, while the cell's holder is killed, for a backend that few processes know yet, or without any of these.
func (w *World) playDeregistration(b *Backend) {
	first := w.Control(w.Rand.Intn(w.Controls))
	kind := w.Rand.Intn(4)
	if kind == 2 {
		b.crash()
		b.start()
	}
	for i := 0; i < 3; i++ {
		b.send(cell.Ready, time.Duration(w.Rand.Intn(int(maxHeartbeatDelay/ms)))*ms, nil)
	}
	switch kind {
	case 0:
		w.Kill(first)
		w.Start(first)
	case 1:
		w.after(time.Duration(w.Rand.Intn(1500))*ms, func() { w.killHolder(b.cell) })
	case 2:
		starts := b.starts
		b.send(cell.Ready, ms, func(ok bool) {
			if ok && b.starts == starts {
				b.Deregister(first)
			}
		})
		return
	}
	b.Deregister(first)
}

// killHolder kills the holder of a cell and starts it again a second later.
func (w *World) killHolder(name string) {
	l := w.Leader()
	if l == nil || l.control.Ledger.CellHolders[ident.Cell(name)] == nil {
		return
	}
	if p := w.processByName(l.control.Ledger.CellHolders[ident.Cell(name)].Holder); p != nil && p.up {
		w.Kill(p)
		w.after(time.Second, func() { w.Start(p) })
	}
}

var deregistrationScene = &Scene{Name: "signed-off", Description: "backends sign off, serve on and end, their last beats still on their way; control processes are killed meanwhile", configure: configureRoutes, run: func(w *World, r *Result, gen *uint64) {
	w.nameBackends()
	for i := 0; i < 8; i++ {
		w.Run(contactTime + time.Second)
		b := w.Backends[w.Rand.Intn(len(w.Backends))]
		if !b.up || b.state != cell.Ready {
			continue
		}
		w.playDeregistration(b)
		w.Run(drainTime + time.Duration(w.Rand.Intn(5000))*ms)
		b.crash()
		w.after(time.Second, b.start)
	}
}}
