package simulate

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"sloeturn/control"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

const (
	dayLong  = 12 * time.Second
	dayScale = int64(24*time.Hour) / int64(dayLong)
	eve      = int64(1797897600000)
	dayMs    = int64(24 * 3600 * 1000)
)

// season is a simulated week: its first moment is midnight of the 22nd.
type season struct {
	from   ident.Moment
	states map[*desired.State]map[string]string
	first  map[string]string
	asked  map[string]*wish
	list   []*wish
	spans  map[string][2]time.Duration
	wild   string
}

type wish struct {
	id      string
	regions string
	code    ledger.Code
	gen     uint64
	place   uint64
	out     bool
	done    bool
}

func (w *World) wall(p *Proc) int64 {
	if w.season == nil {
		return eve - 100*dayMs
	}
	return eve + int64(w.Now.Sub(w.season.from)/time.Millisecond)*dayScale + p.leap
}

func (p *Proc) watch(on bool) {
	p.watching++
	turn, life := p.watching, p.life
	var tell func()
	tell = func() {
		if !p.up || p.life != life || p.watching != turn {
			return
		}
		if !p.frozen {
			p.step(control.Clock{UnixMs: p.w.wall(p), At: p.clock()})
		}
		p.w.at(control.ClockEvery, tell)
	}
	if on {
		p.w.at(0, tell)
	}
}

func (s *season) at(w *World) time.Duration { return w.Now.Sub(s.from) }

// routing is what of a state stands still in each region.
func (s *season) routing(d *desired.State) map[string]string {
	if k := s.states[d]; k != nil {
		return k
	}
	out := map[string]string{}
	for _, n := range d.ServiceNames() {
		v := d.Services[n]
		for _, r := range v.Regions {
			b, _ := json.Marshal(v)
			out[r] += string(b)
		}
	}
	for _, n := range d.LaneNames() {
		l := d.Lanes[n]
		for _, r := range d.Services[l.Service].Regions {
			b, _ := json.Marshal(l)
			out[r] += string(b)
		}
	}
	for _, n := range d.RouteNames() {
		k := d.Routes[n]
		for _, t := range k.Targets {
			for _, r := range d.Services[t.Rule.Service].Regions {
				out[r] += fmt.Sprint(n, k.Host, k.Prefix, t.Weight, t.Rule.Name, k.Attempts, k.Whole)
			}
		}
	}
	s.states[d] = out
	return out
}

func (w *World) still(p *Proc) {
	s := w.season
	d := p.node.state.Desired()
	if s == nil || d == nil || len(d.Blackouts) == 0 {
		return
	}
	for _, r := range []string{"north", "south"} {
		span := s.spans[r]
		at := s.at(w)
		if at < span[0] || at > span[1]-1500*ms {
			continue
		}
		now := s.routing(d)[r]
		if s.first[r] == "" {
			s.first[r] = now
		}
		if now != s.first[r] {
			w.Break("routing moved in a blackout period", "%s in %s, %v into the season, generation %d", p.Name, r, at, p.node.state.Relay.DocGen)
		}
	}
}

func (w *World) stills() {
	for _, p := range w.Procs {
		if p.up && !p.frozen && p.node != nil && p.node.state.Ready() {
			w.still(p)
		}
	}
	w.at(50*ms, w.stills)
}

// wishes one change onto the end of the queue, as some control process knows it: a route of its own, named after it.
func (w *World) wish(id string, regions string, basis, tail uint64) {
	s := w.season
	k := &wish{id: id, regions: regions, code: ledger.Lost}
	s.asked[id] = k
	s.list = append(s.list, k)
	lanes := map[string]int{}
	for i, r := range []string{"north", "south"} {
		if strings.Contains(regions, r) {
			lanes[serviceName(i)+"-look"] = 1
		}
	}
	doc := map[string]any{}
	if len(lanes) > 0 {
		doc["routes"] = map[string]any{id: map[string]any{"host": id, "prefix": "/", "wholeMs": 500, "shots": 1, "lanes": lanes}}
	}
	if regions == "" || w.Rand.Intn(4) == 0 {
		doc["tenants"] = map[string]any{id: map[string]any{}}
	}
	b, _ := json.Marshal(doc)
	if l := w.Leader(); w.Weak == "still" && l != nil && l.control.Book.Generation > 0 {
		base, _ := desired.ReadTree(l.control.Book.Line(l.control.Book.Generation).Doc)
		patch, _ := desired.ReadTree(b)
		l.control.Agree.Propose(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(l.control.Book.Generation), Turn: l.control.Book.Turn, ChangeId: id, Doc: desired.Write(desired.Merge(base, patch))}}}, l.clock())
		delete(s.asked, id)
		s.list = s.list[:len(s.list)-1]
		return
	}
	w.send(k, &wire.SetDesired{Basis: basis, Tail: tail, ChangeId: id, Doc: b, Merge: true}, 0)
}

