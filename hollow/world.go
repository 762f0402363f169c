// Package hollow runs a fleet of simulated members for measurements of scale. Fleet runs hundreds of members in
// one process over a simulated network and clock; LiveFleet runs real processes on loopback beside simulated
// nodes.
package hollow

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"sloeturn/admission"
	"sloeturn/control"
	"sloeturn/data"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

// ErrRun is returned when a run ends before its measurement is complete.
var ErrRun = merry.Sentinel("hollow: run incomplete")

// change tracks a submitted change of the desired state until every node has it.
type change struct {
	submittedAt     ident.Moment
	generation      uint64
	code            ledger.Code
	ackedAfter      time.Duration
	everywhereAfter time.Duration
	answered        bool
}

// Fleet simulates a fleet in rounds of RoundInterval: the members step in parallel, then their frames are
// delivered for the next round. An isolatedRegion of -1 means no partition, one of Regions or more separates
// all regions from each other.
type Fleet struct {
	Size
	TimeLimit      time.Duration
	now            ident.Moment
	round          int
	members        []*member
	indexByAddr    map[string]int
	serviceNamed   map[ident.Addr]bool
	rand           *rand.Rand
	workers        int
	startedAt      time.Time
	isolatedRegion int
	changesLock    sync.Mutex
	changes        map[uint64]*change
	lastChange     uint64
	announceCounts [2]atomic.Uint64
	served         atomic.Uint64
	refused        atomic.Uint64
	cellAges       []time.Duration
	coreAges       []time.Duration
}

func (f *Fleet) countAnnounce(code uint32) {
	if code == 200 {
		f.announceCounts[0].Add(1)
	} else {
		f.announceCounts[1].Add(1)
	}
}

// NewFleet makes the control processes and nodes of a fleet; limit bounds the wall-clock time of its runs.
func NewFleet(size Size, seed int64, limit time.Duration) *Fleet {
	f := &Fleet{Size: size, TimeLimit: limit, now: ident.Moment(1e15), indexByAddr: map[string]int{}, serviceNamed: map[ident.Addr]bool{}, rand: rand.New(rand.NewSource(seed)), workers: runtime.GOMAXPROCS(0), startedAt: time.Now(), isolatedRegion: -1, changes: map[uint64]*change{}}
	var seeds []ident.Addr
	for i := 0; i < size.ControlProcesses; i++ {
		m := f.addMember(fmt.Sprintf("control-%d", i), fmt.Sprintf("10.0.1.%d:7000", i+1), i)
		if i < 3 {
			seeds = append(seeds, ident.Addr(m.addr))
		}
	}
	for i := 0; i < size.Nodes; i++ {
		f.addMember(fmt.Sprintf("node-%d", i), fmt.Sprintf("10.2.%d.%d:7000", i/200, i%200+1), i)
	}
	for i, m := range f.members {
		incarnation := ident.Incarnation(f.rand.Uint64() | 1)
		if i < size.ControlProcesses {
			m.controlPlane, _ = control.New(control.Config{Member: ident.Member(m.name), Addr: ident.Addr(m.addr), HTTP: m.addr + "," + m.addr, Cell: ident.Cell(m.zone), Incarnation: incarnation, Seeds: seeds, Founders: seeds, Voter: ident.Voter(m.name + "/d"), Build: "hollow", Seed: f.rand.Int63()}, nil, f.now)
		} else {
			m.node = data.New(data.Config{Member: ident.Member(m.name), Addr: ident.Addr(m.addr), HTTP: m.addr + "," + m.addr, Cell: ident.Cell(m.zone), Incarnation: incarnation, Seeds: seeds, Build: "hollow"}, f.now)
		}
	}
	for i := 0; i < size.Backends; i++ {
		f.serviceNamed[ident.Addr(backendAddr(i))] = i%4 == 3
	}
	return f
}

func backendAddr(i int) string { return fmt.Sprintf("10.1.%d.%d:6000", i/200, i%200+1) }

