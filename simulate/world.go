// Package simulate is a deterministic simulator: it runs whole fleets of the real state machines on a simulated
// clock, network and disk, injects faults and reports each invariant that is violated. A seed determines the run.
//
// Printed texts use some older words: a promise is an invariant, an order is a configuration change, a disk holder
// is a control process, "in force" means in effect, news is an update and a yes is an acknowledgment. A seat is a
// node's numbered share of the capacity of each backend.
package simulate

import (
	"fmt"
	"math/rand"
	"time"

	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/control"
	"sloeturn/data"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	tickInterval = 10 * time.Millisecond
	ms           = time.Millisecond
)

// event is a function that runs at a simulated moment; seq orders events of the same moment.
type event struct {
	at  ident.Moment
	seq uint64
	run func()
}

// eventHeap is a binary heap of events in order of time.
type eventHeap []*event

func (h eventHeap) less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h *eventHeap) push(e *event) {
	*h = append(*h, e)
	for i := len(*h) - 1; i > 0; {
		p := (i - 1) / 2
		if !h.less(i, p) {
			break
		}
		(*h)[i], (*h)[p] = (*h)[p], (*h)[i]
		i = p
	}
}

func (h *eventHeap) pop() *event {
	e := (*h)[0]
	n := len(*h) - 1
	(*h)[0] = (*h)[n]
	*h = (*h)[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && h.less(c+1, c) {
			c++
		}
		if !h.less(c, i) {
			break
		}
		(*h)[i], (*h)[c] = (*h)[c], (*h)[i]
		i = c
	}
	return e
}

// Config describes a simulated fleet and the bounds it must keep.
type Config struct {
	Seed          int64
	Controls      int
	Nodes         int
	Cells         int
	Backends      int
	Spares        int
	Services      int
	Slots         int
	RequestRate   float64
	DisabledGuard string
	Trace         bool
	NoFaults      bool
	LoadSkew      float64
	clockScale    int64
	Routed        bool
	MaxStaleness  time.Duration
	LeaseDuration time.Duration
	// CatchUpTime is how long a machine that is new or has returned counts as lost. VoterReplaceAfter is the
	// product's time after which a silent voter is replaced.
	CatchUpTime       time.Duration
	VoterReplaceAfter time.Duration
	ContactTime       time.Duration
	MaxAckTime        time.Duration
	MaxLosses         int
	// LeavingShare is the share of clients that leave before they are answered; 0 means one in 25.
	LeavingShare float64
	DrainTimeout time.Duration
	scene        *Scene
}

// disk is the simulated disk of a control process: records are durable once a sync has completed and may be
// lost in a crash before.
type disk struct {
	id             string
	durable        []*wire.Record
	pending        []*wire.Record
	syncDelay      time.Duration
	stalled        bool
	full           bool
	queue          []agreement.RecordBatch
	syncing        bool
	savedCopies    []byte
	bytesPerSecond float64
	nearlyFull     bool
}

// Process is a simulated process: a control process if it has a disk, a node otherwise.
type Process struct {
	w                 *World
	Name              string
	Addr              string
	Cell              string
	control           *control.State
	node              *nodeSim
	starts            uint64
	up                bool
	frozen            bool
	removed           bool
	seeds             []ident.Addr
	clockOffset       time.Duration
	deferred          []func()
	disk              *disk
	disturbedAt       ident.Moment
	adoptedGeneration ident.Generation
	wallOffsetMs      int64
	clockWatch        int
	joinsExisting     bool
	assigned          bool
	linkResets        int
}