func (w *World) send(k *wish, c *wire.SetDesired, n int) {
	w.change(w.someControl(), c, func(r *wire.ProposeReply) {
		code := ledger.Code(r.Code)
		if code == ledger.Lost && n < 30 {
			w.at(200*ms, func() { w.send(k, c, n+1) })
			return
		}
		w.Say("wish %s: %s, generation %d place %d", k.id, code, r.Generation, r.Place)
		if k.code == ledger.Held && code == ledger.Held && k.place != r.Place {
			w.Break("two places for one change", "%s: %d and %d", k.id, k.place, r.Place)
		}
		if code == ledger.Done && k.code == ledger.Done && k.gen != r.Generation {
			w.Break("two generations for one change", "%s", k.id)
		}
		switch code {
		case ledger.Held:
			if k.code != ledger.Held {
				w.Count["held"]++
			}
			k.code, k.place = code, r.Place
			w.at(3*time.Second, func() { w.again(k, c) })
		case ledger.Done:
			k.code, k.gen, k.done = code, r.Generation, true
			if r.Generation > w.acked {
				w.acked, w.ackedDoc, w.ackAt = r.Generation, k.id, w.Now
			}
		case ledger.Invalid, ledger.Stale:
			if k.code == ledger.Held && !k.out {
				w.Break("a held change was lost", "%s in place %d hears %s", k.id, k.place, code)
			}
			if k.code != ledger.Held {
				k.code = code
			}
		}
	})
}

// again asks about a held change as its operator would, until it is in force.
func (w *World) again(k *wish, c *wire.SetDesired) {
	if k.out || k.done {
		return
	}
	w.send(k, c, 0)
}

func (w *World) takeOut(k *wish) {
	l := w.Leader()
	if l == nil || k.code != ledger.Held || k.out || k.done {
		return
	}
	b := l.control.Book
	id := "out-" + k.id
	k.out = true
	w.put(&wire.SetDesired{Basis: uint64(b.Generation), Tail: b.Stands(), ChangeId: id, TakeOut: k.place}, id, func(code ledger.Code, gen uint64) {
		w.Say("withdrawing %s: %s", k.id, code)
		switch code {
		case ledger.Done:
			w.Count["withdrawn"]++
		case ledger.Lost:
			delete(w.season.asked, k.id)
		default:
			k.out = false
		}
	})
}

func (w *World) wishes(k int) {
	l := w.Leader()
	if l == nil {
		return
	}
	b := l.control.Book
	basis, tail := uint64(b.Generation), b.Stands()
	regions := []string{"north", "south", "north south", "", "north", "south"}[w.Rand.Intn(6)]
	n := 1 + w.Rand.Intn(2)
	for i := 0; i < n; i++ {
		id := fmt.Sprintf("wish-%d-%d", k, i)
		w.at(time.Duration(w.Rand.Intn(300))*ms, func() { w.wish(id, regions, basis, tail) })
	}
	if w.Rand.Intn(6) == 0 && len(w.season.list) > 0 {
		w.takeOut(w.season.list[w.Rand.Intn(len(w.season.list))])
	}
}

// boundary causes one fault around a moment at which a period opens, begins or ends.
func (w *World) boundary() {
	later := func(d time.Duration, do func()) {
		w.at(d, func() {
			if !w.mended {
				do()
			}
		})
	}
	l := w.Leader()
	span := time.Duration(500+w.Rand.Intn(4000)) * ms
	node := w.Node(w.Rand.Intn(w.Nodes))
	switch kind := w.Rand.Intn(8); {
	case kind == 0 && l != nil:
		w.Kill(l)
		later(span, func() { w.Start(l) })
	case kind == 1 && l != nil:
		w.Isolate(l)
		later(span, w.Heal)
	case kind == 2 && l != nil:
		w.Freeze(l, span)
	case kind == 3 && w.disksUp() == w.Controls && w.voters():
		k := w.Control(w.Rand.Intn(w.Controls))
		w.Wipe(k)
		later(span, func() { w.Start(k) })
	case kind == 4:
		for _, p := range w.Procs[:w.Controls] {
			w.Kill(p)
			later(time.Duration(w.Rand.Intn(3000))*ms, func() { w.Start(p) })
		}
	case kind == 5:
		w.Isolate(node)
		later(2*span, w.Heal)
	case kind == 6:
		for i := 0; i < 2; i++ {
			k := w.Control(w.Rand.Intn(w.Controls))
			k.disk.stuck = true
			later(span, func() {
				k.disk.stuck = false
				k.writeDisk()
			})
		}
	default:
		w.Freeze(node, 2*span)
	}
}

func (w *World) leaps() {
	s := w.season
	if w.mended || s.at(w) > 5*dayLong+4*time.Second {
		return
	}
	names := []string{}
	for _, v := range w.Procs {
		if v.disk == nil {
			continue
		}
		names = append(names, v.Name)
		v.leap = int64(w.Rand.Intn(1800)-900) * dayScale
	}
	s.wild = names[w.Rand.Intn(len(names))]
	if l := w.Leader(); l != nil && w.Rand.Intn(2) == 0 {
		s.wild = l.Name
	}
	for _, v := range w.Procs {
		if v.Name == s.wild {
			v.leap = []int64{-400, -40, -1, 1, 3, 40, 84, 400}[w.Rand.Intn(8)] * dayMs
			w.Say("%s: wall clock is off by %d days", v.Name, v.leap/dayMs)
		}
	}
	w.at(time.Duration(2000+w.Rand.Intn(4000))*ms, w.leaps)
}

