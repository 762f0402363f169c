package simulate

import (
	"fmt"
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

func init() { Scenes = append(Scenes, hardScenes...) }
