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
	simulatedDay       = 12 * time.Second
	blackoutClockScale = int64(24*time.Hour) / int64(simulatedDay)
	calendarStartMs    = int64(1797897600000)
	dayMs              = int64(24 * 3600 * 1000)
)

// calendarRun is a simulated week; it starts at midnight of the 22nd.
type calendarRun struct {
	start          ident.Moment
	routingByState map[*desired.State]map[string]string
	routingAtStart map[string]string
	changes        map[string]*calendarChange
	list           []*calendarChange
	blackouts      map[string][2]time.Duration
	skewedControl  string
}

// calendarChange is a change submitted while blackout periods begin and end; position is its place in the queue of
// held changes.
type calendarChange struct {
	id         string
	regions    string
	code       ledger.Code
	generation uint64
	position   uint64
	withdrawn  bool
	applied    bool
}

// wallClock returns the wall clock of a process in milliseconds; a day takes 12 s of simulated time. Before the
// calendar run begins, the clock stands 100 days earlier.
func (w *World) wallClock(p *Process) int64 {
	if w.calendar == nil {
		return calendarStartMs - 100*dayMs
	}
	return calendarStartMs + int64(w.Now.Sub(w.calendar.start)/time.Millisecond)*blackoutClockScale + p.wallOffsetMs
}

// watchClock delivers wall clock readings to the process until it turns them off.
func (p *Process) watchClock(on bool) {
	p.clockWatch++
	watchNumber, starts := p.clockWatch, p.starts
	var readClock func()
	readClock = func() {
		if !p.up || p.starts != starts || p.clockWatch != watchNumber {
			return
		}
		if !p.frozen {
			p.step(control.ClockReading{UnixMs: p.w.wallClock(p), At: p.clock()})
		}
		p.w.after(control.ClockInterval, readClock)
	}
	if on {
		p.w.after(0, readClock)
	}
}

func (s *calendarRun) elapsed(w *World) time.Duration { return w.Now.Sub(s.start) }

// routing returns for each region the part of a configuration that must not change in its blackout periods.
func (s *calendarRun) routing(d *desired.State) map[string]string {
	if k := s.routingByState[d]; k != nil {
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
			for _, r := range d.Services[t.Lane.Service].Regions {
				out[r] += fmt.Sprint(n, k.Host, k.Prefix, t.Weight, t.Lane.Name, k.MaxAttempts, k.RequestTimeout)
			}
		}
	}
	s.routingByState[d] = out
	return out
}

// checkBlackout checks that the routing of a region under which a node decides does not change from the beginning of
// a blackout period to 1.5 s before its end.
func (w *World) checkBlackout(p *Process) {
	s := w.calendar
	d := p.node.state.Desired()
	if s == nil || d == nil || len(d.Blackouts) == 0 {
		return
	}
	for _, r := range []string{"north", "south"} {
		blackout := s.blackouts[r]
		at := s.elapsed(w)
		if at < blackout[0] || at > blackout[1]-1500*ms {
			continue
		}
		now := s.routing(d)[r]
		if s.routingAtStart[r] == "" {
			s.routingAtStart[r] = now
		}
		if now != s.routingAtStart[r] {
			w.ReportViolation("routing moved in a blackout period", "%s in %s, %v into the season, generation %d", p.Name, r, at, p.node.state.Relay.DocumentGeneration)
		}
	}
}

func (w *World) watchBlackouts() {
	for _, p := range w.Processes {
		if p.up && !p.frozen && p.node != nil && p.node.state.Ready() {
			w.checkBlackout(p)
		}
	}
	w.after(50*ms, w.watchBlackouts)
}

