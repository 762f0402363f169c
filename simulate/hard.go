package simulate

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/control"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

const (
	askWait  = time.Second
	readMost = time.Second
	hop      = ms
)

type submission struct {
	id      string
	base    uint64
	edition uint64
	doc     string
	first   ident.Moment
	acked   bool
	refused bool
	late    bool
	tries   int
	tried   []string
}

// rivals send orders and reads to the control machines and judge the answers.
type rivals struct {
	orders  map[string]*submission
	open    []*submission
	taken   map[string]uint64
	winner  map[uint64]string
	number  map[uint64]string
	cutAt   map[string]ident.Moment
	floor   uint64
	floors  []mark
	count   int
	lose    float64
	state   string
	stirred ident.Moment
	led     ident.Moment
	calm    map[string]calm
	off     bool
}

type mark struct {
	at  ident.Moment
	gen uint64
}

type calm struct {
	state string
	from  ident.Moment
}

func (w *World) replaceAfter() time.Duration {
	if w.Weak == "replace" {
		return time.Hour
	}
	return w.Replace
}

func (w *World) foundersOf(p *Proc) []ident.Addr {
	if w.CatchUp > 0 && p.joins {
		return nil
	}
	if w.Controls == 2 {
		return w.founders()[:1]
	}
	return w.founders()
}

func (w *World) carry(from, to string, f *wire.Frame) time.Duration {
	if w.band == 0 || from == to {
		return 0
	}
	k := [2]string{from, to}
	w.wires[k] = max(w.wires[k], w.Now).Add(time.Duration(float64(proto.Size(f)) / w.band * 1e9))
	return w.wires[k].Sub(w.Now)
}

func (d *disk) used() float64 {
	if d.squeeze {
		return 0.6
	}
	return 0
}

func (d *disk) writing(list []*wire.Record) time.Duration {
	if d.rate == 0 {
		return 0
	}
	n := 0
	for _, r := range list {
		n += proto.Size(r)
	}
	return time.Duration(float64(n) / d.rate * 1e9)
}

func (w *World) weakenCore(p *Proc, f *wire.Frame) {
	if c := f.GetPropose().GetChange().GetSetDesired(); c != nil && c.ByEdition && w.Weak == "basis" {
		if l := w.Leader(); l != nil {
			c.Basis = l.control.Book.EndEdition()
		}
	}
	if a := f.GetAppend(); a != nil && w.Weak == "quorum" {
		w.at(ms, func() {
			p.step(control.Got{Frame: &wire.Frame{From: w.memberOf(a.Target), Body: &wire.Frame_AppendReply{AppendReply: &wire.AppendReply{Term: a.Term, Ok: true, Match: a.PrevIndex + uint64(len(a.Entries)), Round: a.Round, Voter: a.Target}}}})
		})
	}
	if a := f.GetAsk(); a != nil && a.Voter != "" && w.Weak == "witness" {
		if l := w.Leader(); l != nil {
			list := agreement.Voters(l.control.Agree.Roster())
			a.Voter = list[w.Rand.Intn(len(list))].Id
		}
	}
	if s := f.GetSnapshot(); s != nil && w.Weak == "catch" {
		s.Target = ""
	}
	if v := f.GetVote(); v != nil && w.Weak == "vote" {
		v.LastTerm, v.LastIndex = 1<<40, 1<<40
	}
}

func (w *World) memberOf(voter string) string {
	name, _, _ := strings.Cut(voter, "/")
	return name
}

func (w *World) disks() []*Proc {
	var out []*Proc
	for _, p := range w.Procs {
		if p.disk != nil && !p.gone {
			out = append(out, p)
		}
	}
	return out
}

func onSite(c *Config) {
	onRoads(c)
	c.Controls, c.Nodes, c.Backends, c.Rate = 3+int(c.Seed%6), 5, 6, 30
	c.LeaseFor, c.CatchUp, c.Contact, c.Ack, c.Losses = 3*time.Second, 4*time.Second, 3*time.Second, 4*time.Second, 1
	if c.Controls >= 5 && c.Seed%2 == 0 {
		c.Losses = 2
	}
	c.Replace = c.CatchUp / 4
}

// fromTwo has two to eight disk holders.
func fromTwo(c *Config) {
	onSite(c)
	if c.Seed%7 == 6 {
		c.Controls, c.Losses = 2, 1
	}
}