func (f *Fleet) addMember(name, addr string, i int) *member {
	m := &member{fleet: f, index: len(f.members), name: name, addr: addr, zone: f.zone(i), region: f.region(i), rand: rand.New(rand.NewSource(f.rand.Int63())), idleConns: map[admission.Key][]int{}, poolKeys: map[ident.RequestID]admission.Key{}}
	f.indexByAddr[addr] = m.index
	f.members = append(f.members, m)
	return m
}

func (f *Fleet) resetCounters() {
	for _, m := range f.members {
		m.Counters = Counters{CPUByKind: map[string]time.Duration{}, BytesOutByFrame: map[string]uint64{}}
	}
	f.cellAges, f.coreAges = nil, nil
	f.served.Store(0)
	f.refused.Store(0)
	f.announceCounts[0].Store(0)
	f.announceCounts[1].Store(0)
}

func (f *Fleet) pastTimeLimit() bool { return time.Since(f.startedAt) > f.TimeLimit }

// Run simulates the given duration. It fails with ErrRun once the time limit has passed. Each worker is locked to
// its operating system thread, because the CPU time of a member is read from the clock of the thread.
func (f *Fleet) Run(duration time.Duration) error {
	var next atomic.Int64
	starts := make([]chan struct{}, f.workers)
	var running sync.WaitGroup
	for i := range starts {
		starts[i] = make(chan struct{})
		go func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for range starts[i] {
				for index := next.Add(1) - 1; index < int64(len(f.members)); index = next.Add(1) - 1 {
					f.members[index].runRound()
				}
				running.Done()
			}
		}()
	}
	defer func() {
		for _, start := range starts {
			close(start)
		}
	}()
	for end := f.now.Add(duration); f.now.Before(end); {
		if f.pastTimeLimit() {
			return merry.Wrap(ErrRun, merry.AppendMessagef("the time limit of %v has passed", f.TimeLimit))
		}
		f.now = f.now.Add(RoundInterval)
		f.round++
		f.scheduleAnnounces()
		next.Store(0)
		running.Add(f.workers)
		for _, start := range starts {
			start <- struct{}{}
		}
		running.Wait()
		f.deliver()
		f.observe()
	}
	return nil
}

// scheduleAnnounces hands the announcements that are due in this round to random members that the backends'
// regions can reach.
func (f *Fleet) scheduleAnnounces() {
	rounds := f.AnnounceIntervalMs / int(RoundInterval/time.Millisecond)
	for i := f.round % rounds; i < f.Backends; i += rounds {
		announce := &wire.Announce{Cell: f.zone(i), Addr: backendAddr(i), Service: f.service(i), Slots: uint32(2 * max(1, f.Nodes*f.Services/max(1, f.Backends)))}
		if f.serviceNamed[ident.Addr(announce.Addr)] {
			announce.Incarnation = "life-1"
		}
		m := f.members[f.rand.Intn(len(f.members))]
		for f.partitioned(m.region, f.region(i)) {
			m = f.members[f.rand.Intn(len(f.members))]
		}
		m.schedule(0, announce)
	}
}

// partitioned reports whether regions a and b are cut off from each other.
func (f *Fleet) partitioned(a, b int) bool {
	return f.isolatedRegion >= 0 && a != b && (a == f.isolatedRegion || b == f.isolatedRegion || f.isolatedRegion >= f.Regions)
}

func (f *Fleet) deliver() {
	for _, m := range f.members {
		for _, outgoing := range m.outbox {
			if receiver := f.members[outgoing.to]; !f.partitioned(m.region, receiver.region) {
				receiver.inbox = append(receiver.inbox, outgoing)
			}
		}
		m.outbox = m.outbox[:0]
	}
}