// submitCalendarChange appends one change to the end of the queue as some control process knows it: a route, a
// tenant or both, named after the change.
func (w *World) submitCalendarChange(id string, regions string, basis, tail uint64) {
	s := w.calendar
	change := &calendarChange{id: id, regions: regions, code: ledger.Lost}
	s.changes[id] = change
	s.list = append(s.list, change)
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
	if l := w.Leader(); w.DisabledGuard == "still" && l != nil && l.control.Ledger.Generation > 0 {
		base, _ := desired.ReadTree(l.control.Ledger.HistoryEntry(l.control.Ledger.Generation).Doc)
		patch, _ := desired.ReadTree(b)
		l.control.Agreement.Propose(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(l.control.Ledger.Generation), Turn: l.control.Ledger.QueueVersion, ChangeId: id, Doc: desired.Write(desired.Merge(base, patch))}}}, l.clock())
		delete(s.changes, id)
		s.list = s.list[:len(s.list)-1]
		return
	}
	w.sendCalendarChange(change, &wire.SetDesired{Basis: basis, Tail: tail, ChangeId: id, Doc: b, Merge: true}, 0)
}

func (w *World) sendCalendarChange(change *calendarChange, c *wire.SetDesired, n int) {
	w.submitChange(w.randomControl(), c, func(r *wire.ProposeReply) {
		code := ledger.Code(r.Code)
		if code == ledger.Lost && n < 30 {
			w.after(200*ms, func() { w.sendCalendarChange(change, c, n+1) })
			return
		}
		w.Tracef("wish %s: %s, generation %d place %d", change.id, code, r.Generation, r.Place)
		if change.code == ledger.Held && code == ledger.Held && change.position != r.Place {
			w.ReportViolation("two places for one change", "%s: %d and %d", change.id, change.position, r.Place)
		}
		if code == ledger.Done && change.code == ledger.Done && change.generation != r.Generation {
			w.ReportViolation("two generations for one change", "%s", change.id)
		}
		switch code {
		case ledger.Held:
			if change.code != ledger.Held {
				w.Counters["held"]++
			}
			change.code, change.position = code, r.Place
			w.after(3*time.Second, func() { w.pollHeldChange(change, c) })
		case ledger.Done:
			change.code, change.generation, change.applied = code, r.Generation, true
			if r.Generation > w.ackedGeneration {
				w.ackedGeneration, w.ackedChange, w.ackedAt = r.Generation, change.id, w.Now
			}
		case ledger.Invalid, ledger.Stale:
			if change.code == ledger.Held && !change.withdrawn {
				w.ReportViolation("a held change was lost", "%s in place %d hears %s", change.id, change.position, code)
			}
			if change.code != ledger.Held {
				change.code = code
			}
		}
	})
}

// pollHeldChange sends a held change again, as its operator would, until it is in effect.
func (w *World) pollHeldChange(change *calendarChange, c *wire.SetDesired) {
	if change.withdrawn || change.applied {
		return
	}
	w.sendCalendarChange(change, c, 0)
}

func (w *World) withdrawHeldChange(change *calendarChange) {
	l := w.Leader()
	if l == nil || change.code != ledger.Held || change.withdrawn || change.applied {
		return
	}
	b := l.control.Ledger
	id := "out-" + change.id
	change.withdrawn = true
	w.submitUntilAnswered(&wire.SetDesired{Basis: uint64(b.Generation), Tail: b.BasisTail(), ChangeId: id, TakeOut: change.position}, id, func(code ledger.Code, gen uint64) {
		w.Tracef("withdrawing %s: %s", change.id, code)
		switch code {
		case ledger.Done:
			w.Counters["withdrawn"]++
		case ledger.Lost:
			delete(w.calendar.changes, change.id)
		default:
			change.withdrawn = false
		}
	})
}

func (w *World) submitCalendarChanges(k int) {
	l := w.Leader()
	if l == nil {
		return
	}
	b := l.control.Ledger
	basis, tail := uint64(b.Generation), b.BasisTail()
	regions := []string{"north", "south", "north south", "", "north", "south"}[w.Rand.Intn(6)]
	n := 1 + w.Rand.Intn(2)
	for i := 0; i < n; i++ {
		id := fmt.Sprintf("wish-%d-%d", k, i)
		w.after(time.Duration(w.Rand.Intn(300))*ms, func() { w.submitCalendarChange(id, regions, basis, tail) })
	}
	if w.Rand.Intn(6) == 0 && len(w.calendar.list) > 0 {
		w.withdrawHeldChange(w.calendar.list[w.Rand.Intn(len(w.calendar.list))])
	}
}