func (w *World) holiday(r *Result, gen *uint64) {
	s := &season{from: w.Now.Add(2 * time.Second), states: map[*desired.State]map[string]string{}, first: map[string]string{}, asked: map[string]*wish{}, spans: map[string][2]time.Duration{
		"north": {2 * dayLong, 4 * dayLong}, "south": {3 * dayLong, 5 * dayLong},
	}}
	w.season = s
	patch := `{"regions":{"north":{"cells":["a"]},"south":{"cells":["b"]}},"services":{"` + serviceName(0) + `":{"regions":["north"]},"` + serviceName(1) + `":{"regions":["south"]}},
		"blackouts":{"north":{"zone":"UTC","days":["2026-12-24","2026-12-25","2027-03-16"]},"south":{"zone":"UTC","rules":["DTSTART=20261225;FREQ=DAILY;COUNT=2","DTSTART=20260316;FREQ=YEARLY"]}}}`
	ok := false
	w.catchUp(gen)
	w.put(&wire.SetDesired{Basis: *gen, ChangeId: "calendar", Merge: true, Doc: []byte(patch)}, "calendar", func(code ledger.Code, g uint64) { ok = code == ledger.Done })
	for i := 0; i < 50 && !ok; i++ {
		w.Run(200 * ms)
	}
	if !ok {
		w.Break("the calendar was not taken", "")
		return
	}
	w.at(0, w.stills)
	w.at(0, w.leaps)
	edges := []time.Duration{}
	for _, n := range []string{"north", "south"} {
		span := s.spans[n]
		edges = append(edges, span[0]-control.LeadLeast, span[0], span[1])
	}
	for _, e := range edges {
		late := s.from.Add(e + time.Duration(w.Rand.Intn(3000)-2000)*ms).Sub(w.Now)
		w.at(max(0, late), func() { w.boundary() })
	}
	gone := w.Node(w.Rand.Intn(w.Nodes))
	w.at(s.from.Add(2*dayLong-4*time.Second).Sub(w.Now), func() { w.Kill(gone) })
	w.at(s.from.Add(4*dayLong+time.Duration(w.Rand.Intn(20000)-10000)*ms).Sub(w.Now), func() { w.Start(gone) })
	for k := 0; s.at(w) < 5*dayLong+4*time.Second; k++ {
		if s.at(w) < 5*dayLong-2*time.Second {
			w.wishes(k)
		}
		w.Run(time.Duration(200+w.Rand.Intn(1500)) * ms)
	}
	for _, p := range w.Procs {
		p.leap = 0
	}
	for i := 0; i < 100 && !w.settled(); i++ {
		w.Run(200 * ms)
	}
	w.Run(time.Second)
}

func (w *World) settled() bool {
	l := w.Leader()
	return l != nil && len(l.control.Book.Held) == 0 && len(l.control.Book.OpenRegions()) == 0
}

// landed checks, once all is mended, that each acknowledged change is in force, each refused one is not, and that each closing landed all in one.
func (w *World) landed(r *Result) {
	s, l := w.season, w.Leader()
	if s == nil || l == nil || w.Weak == "still" {
		return
	}
	b := l.control.Book
	if n := len(b.Held); n > 0 {
		w.Break("held changes did not land", "%d left, open %v", n, b.OpenRegions())
	}
	d := b.State(b.Generation)
	lines := map[string]uint64{}
	landings := 0
	for _, h := range b.History {
		if len(h.Changes) > 0 {
			landings++
		}
		for _, id := range h.Changes {
			lines[id] = h.Generation
		}
	}
	if landings > 2 {
		w.Break("held changes did not land together", "%d landings for two closings", landings)
	}
	for id, k := range s.asked {
		in := d.Routes[id] != nil || k.regions == "" && d.Tenants[id] != nil
		yes := (k.code == ledger.Done || k.code == ledger.Held) && !k.out
		if yes && !in {
			w.Break("a held change was lost", "%s: %s, place %d", id, k.code, k.place)
		}
		if in && (k.code == ledger.Stale || k.code == ledger.Invalid || k.out) {
			w.Break("a change that was refused or withdrawn is in force", "%s: %s", id, k.code)
		}
		if k.code == ledger.Held || lines[id] > 0 {
			w.Count["landed"]++
		}
	}
	for _, p := range b.Periods {
		if p.Open || p.Number > 2 {
			w.Break("a period did not open and close once", "%s: number %d open %v", p.Region, p.Number, p.Open)
		}
	}
	w.Count["periods"] += len(b.Periods)
	for _, p := range w.Procs {
		if p.node != nil && p.up && p.node.state.Desired() != nil {
			for r := range s.spans {
				if a, z := s.routing(p.node.state.Desired())[r], s.routing(d)[r]; a != z {
					w.Break("nodes differ after the holiday", "%s in %s", p.Name, r)
				}
			}
		}
	}
}
