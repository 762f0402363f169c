package simulate

import (
	"fmt"
	"strings"
	"time"

	"sloeturn/agreement"
	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

type Scene struct {
	Name   string
	Text   string
	config func(c *Config)
	early  func(w *World)
	play   func(w *World, r *Result, gen *uint64)
}

const (
	stay  = 20 * time.Second
	floor = 0.8
)

func (w *World) since() time.Duration { return w.Now.Sub(w.start) }

func (w *World) stays(r *Result, what string) {
	from := w.since().Truncate(time.Second)
	w.Run(stay)
	back, why := time.Duration(0), map[string]int{}
	for at := from; at < w.since()-4*time.Second; at += time.Second {
		if s := w.served("", at, at+2*time.Second); s.of() < floor {
			back, why = at+time.Second-from, s.why
		}
	}
	r.Back = back
	if back > 15*time.Second {
		w.Break("service not back within 15 s", "%s, fault staying: share below %.2f until %v after it, at last for %v", what, floor, back, why)
	}
}

func (w *World) halves(one bool, side func(p *Proc) bool) {
	for _, p := range w.Procs {
		for _, q := range w.Procs {
			if side(p) && !side(q) {
				w.Cut(p.Name, q.Name, !one)
			}
		}
	}
}

func inCells(names string) func(p *Proc) bool {
	return func(p *Proc) bool { return strings.Contains(names, p.Cell) }
}

func staying(name, text string, cause func(w *World)) *Scene {
	return &Scene{Name: name, Text: text, config: func(c *Config) { c.Cells, c.Nodes, c.Backends = 4, 8, 16 }, play: func(w *World, r *Result, gen *uint64) {
		cause(w)
		w.stays(r, name)
	}}
}

func repeated(name, text string, list ...int) *Scene {
	return &Scene{Name: name, Text: text, config: func(c *Config) {}, play: func(w *World, r *Result, gen *uint64) {
		for i := 0; i < 16; i++ {
			for _, n := range list {
				r.Faults[w.cause(n, i*len(list)+n, gen)]++
				w.catchUp(gen)
			}
			w.Run(time.Duration(1000+w.Rand.Intn(2000)) * ms)
		}
	}}
}

var Scenes = []*Scene{
	staying("disk-gone", "a voter's machine and disk are gone for good", func(w *World) {
		w.Wipe(w.Control(w.Rand.Intn(3)))
	}),
	staying("leader-gone", "the leader's machine and disk are gone for good", func(w *World) {
		if l := w.Leader(); l != nil {
			w.Wipe(l)
		}
	}),
	staying("cell-gone", "a cell's processes and backends are gone for good", func(w *World) {
		c := w.cellName(w.Rand.Intn(4))
		for _, p := range w.Procs {
			if p.Cell == c {
				w.Kill(p)
			}
		}
		for _, b := range w.Backends {
			if b.cell == c {
				b.crash()
			}
		}
	}),
	staying("core-halves", "the core is cut two cells and two", func(w *World) { w.halves(false, inCells("ab")) }),
	staying("core-one-way", "two cells hear the other two, and are not heard", func(w *World) { w.halves(true, inCells("ab")) }),
	staying("cell-cut", "one cell with its holder is cut off", func(w *World) { w.halves(false, inCells(w.cellName(w.Rand.Intn(4)))) }),
	staying("nodes-cut", "half of the nodes are cut off", func(w *World) {
		for i := 0; i < w.Nodes; i += 2 {
			w.Isolate(w.Node(i))
		}
	}),
	staying("leader-cut", "the leader is cut off", func(w *World) {
		if l := w.Leader(); l != nil {
			w.Isolate(l)
		}
	}),
	repeated("stops", "processes stop as planned, one after another", 19, 22),
	repeated("wrong-answers", "backends lose, garble and hang", 11, 11, 11),
	repeated("races", "operators race", 14),
	{Name: "orders", Text: "operators replace, modify, read and send again, answers get lost, leaders are killed, cut off and frozen; the history is judged", config: func(c *Config) {
		c.Controls, c.Nodes, c.Backends, c.Rate = []int{4, 3, 5, 2, 8}[c.Seed%5], 3, 4, 20
	}, play: func(w *World, r *Result, gen *uint64) {
		w.ordered(r, gen)
	}},
	repeated("hands", "addresses go to other services, old beats under way, nodes frozen", 10, 27, 33),
	repeated("drains", "backends drain while nodes are frozen or cut off", 9, 23, 28),
	repeated("restarts", "a node restarts over and over on slow links", 31),
	{Name: "trial", Text: "half of the nodes try a desired state without one lane, then it is withdrawn, then tried again and made the whole fleet's", config: func(c *Config) {}, play: func(w *World, r *Result, gen *uint64) {
		lane := ident.Lane(serviceName(0) + "-look")
		less := strings.Replace(w.Doc0(w.Nodes, 1, 2, Cap), fmt.Sprintf(`,"%s":{"tenant":"goat","service":"%s","slots":2}`, lane, serviceName(0)), "", 1)
		has := func(p *Proc) bool { return p.node.state.Desired().Lanes[lane] != nil }
		var only []string
		for i := 0; i < w.Nodes; i += 2 {
			only = append(only, w.Node(i).Name)
		}
		try := func(step string, c *wire.SetDesired, want func(i int) bool) {
			w.catchUp(gen)
			c.Basis, c.ChangeId = *gen, step
			w.put(c, step, func(code ledger.Code, g uint64) {
				if code != ledger.Done {
					w.Break("a trial was not taken", "%s: %s", step, code)
				}
			})
			w.Run(3 * time.Second)
			for i := 0; i < w.Nodes; i++ {
				if has(w.Node(i)) != want(i) {
					w.Break("a trial reached the wrong nodes", "%s: %s", step, w.Node(i).Name)
				}
			}
		}
		try("try", &wire.SetDesired{Doc: []byte(less), Only: only}, func(i int) bool { return i%2 == 1 })
		try("back", &wire.SetDesired{Withdraw: true}, func(int) bool { return true })
		try("again", &wire.SetDesired{Doc: []byte(less), Only: only}, func(i int) bool { return i%2 == 1 })
		l := w.Leader()
		w.Kill(l)
		w.Start(l)
		w.Run(3 * time.Second)
		try("whole", &wire.SetDesired{Doc: []byte(less)}, func(int) bool { return false })
		try("after", &wire.SetDesired{Doc: []byte(w.Doc0(w.Nodes, 1, 2, Cap))}, func(int) bool { return true })
	}},
	{Name: "handover", Text: "every control process stops as planned and comes back, while backends drain", config: func(c *Config) { c.Cells, c.Nodes = 4, 8 }, play: func(w *World, r *Result, gen *uint64) {
		stop := w.blind(r)
		for i := 0; i < w.Controls; i++ {
			p := w.Control(i)
			back := w.Backends[w.Rand.Intn(len(w.Backends))]
			w.at(time.Duration(w.Rand.Intn(1500))*ms, func() {
				if back.up && back.state == cell.Ready {
					back.Drain()
					w.at(3*time.Second, func() {
						back.replace(0)
					})
				}
			})
			p.step(stopControl())
			for k := 0; k < 80 && p.up; k++ {
				w.Run(100 * ms)
			}
			w.Run(500 * ms)
			w.Start(p)
			w.Run(7 * time.Second)
		}
		stop()
		if r.Blind > time.Second {
			w.Break("a planned hand-over left a gap", "a node had no fresh news of a cell for %v", r.Blind)
		}
	}},
	{Name: "all-killed", Text: "every process is killed at once while backends drain, and all are back within a second", config: func(c *Config) { c.Nodes, c.Backends = 8, 12 }, play: func(w *World, r *Result, gen *uint64) {
		for _, b := range w.Backends {
			b.names = true
		}
		w.Run(6 * time.Second)
		for i := 0; i < 4; i++ {
			w.Run(time.Duration(5000+w.Rand.Intn(3000)) * ms)
			for _, b := range w.Backends {
				if b.up && b.state == cell.Ready && w.Rand.Intn(4) == 0 {
					w.at(time.Duration(w.Rand.Intn(600))*ms, func() {
						if b.up && b.state == cell.Ready {
							b.Drain()
							w.at(4*time.Second, func() { b.replace(time.Second) })
						}
					})
				}
			}
			w.Run(700 * ms)
			for _, p := range w.Procs {
				w.Kill(p)
			}
			w.Run(time.Duration(300+w.Rand.Intn(700)) * ms)
			for _, p := range w.Procs {
				w.Start(p)
			}
			usual, from, n := w.ready, w.Now, len(w.Served)
			w.ready = func() (out []*Proc) {
				for _, p := range w.Procs {
					if p.node != nil && p.node.state.Ready() {
						out = append(out, p)
					}
				}
				return out
			}
			for len(w.Served) < n+30 && w.Now.Sub(from) < 15*time.Second {
				w.Run(20 * ms)
			}
			w.ready = usual
			r.Back = max(r.Back, w.Now.Sub(from))
		}
		if r.Back > 1800*ms {
			w.Break("service not back soon after all were killed", "30 visits served only %v after the start", r.Back)
		}
	}},
	{Name: "swap", Text: "disk holders are swapped one after another until no founder is left, then all are killed", config: func(c *Config) { c.Spares = 4 }, play: func(w *World, r *Result, gen *uint64) {
		all := w.Procs[len(w.Procs)-w.Spares:]
		for i := 0; i < w.Controls; i++ {
			all[i].gone = false
			w.Start(all[i])
			old := w.Control(i)
			w.Run(2 * time.Second)
			w.Kill(old)
			old.gone = true
			for k := 0; k < 200 && !w.seated3(old); k++ {
				w.Run(100 * ms)
			}
			if !w.seated3(old) {
				w.Break("a swapped disk holder was not replaced", "%s", old.Name)
			}
			w.catchUp(gen)
			w.Set(*gen, w.Doc0(w.Nodes, i%2, 2, Cap), fmt.Sprint("swap-", i), func(ledger.Code, uint64) { w.catchUp(gen) })
			w.Run(3 * time.Second)
		}
		for _, p := range all {
			w.Kill(p)
		}
		for _, p := range all {
			w.Start(p)
		}
		w.Run(2 * time.Second)
	}},
	{Name: "slow-disks", Text: "each sync takes 20 to 100 ms, and now and then a disk stalls for seconds", config: func(c *Config) {}, play: func(w *World, r *Result, gen *uint64) {
		for i := 0; i < w.Controls; i++ {
			w.Control(i).disk.delay = 60 * ms
		}
		from := w.since()
		for i := 0; i < 5; i++ {
			p := w.Control(w.Rand.Intn(w.Controls))
			p.disk.stuck = true
			w.at(300*ms, func() { p.step(diskEvent(true)) })
			w.at(time.Duration(1+w.Rand.Intn(3))*time.Second, func() {
				p.disk.stuck = false
				p.step(diskEvent(false))
				p.writeDisk()
			})
			w.catchUp(gen)
			w.Set(*gen, w.Doc0(w.Nodes, i%2, 2, Cap), fmt.Sprint("slow-", i), func(ledger.Code, uint64) { w.catchUp(gen) })
			w.Run(5 * time.Second)
		}
		r.Share = min(w.served(serviceName(0)+"-once", from, w.since()-2*time.Second).of(), w.served(serviceName(1)+"-once", from, w.since()-2*time.Second).of())
		if r.Share < 0.75 {
			w.Break("claims are not served on slow disks", "share %.3f", r.Share)
		}
	}},
	{Name: "peak", Text: "pools full at hanging backends while caps move between lanes, nodes freeze and seats change hands", config: func(c *Config) {
		c.Slots, c.Rate, c.Backends, c.Nodes = 128, 400, 4, 8
	}, play: func(w *World, r *Result, gen *uint64) {
		shapes := [][3]int{{5, 1, 1}, {1, 5, 1}, {3, 3, 1}, {1, 2, 6}}
		w.fence = 5
		for i := 0; i < 12; i++ {
			for _, b := range w.Backends {
				b.mode = "hang"
			}
			s := shapes[w.Rand.Intn(len(shapes))]
			w.catchUp(gen)
			w.Set(*gen, w.peakDoc(s[0], s[1], s[2]), fmt.Sprint("peak-", i), func(ledger.Code, uint64) { w.catchUp(gen) })
			k := w.Node(w.Rand.Intn(w.Nodes))
			switch w.Rand.Intn(3) {
			case 0:
				w.Freeze(k, time.Duration(1+w.Rand.Intn(8))*time.Second)
			case 1:
				w.Kill(k)
				w.at(time.Duration(w.Rand.Intn(500))*ms, func() { w.Start(k) })
			case 2:
				if k.up && !k.frozen {
					k.step(stopNode())
					w.at(4*time.Second, func() { w.Start(k) })
				}
			}
			w.Run(time.Duration(500+w.Rand.Intn(3000)) * ms)
		}
	}},
	{Name: "tries", Text: "backends that beat often and refuse connections", config: func(c *Config) { c.Rate, c.Backends = 120, 12 }, play: func(w *World, r *Result, gen *uint64) {
		for _, b := range w.Backends {
			if w.Rand.Intn(4) > 0 {
				b.mode = "refuse"
			}
			b.haste()
		}
		for i := 0; i < 12; i++ {
			k := w.Node(w.Rand.Intn(w.Nodes))
			w.Kill(k)
			w.Start(k)
			w.Run(1500 * ms)
		}
	}},
	{Name: "waits", Text: "more visits than slots, slow claims, slow links, a stalled disk", config: func(c *Config) { c.Rate, c.Slots = 300, 2 }, play: func(w *World, r *Result, gen *uint64) {
		for i := 0; i < 6; i++ {
			d := w.Control(w.Rand.Intn(w.Controls)).disk
			d.stuck = true
			w.slow = time.Duration(w.Rand.Intn(400)) * ms
			w.Run(2 * time.Second)
			d.stuck = false
			for _, p := range w.Procs[:w.Controls] {
				p.writeDisk()
			}
			w.Heal()
			w.Run(time.Second)
		}
	}},
	{Name: "uneven", Text: "some nodes get many more visits than others", config: func(c *Config) {
		c.Backends, c.Nodes, c.Rate, c.Skew = 12, 8, 200, 2
	}, play: func(w *World, r *Result, gen *uint64) {
		from := w.since() + 2*time.Second
		w.Run(20 * time.Second)
		r.Share = w.served("", from, w.since()-2*time.Second).of()
	}},
	{Name: "flood", Text: "one lane is flooded, at one half of the run only", config: func(c *Config) { c.Backends, c.Slots = 8, 12 }, play: func(w *World, r *Result, gen *uint64) {
		w.isolates(r, serviceName(0)+"-look", func(on bool) {
			if on {
				w.flood(serviceName(0)+"-look", 400, 12*time.Second)
			}
		})
	}},
	{Name: "lane-hangs", Text: "the work of one lane hangs, at one half of the run only", config: func(c *Config) { c.Backends, c.Slots = 8, 12 }, play: func(w *World, r *Result, gen *uint64) {
		w.isolates(r, serviceName(0)+"-look", func(on bool) {
			if w.hang = ""; on {
				w.hang = serviceName(0) + "-look"
			}
		})
	}},
	{Name: "probes-fail", Text: "one service breaks every probe off again and again, at one half of the run only", config: func(c *Config) { c.Backends, c.Slots = 8, 12 }, play: func(w *World, r *Result, gen *uint64) {
		fail := false
		var spoil func()
		spoil = func() {
			for _, b := range w.Backends {
				for _, id := range ident.Keys(b.links) {
					if l := b.links[id]; b.service == serviceName(0) && l.guard {
						w.close(l)
						w.at(ms, func() { l.from.broke(l) })
					}
				}
			}
			if fail {
				w.at(300*ms, spoil)
			}
		}
		w.isolates(r, serviceName(0), func(on bool) {
			if fail = on; on {
				spoil()
			}
		})
	}},
	{Name: "holiday", Text: "two regions' blackout days overlap, while clocks leap, operators race, leaders, disks and nodes go at each boundary", config: func(c *Config) { c.scale = dayScale }, play: func(w *World, r *Result, gen *uint64) {
		w.holiday(r, gen)
	}},
	{Name: "class-hangs", Text: "the work of one service hangs, at one half of the run only", config: func(c *Config) { c.Backends, c.Slots = 8, 12 }, play: func(w *World, r *Result, gen *uint64) {
		w.isolates(r, serviceName(0), func(on bool) {
			for _, b := range w.Backends {
				if b.mode = ""; on && b.service == serviceName(0) {
					b.mode = "hang"
				}
			}
		})
	}},
}

func SceneOf(name string) *Scene {
	for _, s := range Scenes {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (w *World) seated3(old *Proc) bool {
	l := w.Leader()
	if l == nil {
		return false
	}
	n := 0
	for _, v := range agreement.Voters(l.control.Agree.Roster()) {
		if v.Addr == old.Addr {
			return false
		}
		n++
	}
	return n >= 3
}

func (w *World) blind(r *Result) (stop func()) {
	from := map[string]ident.Moment{}
	on := true
	var look func()
	look = func() {
		for _, p := range w.Procs {
			if p.node == nil || !p.node.state.Ready() {
				continue
			}
			for i := 0; i < w.Cells; i++ {
				c := ident.Cell(w.cellName(i))
				name := p.Name + string(c)
				k := p.node.state.Relay.Cells[c]
				if k != nil && len(k.Table) > 0 && p.node.state.Relay.CellFresh(c, p.clock()) {
					from[name] = w.Now
				} else if from[name] != 0 {
					r.Blind = max(r.Blind, w.Now.Sub(from[name]))
				}
			}
		}
		if on {
			w.at(20*ms, look)
		}
	}
	look()
	return func() { on = false }
}

func (w *World) peakDoc(one, two, surge int) string {
	doc := w.Doc0(w.Nodes-2, 0, 1, Cap)
	for i := 0; i < w.Services; i++ {
		s := serviceName(i)
		doc = strings.Replace(doc, fmt.Sprintf(`"service":"%s","slots":1,"once":true`, s), fmt.Sprintf(`"service":"%s","slots":%d,"once":true`, s, one), 1)
		doc = strings.Replace(doc, fmt.Sprintf(`"service":"%s","slots":1}`, s), fmt.Sprintf(`"service":"%s","slots":%d}`, s, two), 1)
	}
	return strings.Replace(doc, `"surge":0`, fmt.Sprintf(`"surge":%d`, surge), 1)
}

func (w *World) flood(lane string, rate float64, d time.Duration) {
	end := w.Now.Add(d)
	var next func()
	next = func() {
		if w.Now.Before(end) {
			w.shot(w.ready, lane, "", 3)
			w.at(time.Duration(w.Rand.ExpFloat64()/rate*1e9), next)
		}
	}
	next()
}

func (w *World) isolates(r *Result, not string, cause func(on bool)) {
	w.Run(2 * time.Second)
	from := w.since().Truncate(time.Second)
	w.Run(12 * time.Second)
	mid := w.since().Truncate(time.Second)
	cause(true)
	w.Run(12 * time.Second)
	end := w.since().Truncate(time.Second)
	cause(false)
	r.Ratio = 1
	for _, lane := range ident.Keys(w.seconds) {
		if strings.HasPrefix(lane, not) {
			continue
		}
		calm, hit := w.served(lane, from, mid).of(), w.served(lane, mid, end).of()
		r.Ratio = min(r.Ratio, hit/max(calm, 0.001))
		if hit < 0.9*calm {
			w.Break("one lane took another's admissions", "%s: share %.3f before, %.3f while another misbehaves", lane, calm, hit)
		}
	}
}

func (b *Backend) haste() {
	life := b.lives
	var beat func()
	beat = func() {
		if b.up && b.lives == life && !b.w.mended {
			b.announce(cell.Ready, nil)
			b.w.at(150*ms, beat)
		}
	}
	beat()
}

func Play(s *Scene, seed int64, weak string, trace bool) *Result {
	c := small(seed)
	c.Weak, c.Trace, c.scene = weak, trace, s
	s.config(&c)
	return Run(c, 0)
}