// injectBoundaryFault injects one fault around a moment at which a period is opened, begins or ends.
func (w *World) injectBoundaryFault() {
	later := func(d time.Duration, do func()) {
		w.after(d, func() {
			if !w.restored {
				do()
			}
		})
	}
	l := w.Leader()
	duration := time.Duration(500+w.Rand.Intn(4000)) * ms
	node := w.Node(w.Rand.Intn(w.Nodes))
	switch kind := w.Rand.Intn(8); {
	case kind == 0 && l != nil:
		w.Kill(l)
		later(duration, func() { w.Start(l) })
	case kind == 1 && l != nil:
		w.Isolate(l)
		later(duration, w.Heal)
	case kind == 2 && l != nil:
		w.Freeze(l, duration)
	case kind == 3 && w.controlsUp() == w.Controls && w.votersCaughtUp():
		k := w.Control(w.Rand.Intn(w.Controls))
		w.Wipe(k)
		later(duration, func() { w.Start(k) })
	case kind == 4:
		for _, p := range w.Processes[:w.Controls] {
			w.Kill(p)
			later(time.Duration(w.Rand.Intn(3000))*ms, func() { w.Start(p) })
		}
	case kind == 5:
		w.Isolate(node)
		later(2*duration, w.Heal)
	case kind == 6:
		for i := 0; i < 2; i++ {
			k := w.Control(w.Rand.Intn(w.Controls))
			k.disk.stalled = true
			later(duration, func() {
				k.disk.stalled = false
				k.writeDisk()
			})
		}
	default:
		w.Freeze(node, 2*duration)
	}
}

// moveWallClocks sets the wall clock of each control process off by up to 108 minutes, which is 0.9 s of simulated
// time, and one of them by 1 to 400 days; after 2 to 6 s it does so again.
func (w *World) moveWallClocks() {
	s := w.calendar
	if w.restored || s.elapsed(w) > 5*simulatedDay+4*time.Second {
		return
	}
	names := []string{}
	for _, v := range w.Processes {
		if v.disk == nil {
			continue
		}
		names = append(names, v.Name)
		v.wallOffsetMs = int64(w.Rand.Intn(1800)-900) * blackoutClockScale
	}
	s.skewedControl = names[w.Rand.Intn(len(names))]
	if l := w.Leader(); l != nil && w.Rand.Intn(2) == 0 {
		s.skewedControl = l.Name
	}
	for _, v := range w.Processes {
		if v.Name == s.skewedControl {
			v.wallOffsetMs = []int64{-400, -40, -1, 1, 3, 40, 84, 400}[w.Rand.Intn(8)] * dayMs
			w.Tracef("%s: wall clock is off by %d days", v.Name, v.wallOffsetMs/dayMs)
		}
	}
	w.after(time.Duration(2000+w.Rand.Intn(4000))*ms, w.moveWallClocks)
}

