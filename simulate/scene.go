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

// Scene is a scripted run: a fleet and the faults injected into it.
type Scene struct {
	Name        string
	Description string
	configure   func(c *Config)
	beforeStart func(w *World)
	run         func(w *World, r *Result, gen *uint64)
}

const (
	lastingFaultTime = 20 * time.Second
	minServedShare   = 0.8
)

func (w *World) elapsed() time.Duration { return w.Now.Sub(w.start) }

// runLastingFault runs with the fault in place and checks that service recovers within 15 s nevertheless.
func (w *World) runLastingFault(r *Result, what string) {
	from := w.elapsed().Truncate(time.Second)
	w.Run(lastingFaultTime)
	recovery, reasons := time.Duration(0), map[string]int{}
	for at := from; at < w.elapsed()-4*time.Second; at += time.Second {
		if s := w.servedBetween("", at, at+2*time.Second); s.ratio() < minServedShare {
			recovery, reasons = at+time.Second-from, s.reasons
		}
	}
	r.RecoveryTime = recovery
	if recovery > 15*time.Second {
		w.ReportViolation("service not back within 15 s", "%s, fault staying: share below %.2f until %v after it, at last for %v", what, minServedShare, recovery, reasons)
	}
}

// partition cuts the links from the processes of one side to all others; unless oneWay is set, also those back.
func (w *World) partition(oneWay bool, side func(p *Process) bool) {
	for _, p := range w.Processes {
		for _, q := range w.Processes {
			if side(p) && !side(q) {
				w.CutLink(p.Name, q.Name, !oneWay)
			}
		}
	}
}

func inCells(names string) func(p *Process) bool {
	return func(p *Process) bool { return strings.Contains(names, p.Cell) }
}

// lastingFault is a scene in which a fault is injected and not repaired.
func lastingFault(name, text string, injectFault func(w *World)) *Scene {
	return &Scene{Name: name, Description: text, configure: func(c *Config) { c.Cells, c.Nodes, c.Backends = 4, 8, 16 }, run: func(w *World, r *Result, gen *uint64) {
		injectFault(w)
		w.runLastingFault(r, name)
	}}
}

// repeatedFaults is a scene that injects the listed kinds of faults again and again.
func repeatedFaults(name, text string, list ...int) *Scene {
	return &Scene{Name: name, Description: text, configure: func(c *Config) {}, run: func(w *World, r *Result, gen *uint64) {
		for i := 0; i < 16; i++ {
			for _, n := range list {
				r.Faults[w.injectFault(n, i*len(list)+n, gen)]++
				w.refreshGeneration(gen)
			}
			w.Run(time.Duration(1000+w.Rand.Intn(2000)) * ms)
		}
	}}
}