func (f *Fleet) changeAnswered(e control.ChangeResult) {
	f.changesLock.Lock()
	defer f.changesLock.Unlock()
	if c := f.changes[e.Token]; c != nil && !c.answered {
		c.answered, c.code, c.generation, c.ackedAfter = true, ledger.Code(e.Reply.Code), e.Reply.Generation, f.now.Sub(c.submittedAt)
	}
}

// observe notes which changes have reached every node and, every 20 rounds, the ages of the nodes' cell and core
// state.
func (f *Fleet) observe() {
	for _, c := range f.changes {
		if c.everywhereAfter != 0 || c.generation == 0 {
			continue
		}
		if !slices.ContainsFunc(f.members, func(m *member) bool { return m.node != nil && uint64(m.node.Relay.DocumentGeneration) < c.generation }) {
			c.everywhereAfter = f.now.Sub(c.submittedAt)
		}
	}
	if f.round%20 != 0 {
		return
	}
	for _, m := range f.members {
		if m.node == nil || !m.node.Relay.CoreKnown {
			continue
		}
		f.coreAges = append(f.coreAges, f.now.Sub(m.node.Relay.CoreAsOf))
		for _, cell := range m.node.Relay.Cells {
			f.cellAges = append(f.cellAges, f.now.Sub(cell.AsOf))
		}
	}
}

// SubmitChange submits a change of the desired state to a random control process and returns its id.
func (f *Fleet) SubmitChange(doc []byte, merge bool, basis uint64) uint64 {
	return f.SubmitChangeAt(f.rand.Intn(f.ControlProcesses), doc, merge, basis)
}

// SubmitChangeAt submits a change of the desired state to the control process of the given index.
func (f *Fleet) SubmitChangeAt(memberIndex int, doc []byte, merge bool, basis uint64) uint64 {
	f.lastChange++
	f.changes[f.lastChange] = &change{submittedAt: f.now}
	setDesired := &wire.SetDesired{Basis: basis, ChangeId: fmt.Sprint("change-", f.lastChange), Doc: doc, Author: "hollow", Merge: merge}
	f.members[memberIndex].schedule(0, control.Change{Token: f.lastChange, Change: &wire.Change{Body: &wire.Change_SetDesired{SetDesired: setDesired}}, Wait: control.ChangeTimeout})
	return f.lastChange
}

// ReadyNodes counts the nodes that are ready.
func (f *Fleet) ReadyNodes() int {
	ready := 0
	for _, m := range f.members {
		if m.node != nil && m.node.Ready() {
			ready++
		}
	}
	return ready
}

// generation returns the newest version of the desired state at any control process.
func (f *Fleet) generation() uint64 {
	newest := uint64(0)
	for _, m := range f.members[:f.ControlProcesses] {
		newest = max(newest, uint64(m.controlPlane.Ledger.Generation))
	}
	return newest
}

// BringUp submits the first desired state and runs until all nodes are ready; it returns the simulated time that
// this took.
func (f *Fleet) BringUp(timeout time.Duration) (time.Duration, error) {
	from := f.now
	if err := f.Run(time.Second); err != nil {
		return 0, err
	}
	id := f.SubmitChange(f.DesiredState(), false, 0)
	for f.now.Sub(from) < timeout {
		if err := f.Run(50 * time.Millisecond); err != nil {
			return 0, err
		}
		submitted := f.changes[id]
		if submitted.answered && submitted.code != ledger.Done {
			return 0, merry.Wrap(ErrRun, merry.AppendMessagef("the desired state was rejected: %v", submitted.code))
		}
		if submitted.answered && f.ReadyNodes() == f.Nodes {
			return f.now.Sub(from), nil
		}
	}
	return 0, merry.Wrap(ErrRun, merry.AppendMessagef("%d of %d nodes ready after %v", f.ReadyNodes(), f.Nodes, timeout))
}

func (f *Fleet) lanePatch(n int) []byte {
	return []byte(fmt.Sprintf(`{"lanes":{"%s":{"waiters":%d}}}`, f.lane(n), 3+n%40))
}
