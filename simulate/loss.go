package simulate

import (
	"time"

	"sloeturn/ident"
)

// cutPartly cuts a process off from others: direction 0 cuts both ways, 1 what it sends, 2 what it receives.
func (w *World) cutPartly(p *Process, direction int, controlOnly bool) {
	w.Tracef("%s is cut off, way %d, from the core only: %v", p.Name, direction, controlOnly)
	for _, q := range w.Processes {
		if q == p || controlOnly && q.disk == nil {
			continue
		}
		if direction != 2 {
			w.CutLink(p.Name, q.Name, false)
		}
		if direction != 1 {
			w.CutLink(q.Name, p.Name, false)
		}
	}
	w.checker.cutAt[p.Name] = w.Now
}

func (w *World) healLinks() {
	w.cutLinks = map[[2]string]bool{}
	w.checker.cutAt = map[string]ident.Moment{}
	w.Tracef("all links are whole again")
}

// pickTarget chooses a control process: most often the leader, sometimes the holder of the first cell.
func (w *World) pickTarget() *Process {
	list := w.controlProcesses()
	l := w.Leader()
	switch k := w.Rand.Intn(8); {
	case k < 5 && l != nil:
		return l
	case k == 5 && l != nil:
		for _, h := range l.control.Ledger.CellHolders {
			if p := w.processByName(h.Holder); p != nil && h.Cell == w.cellName(0) {
				return p
			}
		}
	}
	return list[w.Rand.Intn(len(list))]
}

// injectMinorFault injects at most one fault that makes no process count as lost, besides those that are.
func (w *World) injectMinorFault(lost *Process) {
	list := w.controlProcesses()
	p := list[w.Rand.Intn(len(list))]
	switch w.Rand.Intn(6) {
	case 0:
		w.Tracef("%s: clock leaps", p.Name)
		p.clockOffset += time.Duration(w.Rand.Intn(4000)) * ms
	case 1:
		w.Tracef("%s: its links are reset", p.Name)
		p.linkResets++
	case 2:
		w.lossRate, w.duplicateRate, w.extraDelay = 0.1, 0.2, 40*ms
		w.after(time.Duration(w.Rand.Intn(1500))*ms, func() { w.lossRate, w.duplicateRate, w.extraDelay = 0, 0, 0 })
	case 3:
		w.Freeze(w.Node(w.Rand.Intn(w.Nodes)), time.Duration(w.Rand.Intn(9000))*ms)
	case 4:
		if lost != nil && lost.up && !lost.disk.stalled {
			w.stallDisk(lost, time.Duration(200+w.Rand.Intn(1500))*ms)
		}
	}
}

func (w *World) stallDisk(p *Process, d time.Duration) {
	w.Tracef("%s: disk stalls for %v", p.Name, d)
	k := p.disk
	k.stalled = true
	w.after(300*ms, func() {
		if p.disk == k && k.stalled && p.up {
			p.step(diskEvent(true))
		}
	})
	w.after(d, func() {
		k.stalled = false
		if p.disk == k && p.up {
			p.step(diskEvent(false))
			p.writeDisk()
		}
	})
}

// fillDisk has a disk refuse every write for a while; the process is restarted afterwards.
func (w *World) fillDisk(p *Process, d time.Duration) {
	w.Tracef("%s: disk refuses for %v", p.Name, d)
	k := p.disk
	k.full = true
	if p.up {
		p.step(diskEvent(true))
	}
	w.after(d, func() {
		if p.disk == k && k.full {
			w.Kill(p)
			k.full = false
			w.Start(p)
		}
	})
}

// loseMachine takes a machine away in one of several ways and brings it, or an empty one in its place, back. It
// returns the time after which the machine is back and, if its disk then stalls or fills up, works again.
func (w *World) loseMachine(p *Process, spare func() *Process) (returnAfter time.Duration) {
	returnAfter = time.Duration(w.Rand.Intn(1500)) * ms
	start := func(q *Process, wiped bool) {
		w.after(returnAfter, func() {
			q.joinsExisting = q.joinsExisting || wiped
			w.Start(q)
		})
	}
	kind := w.Rand.Intn(5)
	if kind == 3 && (p.up && p.control != nil) {
		w.Tracef("%s is asked to stop", p.Name)
		p.step(stopControl())
		w.after(time.Duration(500+w.Rand.Intn(2500))*ms, func() { w.Kill(p) })
		returnAfter += 3 * time.Second
		if q := spare(); q != nil {
			w.after(3*time.Second, func() { p.removed, q.removed = true, false })
			start(q, true)
		} else {
			start(p, false)
		}
		return returnAfter
	}
	q := p
	switch {
	case kind == 0:
		w.Kill(p)
		start(p, false)
	case kind == 1:
		w.Wipe(p)
		start(p, true)
	default:
		w.Kill(p)
		if q = spare(); q == nil {
			w.Wipe(p)
			q = p
		} else {
			p.removed, q.removed = true, false
		}
		start(q, true)
	}
	if w.Rand.Intn(4) == 0 {
		d := time.Duration(300+w.Rand.Intn(1500)) * ms
		at := returnAfter + time.Duration(w.Rand.Intn(400))*ms
		w.after(at, func() {
			if w.Rand.Intn(2) == 0 {
				w.stallDisk(q, d)
			} else {
				w.fillDisk(q, d)
			}
		})
		returnAfter = at + d
	}
	return returnAfter
}

// takeSpare returns a spare process that was not used before, or nil.
func (w *World) takeSpare() *Process {
	for _, p := range w.Processes[len(w.Processes)-w.Spares:] {
		if p.removed && p.starts == 0 && !p.assigned {
			p.assigned = true
			return p
		}
	}
	return nil
}

// lossesInTurn loses up to MaxLosses control processes at once, n times, each time as soon as CatchUpTime has
// passed since the last ones returned.
func (w *World) lossesInTurn(n int) {
	for i := 0; i < n; i++ {
		list := w.controlProcesses()
		returnAfter := time.Duration(0)
		k := 1
		if w.MaxLosses > 1 {
			k += w.Rand.Intn(w.MaxLosses)
		}
		for j := 0; j < k; j++ {
			p := list[(i+j)%len(list)]
			if l := w.Leader(); j == 0 && l != nil && w.Rand.Intn(2) == 0 {
				p = l
			}
			if p.up && !p.removed {
				returnAfter = max(returnAfter, w.loseMachine(p, w.takeSpare))
			}
		}
		if w.Rand.Intn(3) == 0 {
			w.after(returnAfter+time.Duration(w.Rand.Intn(1000))*ms, func() { w.injectMinorFault(nil) })
		}
		w.Run(returnAfter + w.CatchUpTime)
	}
}

// disruptLeader kills, freezes, cuts off or resets the leader, or has it transfer leadership.
func (w *World) disruptLeader() {
	l := w.Leader()
	if l == nil {
		return
	}
	d := time.Duration(100+w.Rand.Intn(2500)) * ms
	switch w.Rand.Intn(5) {
	case 0:
		w.Kill(l)
		w.after(d, func() { w.Start(l) })
	case 1:
		w.Freeze(l, d)
	case 2:
		l.control.Agreement.TransferLeadership(l.clock())
		l.control.Settle(l.clock())
		l.applyControlEffects(l.control.Take())
	case 3:
		w.cutPartly(l, w.Rand.Intn(3), w.Rand.Intn(2) == 0)
		w.after(d, w.healLinks)
	case 4:
		l.linkResets++
	}
}
