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

func (p *Proc) clock() ident.Moment { return p.w.Now.Add(p.skew) }

func (p *Proc) beat() {
	if p.control != nil {
		p.step(control.Tick{})
	} else {
		if p.w.Weak == "fresh" {
			p.node.state.Relay.CoreAsOf, p.node.state.Relay.Leased = p.clock(), p.clock()
			for _, c := range p.node.state.Relay.Cells {
				c.AsOf = p.clock()
			}
		}
		if p.w.Weak == "heed" {
			p.node.state.Relay.Leased = p.node.state.Relay.CoreAsOf
		}
		if p.w.Weak == "budget" {
			for i := 0; i < p.w.Services; i++ {
				p.node.state.Credit(ident.Service(serviceName(i)), 50)
			}
		}
		p.step(data.Tick{})
	}
}

func (p *Proc) step(e any) {
	if !p.up {
		return
	}
	if p.frozen {
		p.held = append(p.held, func() { p.step(e) })
		return
	}
	if p.control != nil {
		p.control.Step(p.clock(), e)
		p.control.Settle(p.clock())
		p.obeyControl(p.control.Take())
		return
	}
	p.node.state.Step(p.clock(), e)
	p.node.obey(p.node.state.Take())
}

func (p *Proc) send(m wire.Send) {
	w := p.w
	f := proto.Clone(m.Frame).(*wire.Frame)
	f.From, f.Addr, f.Incarnation = p.Name, p.Addr, uint64(p.life)
	if w.Weak == "will" && f.GetBequest() != nil {
		return
	}
	w.weakenFrame(p, f)
	if w.heedless(p, f) {
		return
	}
	w.Frames++
	if w.sizeOf {
		n := uint64(proto.Size(f))
		w.Bytes += n
		w.sentBy[p.Name] += n
	}
	to := w.byAddr[m.To]
	if to == nil {
		return
	}
	if to != p && (w.cut[[2]string{p.Name, to.Name}] || w.Rand.Float64() < w.loss) {
		return
	}
	times := 1
	if to != p && w.Rand.Float64() < w.double {
		times = 2
	}
	life, resets := to.life, p.resets+to.resets
	carry := w.carry(p.Name, to.Name, f)
	for i := 0; i < times; i++ {
		late := carry + time.Duration(200+w.Rand.Intn(1500))*time.Microsecond
		if w.slow > 0 {
			late += time.Duration(w.Rand.Int63n(int64(w.slow)))
		}
		w.at(late, func() {
			if p.resets+to.resets == resets && to.up && (to.life == life || w.Rand.Intn(2) == 0) {
				w.weakenArrival(f)
				if to.control != nil {
					to.step(control.Got{Frame: f})
				} else {
					to.step(data.Got{Frame: f})
				}
			}
		})
	}
}

func (p *Proc) obeyControl(list []any) {
	for _, e := range list {
		switch e := e.(type) {
		case wire.Send:
			p.send(e)
		case agreement.Persist:
			p.disk.queue = append(p.disk.queue, e)
			p.writeDisk()
		case control.Shelve:
			p.shelve(p.disk, e.Doc)
		case control.Announced:
			p.w.announced(e.Token, e.Code)
		case control.Changed:
			p.w.changed(e.Token, e.Reply)
		case control.Watch:
			p.watch(e.On)
		case control.Note:
			p.w.Say("%s: %s", p.Name, e.Text)
		case control.Exit:
			p.w.Say("%s ends", p.Name)
			p.stopNow()
			p.w.at(300*ms, func() {
				if p.w.mended {
					p.w.Start(p)
				}
			})
			return
		}
	}
}

func (p *Proc) writeDisk() {
	d := p.disk
	if p.w.unsynced {
		p.pretend()
		return
	}
	if d.busy || len(d.queue) == 0 || d.stuck || d.full {
		return
	}
	list := d.queue
	d.queue = nil
	d.busy = true
	for _, q := range list {
		d.pending = append(d.pending, q.Records...)
	}
	n := len(d.pending)
	life := p.life
	var done func()
	done = func() {
		if p.disk != d || !p.up || p.life != life {
			return
		}
		if d.stuck {
			p.w.at(20*ms, done)
			return
		}
		d.kept = append(d.kept, d.pending[:n]...)
		d.pending = append([]*wire.Record(nil), d.pending[n:]...)
		d.busy = false
		d.trim()
		p.step(control.Synced{Seq: list[len(list)-1].Seq, Used: d.used()})
		p.writeDisk()
	}
	p.w.at(d.delay/2+time.Duration(p.w.Rand.Int63n(int64(d.delay)))+d.writing(d.pending), done)
}

func (p *Proc) shelve(d *disk, doc []byte) {
	life := p.life
	var done func()
	done = func() {
		switch {
		case p.disk != d || !p.up || p.life != life:
		case d.stuck:
			p.w.at(20*ms, done)
		case d.full:
			p.step(control.Shelved{})
		default:
			d.shelf = doc
			p.step(control.Shelved{OK: true})
		}
	}
	p.w.at(d.delay/2+time.Duration(p.w.Rand.Int63n(int64(d.delay))), done)
}

func (p *Proc) pretend() {
	d, life := p.disk, p.life
	for _, q := range d.queue {
		d.pending = append(d.pending, q.Records...)
		p.w.at(ms, func() {
			if p.disk == d && p.up && p.life == life {
				p.step(control.Synced{Seq: q.Seq})
			}
		})
	}
	d.queue = nil
	if !d.busy {
		d.busy = true
		p.w.at(2*time.Second, func() {
			if p.disk == d && p.up && p.life == life {
				d.kept, d.pending, d.busy = append(d.kept, d.pending...), nil, false
				d.trim()
			}
		})
	}
}

func (p *Proc) stopNow() {
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

func (w *World) weakenFrame(p *Proc, f *wire.Frame) {
	w.weakenCore(p, f)
	switch w.Weak {
	case "ack":
		for _, c := range f.GetAsk().GetConfirms() {
			c.Staged, c.Shrunk = 1<<40, 1<<40
		}
	case "clock":
		if r := f.GetAppendReply(); r != nil && r.WallMs != 0 {
			if l := p.w.Leader(); l != nil {
				r.WallMs = w.wall(l)
			}
		}
	case "basis":
		if c := f.GetPropose().GetChange().GetSetDesired(); c != nil {
			if l := p.w.Leader(); l != nil && !c.ByEdition {
				c.Basis = uint64(l.control.Book.Generation)
			} else if l != nil {
				c.Basis = l.control.Book.EndEdition()
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
			book := p.w.Leader().control.Book
			if d := book.State(book.Generation); d != nil {
				c.Floors, c.FloorsSame, c.SeatCount = nil, false, uint32(d.Seats())
				for k, n := range ledger.Slots(d) {
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

func (w *World) weakenArrival(f *wire.Frame) {
	c := f.GetPropose().GetChange().GetSeatTake()
	if l := w.Leader(); c != nil && l != nil && w.Weak == "seat" {
		if v := l.control.Book.SeatOf(ident.Addr(c.Addr)); v != nil {
			c.Basis = v.Incarnation
		}
	}
}