// runHoliday configures two overlapping blackout periods and submits changes before, during and after them.
func (w *World) runHoliday(r *Result, gen *uint64) {
	s := &calendarRun{start: w.Now.Add(2 * time.Second), routingByState: map[*desired.State]map[string]string{}, routingAtStart: map[string]string{}, changes: map[string]*calendarChange{}, blackouts: map[string][2]time.Duration{
		"north": {2 * simulatedDay, 4 * simulatedDay}, "south": {3 * simulatedDay, 5 * simulatedDay},
	}}
	w.calendar = s
	patch := `{"regions":{"north":{"cells":["a"]},"south":{"cells":["b"]}},"services":{"` + serviceName(0) + `":{"regions":["north"]},"` + serviceName(1) + `":{"regions":["south"]}},
		"blackouts":{"north":{"zone":"UTC","days":["2026-12-24","2026-12-25","2027-03-16"]},"south":{"zone":"UTC","rules":["DTSTART=20261225;FREQ=DAILY;COUNT=2","DTSTART=20260316;FREQ=YEARLY"]}}}`
	ok := false
	w.refreshGeneration(gen)
	w.submitUntilAnswered(&wire.SetDesired{Basis: *gen, ChangeId: "calendar", Merge: true, Doc: []byte(patch)}, "calendar", func(code ledger.Code, g uint64) { ok = code == ledger.Done })
	for i := 0; i < 50 && !ok; i++ {
		w.Run(200 * ms)
	}
	if !ok {
		w.ReportViolation("the calendar was not taken", "")
		return
	}
	w.after(0, w.watchBlackouts)
	w.after(0, w.moveWallClocks)
	edges := []time.Duration{}
	for _, n := range []string{"north", "south"} {
		blackout := s.blackouts[n]
		edges = append(edges, blackout[0]-control.MinPeriodLead, blackout[0], blackout[1])
	}
	for _, e := range edges {
		delay := s.start.Add(e + time.Duration(w.Rand.Intn(3000)-2000)*ms).Sub(w.Now)
		w.after(max(0, delay), func() { w.injectBoundaryFault() })
	}
	absent := w.Node(w.Rand.Intn(w.Nodes))
	w.after(s.start.Add(2*simulatedDay-4*time.Second).Sub(w.Now), func() { w.Kill(absent) })
	w.after(s.start.Add(4*simulatedDay+time.Duration(w.Rand.Intn(20000)-10000)*ms).Sub(w.Now), func() { w.Start(absent) })
	for k := 0; s.elapsed(w) < 5*simulatedDay+4*time.Second; k++ {
		if s.elapsed(w) < 5*simulatedDay-2*time.Second {
			w.submitCalendarChanges(k)
		}
		w.Run(time.Duration(200+w.Rand.Intn(1500)) * ms)
	}
	for _, p := range w.Processes {
		p.wallOffsetMs = 0
	}
	for i := 0; i < 100 && !w.heldQueueEmpty(); i++ {
		w.Run(200 * ms)
	}
	w.Run(time.Second)
}

// heldQueueEmpty reports whether no change is held and no blackout period is open.
func (w *World) heldQueueEmpty() bool {
	l := w.Leader()
	return l != nil && len(l.control.Ledger.HeldChanges) == 0 && len(l.control.Ledger.RegionsInBlackout()) == 0
}

// checkHeldChanges checks, once all faults are repaired, that every acknowledged change is in effect, that no
// refused one is, and that the changes held for a period were applied together.
func (w *World) checkHeldChanges(r *Result) {
	s, l := w.calendar, w.Leader()
	if s == nil || l == nil || w.DisabledGuard == "still" {
		return
	}
	b := l.control.Ledger
	if n := len(b.HeldChanges); n > 0 {
		w.ReportViolation("held changes did not land", "%d left, open %v", n, b.RegionsInBlackout())
	}
	d := b.DesiredState(b.Generation)
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
		w.ReportViolation("held changes did not land together", "%d landings for two closings", landings)
	}
	for id, k := range s.changes {
		in := d.Routes[id] != nil || k.regions == "" && d.Tenants[id] != nil
		acknowledged := (k.code == ledger.Done || k.code == ledger.Held) && !k.withdrawn
		if acknowledged && !in {
			w.ReportViolation("a held change was lost", "%s: %s, place %d", id, k.code, k.position)
		}
		if in && (k.code == ledger.Stale || k.code == ledger.Invalid || k.withdrawn) {
			w.ReportViolation("a change that was refused or withdrawn is in force", "%s: %s", id, k.code)
		}
		if k.code == ledger.Held || lines[id] > 0 {
			w.Counters["landed"]++
		}
	}
	for _, p := range b.BlackoutPeriods {
		if p.Open || p.Number > 2 {
			w.ReportViolation("a period did not open and close once", "%s: number %d open %v", p.Region, p.Number, p.Open)
		}
	}
	w.Counters["periods"] += len(b.BlackoutPeriods)
	for _, p := range w.Processes {
		if p.node != nil && p.up && p.node.state.Desired() != nil {
			for r := range s.blackouts {
				if a, z := s.routing(p.node.state.Desired())[r], s.routing(d)[r]; a != z {
					w.ReportViolation("nodes differ after the holiday", "%s in %s", p.Name, r)
				}
			}
		}
	}
}