// Scenes lists all scenes.
var Scenes = []*Scene{
	lastingFault("disk-gone", "a voter's machine and disk are gone for good", func(w *World) {
		w.Wipe(w.Control(w.Rand.Intn(3)))
	}),
	lastingFault("leader-gone", "the leader's machine and disk are gone for good", func(w *World) {
		if l := w.Leader(); l != nil {
			w.Wipe(l)
		}
	}),
	lastingFault("cell-gone", "a cell's processes and backends are gone for good", func(w *World) {
		c := w.cellName(w.Rand.Intn(4))
		for _, p := range w.Processes {
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
	lastingFault("core-halves", "the core is cut two cells and two", func(w *World) { w.partition(false, inCells("ab")) }),
	lastingFault("core-one-way", "two cells hear the other two, and are not heard", func(w *World) { w.partition(true, inCells("ab")) }),
	lastingFault("cell-cut", "one cell with its holder is cut off", func(w *World) { w.partition(false, inCells(w.cellName(w.Rand.Intn(4)))) }),
	lastingFault("nodes-cut", "half of the nodes are cut off", func(w *World) {
		for i := 0; i < w.Nodes; i += 2 {
			w.Isolate(w.Node(i))
		}
	}),
	lastingFault("leader-cut", "the leader is cut off", func(w *World) {
		if l := w.Leader(); l != nil {
			w.Isolate(l)
		}
	}),
	repeatedFaults("stops", "processes stop as planned, one after another", 19, 22),
	repeatedFaults("wrong-answers", "backends lose, garble and hang", 11, 11, 11),
	repeatedFaults("races", "operators race", 14),
	{Name: "orders", Description: "operators replace, modify, read and send again, answers get lost, leaders are killed, cut off and frozen; the history is judged", configure: func(c *Config) {
		c.Controls, c.Nodes, c.Backends, c.RequestRate = []int{4, 3, 5, 2, 8}[c.Seed%5], 3, 4, 20
	}, run: func(w *World, r *Result, gen *uint64) {
		w.runOperators(r, gen)
	}},
	repeatedFaults("hands", "addresses go to other services, old beats under way, nodes frozen", 10, 27, 33),
	repeatedFaults("drains", "backends drain while nodes are frozen or cut off", 9, 23, 28),
	repeatedFaults("restarts", "a node restarts over and over on slow links", 31),
	{Name: "trial", Description: "half of the nodes try a desired state without one lane, then it is withdrawn, then tried again and made the whole fleet's", configure: func(c *Config) {}, run: func(w *World, r *Result, gen *uint64) {
		lane := ident.Lane(serviceName(0) + "-look")
		withoutLane := strings.Replace(w.Document(w.Nodes, 1, 2, MaxBackendConnections), fmt.Sprintf(`,"%s":{"tenant":"goat","service":"%s","slots":2}`, lane, serviceName(0)), "", 1)
		has := func(p *Process) bool { return p.node.state.Desired().Lanes[lane] != nil }
		var only []string
		for i := 0; i < w.Nodes; i += 2 {
			only = append(only, w.Node(i).Name)
		}
		try := func(step string, c *wire.SetDesired, want func(i int) bool) {
			w.refreshGeneration(gen)
			c.Basis, c.ChangeId = *gen, step
			w.submitUntilAnswered(c, step, func(code ledger.Code, g uint64) {
				if code != ledger.Done {
					w.ReportViolation("a trial was not taken", "%s: %s", step, code)
				}
			})
			w.Run(3 * time.Second)
			for i := 0; i < w.Nodes; i++ {
				if has(w.Node(i)) != want(i) {
					w.ReportViolation("a trial reached the wrong nodes", "%s: %s", step, w.Node(i).Name)
				}
			}
		}
		try("try", &wire.SetDesired{Doc: []byte(withoutLane), Only: only}, func(i int) bool { return i%2 == 1 })
		try("back", &wire.SetDesired{Withdraw: true}, func(int) bool { return true })
		try("again", &wire.SetDesired{Doc: []byte(withoutLane), Only: only}, func(i int) bool { return i%2 == 1 })
		l := w.Leader()
		w.Kill(l)
		w.Start(l)
		w.Run(3 * time.Second)
		try("whole", &wire.SetDesired{Doc: []byte(withoutLane)}, func(int) bool { return false })
		try("after", &wire.SetDesired{Doc: []byte(w.Document(w.Nodes, 1, 2, MaxBackendConnections))}, func(int) bool { return true })
	}},
	{Name: "handover", Description: "every control process stops as planned and comes back, while backends drain", configure: func(c *Config) { c.Cells, c.Nodes = 4, 8 }, run: func(w *World, r *Result, gen *uint64) {
		stop := w.watchCellFreshness(r)
		for i := 0; i < w.Controls; i++ {
			p := w.Control(i)
			backend := w.Backends[w.Rand.Intn(len(w.Backends))]
			w.after(time.Duration(w.Rand.Intn(1500))*ms, func() {
				if backend.up && backend.state == cell.Ready {
					backend.Drain()
					w.after(3*time.Second, func() {
						backend.restart(0)
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
		if r.MaxCellStaleness > time.Second {
			w.ReportViolation("a planned hand-over left a gap", "a node had no fresh news of a cell for %v", r.MaxCellStaleness)
		}
	}},
	{Name: "all-killed", Description: "every process is killed at once while backends drain, and all are back within a second", configure: func(c *Config) { c.Nodes, c.Backends = 8, 12 }, run: func(w *World, r *Result, gen *uint64) {
		for _, b := range w.Backends {
			b.named = true
		}
		w.Run(6 * time.Second)
		for i := 0; i < 4; i++ {
			w.Run(time.Duration(5000+w.Rand.Intn(3000)) * ms)
			for _, b := range w.Backends {
				if b.up && b.state == cell.Ready && w.Rand.Intn(4) == 0 {
					w.after(time.Duration(w.Rand.Intn(600))*ms, func() {
						if b.up && b.state == cell.Ready {
							b.Drain()
							w.after(4*time.Second, func() { b.restart(time.Second) })
						}
					})
				}
			}
			w.Run(700 * ms)
			for _, p := range w.Processes {
				w.Kill(p)
			}
			w.Run(time.Duration(300+w.Rand.Intn(700)) * ms)
			for _, p := range w.Processes {
				w.Start(p)
			}
			usualReady, from, n := w.readyNodes, w.Now, len(w.ServedAt)
			w.readyNodes = func() (out []*Process) {
				for _, p := range w.Processes {
					if p.node != nil && p.node.state.Ready() {
						out = append(out, p)
					}
				}
				return out
			}
			for len(w.ServedAt) < n+30 && w.Now.Sub(from) < 15*time.Second {
				w.Run(20 * ms)
			}
			w.readyNodes = usualReady
			r.RecoveryTime = max(r.RecoveryTime, w.Now.Sub(from))
		}
		if r.RecoveryTime > 1800*ms {
			w.ReportViolation("service not back soon after all were killed", "30 visits served only %v after the start", r.RecoveryTime)
		}
	}},
	{Name: "swap", Description: "disk holders are swapped one after another until no founder is left, then all are killed", configure: func(c *Config) { c.Spares = 4 }, run: func(w *World, r *Result, gen *uint64) {
		all := w.Processes[len(w.Processes)-w.Spares:]
		for i := 0; i < w.Controls; i++ {
			all[i].removed = false
			w.Start(all[i])
			old := w.Control(i)
			w.Run(2 * time.Second)
			w.Kill(old)
			old.removed = true
			for k := 0; k < 200 && !w.voterReplaced(old); k++ {
				w.Run(100 * ms)
			}
			if !w.voterReplaced(old) {
				w.ReportViolation("a swapped disk holder was not replaced", "%s", old.Name)
			}
			w.refreshGeneration(gen)
			w.SetDesired(*gen, w.Document(w.Nodes, i%2, 2, MaxBackendConnections), fmt.Sprint("swap-", i), func(ledger.Code, uint64) { w.refreshGeneration(gen) })
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
	{Name: "slow-disks", Description: "each sync takes 20 to 100 ms, and now and then a disk stalls for seconds", configure: func(c *Config) {}, run: func(w *World, r *Result, gen *uint64) {
		for i := 0; i < w.Controls; i++ {
			w.Control(i).disk.syncDelay = 60 * ms
		}
		from := w.elapsed()
		for i := 0; i < 5; i++ {
			p := w.Control(w.Rand.Intn(w.Controls))
			p.disk.stalled = true
			w.after(300*ms, func() { p.step(diskEvent(true)) })
			w.after(time.Duration(1+w.Rand.Intn(3))*time.Second, func() {
				p.disk.stalled = false
				p.step(diskEvent(false))
				p.writeDisk()
			})
			w.refreshGeneration(gen)
			w.SetDesired(*gen, w.Document(w.Nodes, i%2, 2, MaxBackendConnections), fmt.Sprint("slow-", i), func(ledger.Code, uint64) { w.refreshGeneration(gen) })
			w.Run(5 * time.Second)
		}
		r.ServedShare = min(w.servedBetween(serviceName(0)+"-once", from, w.elapsed()-2*time.Second).ratio(), w.servedBetween(serviceName(1)+"-once", from, w.elapsed()-2*time.Second).ratio())
		if r.ServedShare < 0.75 {
			w.ReportViolation("claims are not served on slow disks", "share %.3f", r.ServedShare)
		}
	}},
	{Name: "peak", Description: "pools full at hanging backends while caps move between lanes, nodes freeze and seats change hands", configure: func(c *Config) {
		c.Slots, c.RequestRate, c.Backends, c.Nodes = 128, 400, 4, 8
	}, run: func(w *World, r *Result, gen *uint64) {
		shapes := [][3]int{{5, 1, 1}, {1, 5, 1}, {3, 3, 1}, {1, 2, 6}}
		w.laneLimit = 5
		for i := 0; i < 12; i++ {
			for _, b := range w.Backends {
				b.mode = "hang"
			}
			s := shapes[w.Rand.Intn(len(shapes))]
			w.refreshGeneration(gen)
			w.SetDesired(*gen, w.peakDocument(s[0], s[1], s[2]), fmt.Sprint("peak-", i), func(ledger.Code, uint64) { w.refreshGeneration(gen) })
			k := w.Node(w.Rand.Intn(w.Nodes))
			switch w.Rand.Intn(3) {
			case 0:
				w.Freeze(k, time.Duration(1+w.Rand.Intn(8))*time.Second)
			case 1:
				w.Kill(k)
				w.after(time.Duration(w.Rand.Intn(500))*ms, func() { w.Start(k) })
			case 2:
				if k.up && !k.frozen {
					k.step(stopNode())
					w.after(4*time.Second, func() { w.Start(k) })
				}
			}
			w.Run(time.Duration(500+w.Rand.Intn(3000)) * ms)
		}
	}},
	{Name: "tries", Description: "backends that beat often and refuse connections", configure: func(c *Config) { c.RequestRate, c.Backends = 120, 12 }, run: func(w *World, r *Result, gen *uint64) {
		for _, b := range w.Backends {
			if w.Rand.Intn(4) > 0 {
				b.mode = "refuse"
			}
			b.announceOften()
		}
		for i := 0; i < 12; i++ {
			k := w.Node(w.Rand.Intn(w.Nodes))
			w.Kill(k)
			w.Start(k)
			w.Run(1500 * ms)
		}
	}},
	{Name: "waits", Description: "more visits than slots, slow claims, slow links, a stalled disk", configure: func(c *Config) { c.RequestRate, c.Slots = 300, 2 }, run: func(w *World, r *Result, gen *uint64) {
		for i := 0; i < 6; i++ {
			d := w.Control(w.Rand.Intn(w.Controls)).disk
			d.stalled = true
			w.extraDelay = time.Duration(w.Rand.Intn(400)) * ms
			w.Run(2 * time.Second)
			d.stalled = false
			for _, p := range w.Processes[:w.Controls] {
				p.writeDisk()
			}
			w.Heal()
			w.Run(time.Second)
		}
	}},
	{Name: "uneven", Description: "some nodes get many more visits than others", configure: func(c *Config) {
		c.Backends, c.Nodes, c.RequestRate, c.LoadSkew = 12, 8, 200, 2
	}, run: func(w *World, r *Result, gen *uint64) {
		from := w.elapsed() + 2*time.Second
		w.Run(20 * time.Second)
		r.ServedShare = w.servedBetween("", from, w.elapsed()-2*time.Second).ratio()
	}},
	{Name: "flood", Description: "one lane is flooded, at one half of the run only", configure: func(c *Config) { c.Backends, c.Slots = 8, 12 }, run: func(w *World, r *Result, gen *uint64) {
		w.measureIsolation(r, serviceName(0)+"-look", func(on bool) {
			if on {
				w.floodLane(serviceName(0)+"-look", 400, 12*time.Second)
			}
		})
	}},
	{Name: "lane-hangs", Description: "the work of one lane hangs, at one half of the run only", configure: func(c *Config) { c.Backends, c.Slots = 8, 12 }, run: func(w *World, r *Result, gen *uint64) {
		w.measureIsolation(r, serviceName(0)+"-look", func(on bool) {
			if w.hangingLane = ""; on {
				w.hangingLane = serviceName(0) + "-look"
			}
		})
	}},
	{Name: "probes-fail", Description: "one service breaks every probe off again and again, at one half of the run only", configure: func(c *Config) { c.Backends, c.Slots = 8, 12 }, run: func(w *World, r *Result, gen *uint64) {
		fail := false
		var spoil func()
		spoil = func() {
			for _, b := range w.Backends {
				for _, id := range ident.SortedKeys(b.conns) {
					if l := b.conns[id]; b.service == serviceName(0) && l.probe {
						w.closeConn(l)
						w.after(ms, func() { l.from.connBroke(l) })
					}
				}
			}
			if fail {
				w.after(300*ms, spoil)
			}
		}
		w.measureIsolation(r, serviceName(0), func(on bool) {
			if fail = on; on {
				spoil()
			}
		})
	}},
	{Name: "holiday", Description: "two regions' blackout days overlap, while clocks leap, operators race, leaders, disks and nodes go at each boundary", configure: func(c *Config) { c.clockScale = blackoutClockScale }, run: func(w *World, r *Result, gen *uint64) {
		w.runHoliday(r, gen)
	}},
	{Name: "class-hangs", Description: "the work of one service hangs, at one half of the run only", configure: func(c *Config) { c.Backends, c.Slots = 8, 12 }, run: func(w *World, r *Result, gen *uint64) {
		w.measureIsolation(r, serviceName(0), func(on bool) {
			for _, b := range w.Backends {
				if b.mode = ""; on && b.service == serviceName(0) {
					b.mode = "hang"
				}
			}
		})
	}},
}

// SceneByName returns the scene of that name, or nil.
func SceneByName(name string) *Scene {
	for _, s := range Scenes {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// voterReplaced reports whether the process is no voter any more and at least three voters remain.
func (w *World) voterReplaced(old *Process) bool {
	l := w.Leader()
	if l == nil {
		return false
	}
	n := 0
	for _, v := range agreement.Voters(l.control.Agreement.Roster()) {
		if v.Addr == old.Addr {
			return false
		}
		n++
	}
	return n >= 3
}

// watchCellFreshness measures the longest time for which a ready node had no fresh update of a cell.
func (w *World) watchCellFreshness(r *Result) (stop func()) {
	from := map[string]ident.Moment{}
	on := true
	var check func()
	check = func() {
		for _, p := range w.Processes {
			if p.node == nil || !p.node.state.Ready() {
				continue
			}
			for i := 0; i < w.Cells; i++ {
				c := ident.Cell(w.cellName(i))
				name := p.Name + string(c)
				k := p.node.state.Relay.Cells[c]
				if k != nil && len(k.Backends) > 0 && p.node.state.Relay.CellFresh(c, p.clock()) {
					from[name] = w.Now
				} else if from[name] != 0 {
					r.MaxCellStaleness = max(r.MaxCellStaleness, w.Now.Sub(from[name]))
				}
			}
		}
		if on {
			w.after(20*ms, check)
		}
	}
	check()
	return func() { on = false }
}

// peakDocument is a configuration with the given slots of the two kinds of lanes and the given surge.
func (w *World) peakDocument(one, two, surge int) string {
	doc := w.Document(w.Nodes-2, 0, 1, MaxBackendConnections)
	for i := 0; i < w.Services; i++ {
		s := serviceName(i)
		doc = strings.Replace(doc, fmt.Sprintf(`"service":"%s","slots":1,"once":true`, s), fmt.Sprintf(`"service":"%s","slots":%d,"once":true`, s, one), 1)
		doc = strings.Replace(doc, fmt.Sprintf(`"service":"%s","slots":1}`, s), fmt.Sprintf(`"service":"%s","slots":%d}`, s, two), 1)
	}
	return strings.Replace(doc, `"surge":0`, fmt.Sprintf(`"surge":%d`, surge), 1)
}

func (w *World) floodLane(lane string, rate float64, d time.Duration) {
	end := w.Now.Add(d)
	var next func()
	next = func() {
		if w.Now.Before(end) {
			w.sendRequest(w.readyNodes, lane, "", 3)
			w.after(time.Duration(w.Rand.ExpFloat64()/rate*1e9), next)
		}
	}
	next()
}

// measureIsolation compares the share of requests served on the other lanes before and during a fault of one lane;
// each must keep nine tenths of its share.
func (w *World) measureIsolation(r *Result, excluded string, setFault func(on bool)) {
	w.Run(2 * time.Second)
	from := w.elapsed().Truncate(time.Second)
	w.Run(12 * time.Second)
	mid := w.elapsed().Truncate(time.Second)
	setFault(true)
	w.Run(12 * time.Second)
	end := w.elapsed().Truncate(time.Second)
	setFault(false)
	r.MinShareRatio = 1
	for _, lane := range ident.SortedKeys(w.countsBySecond) {
		if strings.HasPrefix(lane, excluded) {
			continue
		}
		before, during := w.servedBetween(lane, from, mid).ratio(), w.servedBetween(lane, mid, end).ratio()
		r.MinShareRatio = min(r.MinShareRatio, during/max(before, 0.001))
		if during < 0.9*before {
			w.ReportViolation("one lane took another's admissions", "%s: share %.3f before, %.3f while another misbehaves", lane, before, during)
		}
	}
}

// announceOften sends a heartbeat every 150 ms until faults end.
func (b *Backend) announceOften() {
	starts := b.starts
	var beat func()
	beat = func() {
		if b.up && b.starts == starts && !b.w.restored {
			b.announce(cell.Ready, nil)
			b.w.after(150*ms, beat)
		}
	}
	beat()
}

// RunScene runs one scene.
func RunScene(s *Scene, seed int64, weak string, trace bool) *Result {
	c := smallConfig(seed)
	c.DisabledGuard, c.Trace, c.scene = weak, trace, s
	s.configure(&c)
	return Run(c, 0)
}