// World holds the simulated clock, network, disks, processes and backends of one run, and what the checks have
// observed.
type World struct {
	Config
	Rand             *rand.Rand
	Now              ident.Moment
	queue            eventHeap
	seq              uint64
	Processes        []*Process
	processByAddr    map[string]*Process
	Backends         []*Backend
	backendByAddr    map[string]*Backend
	cutLinks         map[[2]string]bool
	extraDelay       time.Duration
	lossRate         float64
	duplicateRate    float64
	Violations       map[string]string
	Counters         map[string]int
	Log              []string
	requestsByKey    map[string][]string
	executions       map[string]int
	ackedGeneration  uint64
	ackedChange      string
	ackedAt          ident.Moment
	keyedRequests    int
	ServedAt         []ident.Moment
	slowestRefusal   time.Duration
	SentBytes        uint64
	SentFrames       uint64
	retries          map[string][]ident.Moment
	firstAttempts    map[string][]ident.Moment
	measuresTraffic  bool
	ackedChanges     map[string]uint64
	start            ident.Moment
	restored         bool
	maxConnections   int
	bytesSentBy      map[string]uint64
	recentServed     []servedRequest
	readyNodes       func() []*Process
	waiters          map[uint64]waiter
	startOrder       map[uint64]int
	ignoresSync      bool
	hangingLane      string
	laneLimit        int
	countsBySecond   map[string]map[int]*servedCounts
	faultPhase       forward.Phase
	phaseFaultsLeft  int
	seatIncarnations map[string]uint64
	calendar         *calendarRun
	routing          *routeState
	bandwidth        float64
	linkBusyUntil    map[[2]string]ident.Moment
	checker          *changeChecker
	documentValid    map[string]bool
}

// after runs do once the duration has passed.
func (w *World) after(d time.Duration, do func()) {
	w.seq++
	w.queue.push(&event{w.Now.Add(d), w.seq, do})
}

// Tracef adds a line to the trace if tracing is on.
func (w *World) Tracef(form string, args ...any) {
	if w.Trace {
		w.Log = append(w.Log, fmt.Sprintf("%9.3f ", float64(w.Now.Sub(w.start))/1e9)+fmt.Sprintf(form, args...))
	}
}

// ReportViolation records that an invariant was violated; the first occurrence keeps its text.
func (w *World) ReportViolation(what, form string, args ...any) {
	w.Counters["broken "+what]++
	w.Tracef("BROKEN %s: "+form, append([]any{what}, args...)...)
	if _, ok := w.Violations[what]; !ok {
		w.Violations[what] = fmt.Sprintf("at %.3fs: ", float64(w.Now.Sub(w.start))/1e9) + fmt.Sprintf(form, args...)
	}
}

// New creates a fleet whose processes start within the first 300 ms and whose backends start within the first second.
func New(c Config) *World {
	w := &World{Config: c, Rand: rand.New(rand.NewSource(c.Seed)), Now: ident.Moment(1e15), processByAddr: map[string]*Process{}, backendByAddr: map[string]*Backend{}, cutLinks: map[[2]string]bool{},
		Violations: map[string]string{}, Counters: map[string]int{}, requestsByKey: map[string][]string{}, executions: map[string]int{}, retries: map[string][]ident.Moment{}, firstAttempts: map[string][]ident.Moment{}, ackedChanges: map[string]uint64{}, documentValid: map[string]bool{}, waiters: map[uint64]waiter{}, startOrder: map[uint64]int{}, seatIncarnations: map[string]uint64{}, countsBySecond: map[string]map[int]*servedCounts{}}
	w.start, w.maxConnections = w.Now, MaxBackendConnections
	for i := 0; i < c.Controls; i++ {
		w.addProcess(&Process{Name: fmt.Sprintf("control-%d", i), Addr: fmt.Sprintf("10.0.1.%d:7000", i+1), Cell: w.cellName(i), disk: w.newDisk()})
	}
	for i := 0; i < c.Nodes; i++ {
		w.addProcess(&Process{Name: fmt.Sprintf("node-%d", i), Addr: fmt.Sprintf("10.2.%d.%d:7000", i/200, i%200+1), Cell: w.cellName(i)})
	}
	for i := 0; i < c.Backends; i++ {
		w.addBackend(i)
	}
	for i := 0; i < c.Spares; i++ {
		w.addProcess(&Process{Name: fmt.Sprintf("spare-%d", i), Addr: fmt.Sprintf("10.0.3.%d:7000", i+1), Cell: w.cellName(i), disk: w.newDisk(), removed: true})
	}
	for _, p := range w.Processes {
		if p.removed {
			continue
		}
		w.after(time.Duration(w.Rand.Intn(300))*ms, func() { w.Start(p) })
	}
	return w
}