func (w *World) openRivals() {
	w.ops = &rivals{orders: map[string]*submission{}, taken: map[string]uint64{}, winner: map[uint64]string{}, number: map[uint64]string{}, cutAt: map[string]ident.Moment{}, calm: map[string]calm{}, stirred: w.Now, led: w.Now}
	w.wires = map[[2]string]ident.Moment{}
	var look func()
	look = func() {
		w.judge()
		w.at(20*ms, look)
	}
	look()
}

func (w *World) hurtOf(p *Proc) string {
	s := fmt.Sprint(p.up, p.frozen, p.gone, p.life, p.skew, p.resets, p.disk.id, p.disk.stuck, p.disk.full)
	for _, q := range w.disks() {
		s += fmt.Sprint(w.cut[[2]string{p.Name, q.Name}], w.cut[[2]string{q.Name, p.Name}])
	}
	return s
}

// majority says that more than half of the control machines run and are in touch with one another.
func (w *World) majority() bool {
	all := w.disks()
	for _, p := range all {
		n := 0
		for _, q := range all {
			if p.fit() && q.fit() && !w.cut[[2]string{p.Name, q.Name}] && !w.cut[[2]string{q.Name, p.Name}] {
				n++
			}
		}
		if n > len(all)/2 {
			return true
		}
	}
	return false
}

func (p *Proc) fit() bool { return p.up && !p.frozen && !p.disk.stuck && !p.disk.full }

func (w *World) judge() {
	o := w.ops
	state := ""
	for _, p := range w.disks() {
		s := w.hurtOf(p)
		state += s
		if c := o.calm[p.Name]; c.state != s {
			o.calm[p.Name] = calm{s, w.Now}
		}
	}
	if state != o.state || w.slow > 0 || w.loss > 0 || !w.majority() {
		o.state, o.stirred = state, w.Now
	}
	l := w.Leader()
	if l != nil {
		o.led = w.Now
	}
	if o.off {
		return
	}
	if w.Now.Sub(max(o.stirred, o.led)) > w.Contact {
		w.Break("no leader within the bound", "none for %v, %v after the last trouble", w.Now.Sub(o.led), w.Now.Sub(o.stirred))
	}
	keep := o.open[:0]
	for _, r := range o.open {
		if r.acked || r.refused {
			continue
		}
		keep = append(keep, r)
		if d := w.Now.Sub(max(r.first, o.stirred.Add(w.Contact))); d > w.Ack && !r.late {
			r.late = true
			w.Break("an order was not acknowledged in time", "%s, sent at %.3fs, core calm since %.3fs; %s", r.id, float64(r.first.Sub(w.start))/1e9, float64(o.stirred.Sub(w.start))/1e9, w.whyOpen(r))
		}
	}
	o.open = keep
	for len(o.floors) > 1 && w.Now.Sub(o.floors[1].at) > w.CatchUp {
		o.floors = o.floors[1:]
	}
	if len(o.floors) == 0 || w.Now.Sub(o.stirred) < w.Contact {
		return
	}
	for _, p := range w.disks() {
		c := o.calm[p.Name]
		if p.fit() && p.control != nil && w.Now.Sub(c.from) > w.CatchUp+w.Contact && w.Now.Sub(o.floors[0].at) > w.CatchUp && uint64(p.control.Book.Generation) < o.floors[0].gen && w.touches(p) {
			w.Break("a member never caught up", "%s stands at %d, %d was acknowledged %v ago; %s; leader %s", p.Name, p.control.Book.Generation, o.floors[0].gen, w.Now.Sub(o.floors[0].at), p.control.Agree.Text(), w.leaderText())
		}
	}
}

// whyOpen tells where an order stands in the leader's book, and which seats have not confirmed it.
func (w *World) whyOpen(r *submission) string {
	l := w.Leader()
	if l == nil {
		return "no leader"
	}
	b := l.control.Book
	s := fmt.Sprintf("leader %s at %d, in force %d, order taken as %d, sent %d times; unconfirmed:", l.Name, b.Generation, b.InForce, w.ops.taken[r.id], r.tries)
	for _, v := range b.Seats {
		if c := l.control.Relay.ConfirmOf(v.Member); c == nil || c.Incarnation != v.Incarnation || c.Staged < uint64(b.Generation) {
			s += fmt.Sprintf(" %s (%d)", v.Member, c.GetStaged())
		}
	}
	return s
}

func (w *World) leaderText() string {
	if l := w.Leader(); l != nil {
		return l.Name + " " + l.control.Agree.Text()
	}
	return "none"
}

func (w *World) touches(p *Proc) bool {
	for _, q := range w.disks() {
		if w.cut[[2]string{p.Name, q.Name}] || w.cut[[2]string{q.Name, p.Name}] {
			return false
		}
	}
	return true
}

