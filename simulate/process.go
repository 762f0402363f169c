package simulate

import (
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/control"
	"sloeturn/data"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

// clock returns the process's own monotonic time.
func (p *Process) clock() ident.Moment { return p.w.Now.Add(p.clockOffset) }

// tick steps the process on its timer. With some guards disabled it first overwrites the state that the guard
// protects.
func (p *Process) tick() {
	if p.control != nil {
		p.step(control.Tick{})
	} else {
		if p.w.DisabledGuard == "fresh" {
			p.node.state.Relay.CoreAsOf, p.node.state.Relay.LeaseRenewedAt = p.clock(), p.clock()
			for _, c := range p.node.state.Relay.Cells {
				c.AsOf = p.clock()
			}
		}
		if p.w.DisabledGuard == "heed" {
			p.node.state.Relay.LeaseRenewedAt = p.node.state.Relay.CoreAsOf
		}
		if p.w.DisabledGuard == "budget" {
			for i := 0; i < p.w.Services; i++ {
				p.node.state.CreditRetries(ident.Service(serviceName(i)), 50)
			}
		}
		p.step(data.Tick{})
	}
}

// step applies an event and the effects that follow, or defers it while the process is frozen.
func (p *Process) step(e any) {
	if !p.up {
		return
	}
	if p.frozen {
		p.deferred = append(p.deferred, func() { p.step(e) })
		return
	}
	if p.control != nil {
		p.control.Step(p.clock(), e)
		p.control.Settle(p.clock())
		p.applyControlEffects(p.control.Take())
		return
	}
	p.node.state.Step(p.clock(), e)
	p.node.applyEffects(p.node.state.TakeEffects())
}

// send delivers a frame over the simulated network, which may lose, delay or duplicate it. A reset of the links of
// either process drops it; a frame to a restarted process still arrives half of the time.
func (p *Process) send(m wire.Send) {
	w := p.w
	f := proto.Clone(m.Frame).(*wire.Frame)
	f.From, f.Addr, f.Incarnation = p.Name, p.Addr, uint64(p.starts)
	if w.DisabledGuard == "will" && f.GetBequest() != nil {
		return
	}
	w.tamperFrame(p, f)
	if w.tamperLeaseFrame(p, f) {
		return
	}
	w.SentFrames++
	if w.measuresTraffic {
		n := uint64(proto.Size(f))
		w.SentBytes += n
		w.bytesSentBy[p.Name] += n
	}
	to := w.processByAddr[m.To]
	if to == nil {
		return
	}
	if to != p && (w.cutLinks[[2]string{p.Name, to.Name}] || w.Rand.Float64() < w.lossRate) {
		return
	}
	copies := 1
	if to != p && w.Rand.Float64() < w.duplicateRate {
		copies = 2
	}
	starts, resets := to.starts, p.linkResets+to.linkResets
	transmission := w.transmissionDelay(p.Name, to.Name, f)
	for i := 0; i < copies; i++ {
		delay := transmission + time.Duration(200+w.Rand.Intn(1500))*time.Microsecond
		if w.extraDelay > 0 {
			delay += time.Duration(w.Rand.Int63n(int64(w.extraDelay)))
		}
		w.after(delay, func() {
			if p.linkResets+to.linkResets == resets && to.up && (to.starts == starts || w.Rand.Intn(2) == 0) {
				w.tamperArrival(f)
				if to.control != nil {
					to.step(control.FrameReceived{Frame: f})
				} else {
					to.step(data.FrameReceived{Frame: f})
				}
			}
		})
	}
}

func (p *Process) applyControlEffects(list []any) {
	for _, e := range list {
		switch e := e.(type) {
		case wire.Send:
			p.send(e)
		case agreement.RecordBatch:
			p.disk.queue = append(p.disk.queue, e)
			p.writeDisk()
		case control.SaveCopies:
			p.saveCopies(p.disk, e.Document)
		case control.AnnounceResult:
			p.w.announceAnswered(e.Token, e.Code)
		case control.ChangeResult:
			p.w.changeAnswered(e.Token, e.Reply)
		case control.WatchClock:
			p.watchClock(e.On)
		case control.LogNote:
			p.w.Tracef("%s: %s", p.Name, e.Text)
		case control.Exit:
			p.w.Tracef("%s ends", p.Name)
			p.stop()
			p.w.after(300*ms, func() {
				if p.w.restored {
					p.w.Start(p)
				}
			})
			return
		}
	}
}

// writeDisk starts a sync of the queued records unless one is running or the disk is stalled or full.
func (p *Process) writeDisk() {
	d := p.disk
	if p.w.ignoresSync {
		p.fakeSync()
		return
	}
	if d.syncing || len(d.queue) == 0 || d.stalled || d.full {
		return
	}
	list := d.queue
	d.queue = nil
	d.syncing = true
	for _, q := range list {
		d.pending = append(d.pending, q.Records...)
	}
	n := len(d.pending)
	starts := p.starts
	var done func()
	done = func() {
		if p.disk != d || !p.up || p.starts != starts {
			return
		}
		if d.stalled {
			p.w.after(20*ms, done)
			return
		}
		d.durable = append(d.durable, d.pending[:n]...)
		d.pending = append([]*wire.Record(nil), d.pending[n:]...)
		d.syncing = false
		d.compact()
		p.step(control.DiskSynced{Seq: list[len(list)-1].Seq, Used: d.usedRatio()})
		p.writeDisk()
	}
	p.w.after(d.syncDelay/2+time.Duration(p.w.Rand.Int63n(int64(d.syncDelay)))+d.writeTime(d.pending), done)
}

// saveCopies stores the saved copies of cell tables on the disk after a delay, which fails if the disk is full.
func (p *Process) saveCopies(d *disk, doc []byte) {
	starts := p.starts
	var done func()
	done = func() {
		switch {
		case p.disk != d || !p.up || p.starts != starts:
		case d.stalled:
			p.w.after(20*ms, done)
		case d.full:
			p.step(control.CopiesSaved{})
		default:
			d.savedCopies = doc
			p.step(control.CopiesSaved{OK: true})
		}
	}
	p.w.after(d.syncDelay/2+time.Duration(p.w.Rand.Int63n(int64(d.syncDelay))), done)
}

// fakeSync acknowledges records after 1 ms, up to 2 s before they are durable, which is the disabled guard sync.
func (p *Process) fakeSync() {
	d, starts := p.disk, p.starts
	for _, q := range d.queue {
		d.pending = append(d.pending, q.Records...)
		p.w.after(ms, func() {
			if p.disk == d && p.up && p.starts == starts {
				p.step(control.DiskSynced{Seq: q.Seq})
			}
		})
	}
	d.queue = nil
	if !d.syncing {
		d.syncing = true
		p.w.after(2*time.Second, func() {
			if p.disk == d && p.up && p.starts == starts {
				d.durable, d.pending, d.syncing = append(d.durable, d.pending...), nil, false
				d.compact()
			}
		})
	}
}

func (p *Process) stop() {
	if !p.up {
		return
	}
	p.up = false
	if p.node != nil {
		p.node.crash()
		p.node = nil
	}
	p.control = nil
}

// tamperFrame changes an outgoing frame as a process without the disabled guard would send it.
func (w *World) tamperFrame(p *Process, f *wire.Frame) {
	w.tamperCoreFrame(p, f)
	switch w.DisabledGuard {
	case "ack":
		for _, c := range f.GetAsk().GetConfirms() {
			c.Staged, c.Shrunk = 1<<40, 1<<40
		}
	case "clock":
		if r := f.GetAppendReply(); r != nil && r.WallMs != 0 {
			if l := p.w.Leader(); l != nil {
				r.WallMs = w.wallClock(l)
			}
		}
	case "basis":
		if c := f.GetPropose().GetChange().GetSetDesired(); c != nil {
			if l := p.w.Leader(); l != nil && !c.ByEdition {
				c.Basis = uint64(l.control.Ledger.Generation)
			} else if l != nil {
				c.Basis = l.control.Ledger.LatestEdition()
				tree, _ := desired.ReadTree(c.Doc)
				c.Doc = desired.Write(desired.Merge(tree, map[string]any{"edition": json.Number(fmt.Sprint(c.Basis + 1))}))
			}
		}
	case "ids":
		if c := f.GetPropose().GetChange().GetSetDesired(); c != nil {
			c.ChangeId = fmt.Sprint(w.Rand.Uint64())
		}
	case "law":
		if c := f.GetNews().GetCore(); c != nil && p.w.Leader() != nil {
			book := p.w.Leader().control.Ledger
			if d := book.DesiredState(book.Generation); d != nil {
				c.Floors, c.FloorsSame, c.SeatCount = nil, false, uint32(d.Seats())
				for k, n := range ledger.LaneSlots(d) {
					c.Floors = append(c.Floors, &wire.Floor{Lane: string(k.Lane), Service: string(k.Service), Slots: uint32(n)})
				}
			}
		}
	case "fence":
		for _, l := range f.GetNews().GetCore().GetFloors() {
			l.Slots *= 8
		}
		for _, c := range f.GetNews().GetCells() {
			for _, r := range c.Ranges {
				for _, b := range r.Backends {
					b.Work *= 40
				}
			}
		}
	}
}

// tamperArrival changes an incoming frame as a process without the disabled guard would read it.
func (w *World) tamperArrival(f *wire.Frame) {
	c := f.GetPropose().GetChange().GetSeatTake()
	if l := w.Leader(); c != nil && l != nil && w.DisabledGuard == "seat" {
		if v := l.control.Ledger.SeatByAddress(ident.Addr(c.Addr)); v != nil {
			c.Basis = v.Incarnation
		}
	}
}