func (w *World) cellName(i int) string { return string(rune('a' + i%w.Cells)) }

func (w *World) newDisk() *disk {
	return &disk{id: fmt.Sprintf("d%08x", w.Rand.Uint32()), syncDelay: time.Duration(1+w.Rand.Intn(25)) * ms}
}

func (w *World) addProcess(p *Process) {
	p.w = w
	w.Processes = append(w.Processes, p)
	w.processByAddr[p.Addr] = p
}

// founders returns the addresses of the up to three control processes that found the core.
func (w *World) founders() []ident.Addr {
	var out []ident.Addr
	for i := 0; i < 3 && i < w.Controls; i++ {
		out = append(out, ident.Addr(w.Processes[i].Addr))
	}
	return out
}

// seedAddrs returns up to three control addresses through which a new process joins.
func (w *World) seedAddrs() []ident.Addr {
	var out []ident.Addr
	for _, p := range w.Processes {
		if p.disk != nil && !p.removed && len(out) < 3 {
			out = append(out, ident.Addr(p.Addr))
		}
	}
	return out
}

// Start starts a process with a new incarnation and clock, on the disk it has.
func (w *World) Start(p *Process) {
	if p.up {
		return
	}
	p.up, p.frozen, p.deferred, p.adoptedGeneration = true, false, nil, 0
	p.starts++
	if p.seeds == nil {
		p.seeds = w.seedAddrs()
	}
	inc := ident.Incarnation(w.Rand.Uint64())
	p.clockOffset = time.Duration(w.Rand.Int63n(int64(1000 * time.Hour)))
	w.startOrder[uint64(inc)] = len(w.startOrder)
	w.Tracef("%s starts", p.Name)
	if p.disk != nil {
		b := control.Config{Member: ident.Member(p.Name), Addr: ident.Addr(p.Addr), Cell: ident.Cell(p.Cell), Incarnation: inc, Seeds: p.seeds, Founders: w.foundersOf(p), Voter: ident.Voter(p.Name + "/" + p.disk.id), Build: "sim", Seed: w.Rand.Int63(), MaxStaleness: w.MaxStaleness, HTTP: p.httpAddr(), LeaseDuration: w.LeaseDuration, MaxLosses: w.MaxLosses, VoterReplaceDelay: w.voterReplaceAfter(), SavedCopies: p.disk.savedCopies, KeepsCopies: true, ClockScale: w.clockScale, DrainTimeout: w.DrainTimeout}
		if w.DisabledGuard == "lapse" {
			b.LeaseDuration = 300 * ms
		}
		s, err := control.New(b, p.disk.recover(w), p.clock())
		if err != nil {
			w.ReportViolation("disk unreadable", "%s: %v", p.Name, err)
			return
		}
		p.control = s
	} else {
		p.node = newNode(p, data.Config{Member: ident.Member(p.Name), Addr: ident.Addr(p.Addr), Cell: ident.Cell(p.Cell), Incarnation: inc, Seeds: p.seeds, Build: "sim", MaxStaleness: w.MaxStaleness, LeaseDuration: w.LeaseDuration})
	}
	starts := p.starts
	var tick func()
	tick = func() {
		if !p.up || p.starts != starts {
			return
		}
		w.after(tickInterval, tick)
		if !p.frozen {
			p.tick()
		}
	}
	w.after(tickInterval, tick)
}