// audit notes what a leader's book has taken, and that what was acknowledged stands in it.
func (w *World) audit(l *Proc) {
	o := w.ops
	if o == nil || l == nil {
		return
	}
	for _, h := range l.control.Book.History {
		for _, id := range append([]string{h.ChangeId}, h.Changes...) {
			if o.orders[id] != nil && o.taken[id] == 0 {
				o.taken[id] = h.Generation
			}
		}
		if id := o.winner[h.Generation]; id != "" && h.ChangeId != id && !strings.Contains(strings.Join(h.Changes, " "), id) {
			w.Break("an acknowledged order is lost", "%s was acknowledged as generation %d, which is %s", id, h.Generation, h.ChangeId)
		}
	}
}

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

func (r *submission) set() *wire.SetDesired {
	return &wire.SetDesired{ByEdition: true, Basis: r.base, ChangeId: r.id, Doc: []byte(r.doc)}
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

var hardScenes = []*Scene{
	{Name: "cut-leader", Text: "the leader, a holder or another is cut off for 20 s, one way, the other or both, healed, at once cut again; orders and reads at all machines", config: fromTwo, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		w.openRivals()
		stop := w.keepAsking(150*ms, 900*ms)
		w.Run(2 * time.Second)
		for i := 0; i < 3; i++ {
			p := w.target()
			w.cutOff(p, w.Rand.Intn(3), w.Rand.Intn(2) == 0)
			for k := 0; k < 75; k++ {
				w.at(time.Duration(k*20)*ms, func() { w.read(p) })
			}
			if w.Losses > 1 && w.Rand.Intn(2) == 0 {
				w.at(time.Duration(w.Rand.Intn(4000))*ms, func() {
					if q := w.target(); q != p {
						w.cutOff(q, w.Rand.Intn(3), w.Rand.Intn(2) == 0)
					}
				})
			}
			for k := 0; k < 2; k++ {
				w.at(time.Duration(w.Rand.Intn(8000))*ms, func() { w.spice(p) })
			}
			w.Run(stay)
			w.rejoin()
			w.Run(time.Duration(w.Rand.Intn(2)*w.Rand.Intn(5000)) * ms)
		}
		stop()
		w.Run(w.Contact)
	}},
	{Name: "race-lost-acks", Text: "operators race on one basis under one number at different machines, acks are lost, orders are sent again, while leaders are killed, frozen or hand over", config: fromTwo, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		w.openRivals()
		w.ops.lose = 0.5
		known := uint64(opening)
		for i := 0; i < 8; i++ {
			list := w.disks()
			var racers []*submission
			for j := 0; j < 2+w.Rand.Intn(2); j++ {
				o := w.newOrder(known, known+1, fmt.Sprint("racer-", j))
				racers = append(racers, o)
				w.at(time.Duration(w.Rand.Intn(2)*w.Rand.Intn(300))*ms, func() { w.submit(o, list[(i+j)%len(list)], func(ledger.Code, uint64) {}) })
			}
			w.at(time.Duration(w.Rand.Intn(500))*ms, func() { w.strikeLeader() })
			w.Run(9 * time.Second)
			won := 0
			for _, o := range racers {
				if w.ops.taken[o.id] != 0 {
					won++
					known = o.edition
				}
			}
			if won != 1 {
				w.Break("not one winner", "%d of %d racers on edition %d were taken", won, len(racers), racers[0].base)
			}
			w.ops.lose = 0
			for _, o := range racers {
				heard := false
				w.submit(o, list[w.Rand.Intn(len(list))], func(code ledger.Code, edition uint64) {
					heard = true
					if yes := w.ops.taken[o.id] != 0; yes != (code == ledger.Done) {
						w.Break("sent again and answered otherwise", "%s: %s", o.id, code)
					}
				})
				w.Run(4 * time.Second)
				if !heard {
					w.Break("sent again without an answer", "%s", o.id)
				}
			}
			w.ops.lose = 0.5
		}
	}},
	{Name: "second-loss", Text: "control machines are killed, wiped, drained or replaced by empty ones, the next as soon as the settings allow, again and again", config: func(c *Config) { onSite(c); c.Spares = 16 }, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		w.openRivals()
		stop := w.keepAsking(300*ms, 1500*ms)
		w.lossesInTurn(12)
		stop()
		w.Run(w.Contact)
	}},
	{Name: "founding", Text: "a founder is killed or loses its disk while the fleet is founded; losses follow as soon as the settings allow", early: func(w *World) {
		w.openRivals()
		w.ops.off = true
		p := w.Control(w.Rand.Intn(min(3, w.Controls)))
		wiped := w.Rand.Intn(2) == 0
		w.at(time.Duration(w.Rand.Intn(900))*ms, func() {
			if wiped {
				w.Wipe(p)
			} else {
				w.Kill(p)
			}
			w.at(time.Duration(w.Rand.Intn(1000))*ms, func() {
				p.joins = wiped
				w.Start(p)
			})
		})
	}, config: func(c *Config) { onSite(c); c.Spares = 8 }, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		w.ops.off = false
		stop := w.keepAsking(300*ms, 1500*ms)
		w.lossesInTurn(4)
		stop()
		w.Run(w.Contact)
	}},
	{Name: "long-away", Text: "one control machine is away while all others are replaced one after another, then it comes back", config: func(c *Config) {
		onSite(c)
		c.Controls, c.Losses, c.Spares = 5+int(c.Seed%4), 2, 9
	}, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		w.openRivals()
		stop := w.keepAsking(300*ms, 1500*ms)
		w.Run(w.CatchUp)
		away := w.Control(w.Rand.Intn(w.Controls))
		w.Kill(away)
		for i := 0; i < w.Controls; i++ {
			if p := w.Control(i); p != away {
				w.Run(time.Duration(w.Rand.Intn(1000)) * ms)
				q := w.spare()
				w.Kill(p)
				p.gone, q.gone, q.joins = true, false, true
				w.Start(q)
				w.Run(w.CatchUp)
			}
		}
		w.Start(away)
		w.Run(2*w.CatchUp + w.Contact)
		stop()
		w.Run(w.Contact)
	}},
	{Name: "hundreds", Text: "300 changes at 0.05 to 0.4 s, one seat silent, members away, restarted or wiped, compaction forced often, slow links and disks", config: func(c *Config) { onSite(c); c.Spares = 6 }, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		w.openRivals()
		w.band = 250e3 * float64(1+w.Rand.Intn(8))
		for _, p := range w.Procs {
			if p.disk != nil {
				p.disk.rate, p.disk.squeeze = 2e6, w.Rand.Intn(2) == 0
			}
		}
		w.Freeze(w.Node(w.Rand.Intn(w.Nodes)), time.Hour)
		stop := w.keepAsking(50*ms, 400*ms)
		until := w.Now.Add(3 * time.Minute)
		for w.ops.count < 300 && w.Now.Before(until) {
			p := w.target()
			back := time.Duration(2000+w.Rand.Intn(6000)) * ms
			switch w.Rand.Intn(4) {
			case 0:
				w.Kill(p)
				w.at(back, func() { w.Start(p) })
			case 1:
				w.Wipe(p)
				p.disk.rate, p.disk.squeeze = 2e6, true
				w.at(back, func() { p.joins = true; w.Start(p) })
			case 2:
				w.Freeze(p, back)
			case 3:
				w.cutOff(p, w.Rand.Intn(3), w.Rand.Intn(2) == 0)
				w.at(back, w.rejoin)
			}
			w.Run(back + w.CatchUp)
		}
		if w.ops.count < 300 {
			w.Break("orders came to a stand", "%d of 300 sent in 3 min", w.ops.count)
		}
		stop()
		w.Run(w.Contact + w.CatchUp)
	}},
	{Name: "wrong-caller", Text: "answers are reset, late, doubled or never come, idle connections end as they are taken up, nodes freeze, calls that may not be repeated among them", config: func(c *Config) { onRoads(c); c.Backends, c.Rate = 8, 120 }, play: func(w *World, r *Result, gen *uint64) {
		w.named()
		w.road.odd = true
		for i := 0; i < 14; i++ {
			for _, b := range w.Backends {
				b.tires = true
				if b.mode = ""; w.Rand.Intn(3) == 0 {
					b.mode = []string{"lose", "garble", "hang", "late", "twice", "reset", "full"}[w.Rand.Intn(7)]
				}
			}
			if w.Rand.Intn(3) == 0 {
				w.Freeze(w.Node(w.Rand.Intn(w.Nodes)), time.Duration(w.Rand.Intn(2500))*ms)
			}
			if w.Rand.Intn(4) == 0 {
				b := w.Backends[w.Rand.Intn(len(w.Backends))]
				b.crash()
				b.service = serviceName(w.Rand.Intn(w.Services))
				w.at(time.Duration(w.Rand.Intn(200))*ms, b.start)
			}
			w.Run(time.Duration(500+w.Rand.Intn(1500)) * ms)
		}
	}},
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

func init() { Scenes = append(Scenes, hardScenes...) }