// compact drops the records before the newest snapshot, except for the last hard state.
func (d *disk) compact() {
	for i := len(d.durable) - 1; i > 0; i-- {
		if d.durable[i].GetSnapshot() != nil {
			var hardState *wire.Record
			for _, r := range d.durable[:i] {
				if r.GetHardState() != nil {
					hardState = r
				}
			}
			rest := append([]*wire.Record{}, d.durable[i:]...)
			if hardState != nil {
				rest = append([]*wire.Record{rest[0], hardState}, rest[1:]...)
			}
			d.durable = rest
			return
		}
	}
}

// recover replays the durable records as a restarted process reads them.
func (d *disk) recover(w *World) *agreement.Recovered {
	d.pending, d.queue, d.syncing = nil, nil, false
	if len(d.durable) == 0 {
		return nil
	}
	recovered := &agreement.Recovered{}
	for _, r := range d.durable {
		if err := recovered.Replay(proto.Clone(r).(*wire.Record)); err != nil {
			w.ReportViolation("disk unreadable", "%v", err)
		}
	}
	return recovered
}

// Kill ends a process at once. Of the records that were written but not synced, a random prefix survives.
func (w *World) Kill(p *Process) {
	if !p.up {
		return
	}
	w.Tracef("%s is killed", p.Name)
	p.stop()
	if p.disk != nil {
		survived := 0
		if n := len(p.disk.pending); n > 0 && !w.ignoresSync {
			survived = w.Rand.Intn(n + 1)
		}
		p.disk.durable = append(p.disk.durable, p.disk.pending[:survived]...)
		p.disk.pending = nil
		p.disk.compact()
	}
}

// Wipe kills a process and replaces its disk by an empty one with a new ID.
func (w *World) Wipe(p *Process) {
	w.Kill(p)
	w.Tracef("%s loses its disk", p.Name)
	p.disk = w.newDisk()
}

// Freeze suspends a process; its events are deferred until it thaws.
func (w *World) Freeze(p *Process, d time.Duration) {
	if !p.up || p.frozen {
		return
	}
	w.Tracef("%s freezes for %v", p.Name, d)
	p.frozen = true
	if p.node != nil {
		for _, t := range p.node.attempts {
			t.frozen = true
		}
	}
	starts := p.starts
	w.after(d, func() {
		if p.up && p.starts == starts {
			w.Thaw(p)
		}
	})
}

func (w *World) Thaw(p *Process) {
	w.Tracef("%s thaws", p.Name)
	p.frozen = false
	list := p.deferred
	p.deferred = nil
	for _, f := range list {
		f()
	}
}

// CutLink drops all messages from a to b and, if both is set, from b to a.
func (w *World) CutLink(a, b string, both bool) {
	w.cutLinks[[2]string{a, b}] = true
	if both {
		w.cutLinks[[2]string{b, a}] = true
	}
}

// Isolate cuts a process off from all others in both directions.
func (w *World) Isolate(p *Process) {
	w.Tracef("%s is cut off", p.Name)
	for _, q := range w.Processes {
		if q != p {
			w.CutLink(p.Name, q.Name, true)
		}
	}
}

// Heal restores all links and ends loss, delay and duplication.
func (w *World) Heal() {
	w.cutLinks = map[[2]string]bool{}
	w.lossRate, w.extraDelay, w.duplicateRate = 0, 0, 0
}

// Run executes events until the duration has passed.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := w.queue.pop()
		w.Now = e.at
		e.run()
	}
	w.Now = end
}

// Leader returns the running process that leads and has committed an entry in its term, or nil.
func (w *World) Leader() *Process {
	for _, p := range w.Processes {
		if p.up && p.control != nil && !p.frozen && p.control.Agreement != nil && p.control.Agreement.HasCommittedInTerm() {
			return p
		}
	}
	return nil
}

func (w *World) Control(i int) *Process { return w.Processes[i] }
func (w *World) Node(i int) *Process    { return w.Processes[w.Controls+i] }

func (w *World) ReadyCount() int {
	n := 0
	for _, p := range w.Processes {
		if p.up && !p.frozen && p.node != nil && p.node.state.Ready() {
			n++
		}
	}
	return n
}
