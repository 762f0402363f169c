// Package hollow runs hundreds of members in one process over a simulated network, to measure how their
// costs grow.
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

	"sloeturn/control"
	"sloeturn/data"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/pass"
	"sloeturn/wire"
)

var ErrRun = merry.Sentinel("hollow: run not whole")

type change struct {
	at     ident.Moment
	gen    uint64
	code   ledger.Code
	acked  time.Duration
	every  time.Duration
	answer bool
}

type World struct {
	Size
	Limit   time.Duration
	now     ident.Moment
	round   int
	all     []*member
	place   map[string]int
	named   map[ident.Addr]bool
	rand    *rand.Rand
	workers int
	begin   time.Time
	parted  int
	lock    sync.Mutex
	changes map[uint64]*change
	last    uint64
	beaten  [2]atomic.Uint64
	served  atomic.Uint64
	refused atomic.Uint64
	ages    []time.Duration
	cores   []time.Duration
}

func (w *World) heard(code uint32) {
	if code == 200 {
		w.beaten[0].Add(1)
	} else {
		w.beaten[1].Add(1)
	}
}

func New(s Size, seed int64, limit time.Duration) *World {
	w := &World{Size: s, Limit: limit, now: ident.Moment(1e15), place: map[string]int{}, named: map[ident.Addr]bool{}, rand: rand.New(rand.NewSource(seed)), workers: runtime.GOMAXPROCS(0), begin: time.Now(), parted: -1, changes: map[uint64]*change{}}
	var seeds []ident.Addr
	for i := 0; i < s.Controls; i++ {
		m := w.add(fmt.Sprintf("control-%d", i), fmt.Sprintf("10.0.1.%d:7000", i+1), i)
		if i < 3 {
			seeds = append(seeds, ident.Addr(m.addr))
		}
	}
	for i := 0; i < s.Nodes; i++ {
		w.add(fmt.Sprintf("node-%d", i), fmt.Sprintf("10.2.%d.%d:7000", i/200, i%200+1), i)
	}
	for i, m := range w.all {
		inc := ident.Incarnation(w.rand.Uint64() | 1)
		if i < s.Controls {
			m.head, _ = control.New(control.Boot{Member: ident.Member(m.name), Addr: ident.Addr(m.addr), HTTP: m.addr + "," + m.addr, Cell: ident.Cell(m.zone), Incarnation: inc, Seeds: seeds, Founders: seeds, Voter: ident.Voter(m.name + "/d"), Build: "hollow", Seed: w.rand.Int63()}, nil, w.now)
		} else {
			m.node = data.New(data.Boot{Member: ident.Member(m.name), Addr: ident.Addr(m.addr), HTTP: m.addr + "," + m.addr, Cell: ident.Cell(m.zone), Incarnation: inc, Seeds: seeds, Build: "hollow"}, w.now)
		}
	}
	for i := 0; i < s.Backends; i++ {
		w.named[ident.Addr(backend(i))] = i%4 == 3
	}
	return w
}

func backend(i int) string { return fmt.Sprintf("10.1.%d.%d:6000", i/200, i%200+1) }

func (w *World) add(name, addr string, i int) *member {
	m := &member{w: w, at: len(w.all), name: name, addr: addr, zone: w.zone(i), region: w.region(i), rand: rand.New(rand.NewSource(w.rand.Int63())), idle: map[pass.Key][]int{}, trips: map[ident.RequestID]pass.Key{}}
	w.place[addr] = m.at
	w.all = append(w.all, m)
	return m
}

func (w *World) reset() {
	for _, m := range w.all {
		m.Tally = Tally{Kinds: map[string]time.Duration{}, Frames: map[string]uint64{}}
	}
	w.ages, w.cores = nil, nil
	w.served.Store(0)
	w.refused.Store(0)
	w.beaten[0].Store(0)
	w.beaten[1].Store(0)
}

func (w *World) over() bool { return time.Since(w.begin) > w.Limit }

func (w *World) Run(d time.Duration) error {
	var next atomic.Int64
	starts := make([]chan struct{}, w.workers)
	var wait sync.WaitGroup
	for i := range starts {
		starts[i] = make(chan struct{})
		go func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for range starts[i] {
				for k := next.Add(1) - 1; k < int64(len(w.all)); k = next.Add(1) - 1 {
					w.all[k].turn()
				}
				wait.Done()
			}
		}()
	}
	defer func() {
		for _, c := range starts {
			close(c)
		}
	}()
	for end := w.now.Add(d); w.now.Before(end); {
		if w.over() {
			return merry.Wrap(ErrRun, merry.AppendMessagef("the limit of %v is over", w.Limit))
		}
		w.now = w.now.Add(Round)
		w.round++
		w.beats()
		next.Store(0)
		wait.Add(w.workers)
		for _, c := range starts {
			c <- struct{}{}
		}
		wait.Wait()
		w.post()
		w.look()
	}
	return nil
}

func (w *World) beats() {
	every := w.Beat / int(Round/time.Millisecond)
	for i := w.round % every; i < w.Backends; i += every {
		a := &wire.Announce{Cell: w.zone(i), Addr: backend(i), Service: w.service(i), Slots: uint32(2 * max(1, w.Nodes*w.Services/max(1, w.Backends)))}
		if w.named[ident.Addr(a.Addr)] {
			a.Incarnation = "life-1"
		}
		m := w.all[w.rand.Intn(len(w.all))]
		for w.cut(m.region, w.region(i)) {
			m = w.all[w.rand.Intn(len(w.all))]
		}
		m.wait(0, a)
	}
}

func (w *World) cut(a, b int) bool {
	return w.parted >= 0 && a != b && (a == w.parted || b == w.parted || w.parted >= w.Regions)
}

func (w *World) post() {
	for _, m := range w.all {
		for _, p := range m.outbox {
			if to := w.all[p.to]; !w.cut(m.region, to.region) {
				to.inbox = append(to.inbox, p)
			}
		}
		m.outbox = m.outbox[:0]
	}
}

func (w *World) told(e control.Changed) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if c := w.changes[e.Token]; c != nil && !c.answer {
		c.answer, c.code, c.gen, c.acked = true, ledger.Code(e.Reply.Code), e.Reply.Generation, w.now.Sub(c.at)
	}
}

func (w *World) look() {
	for _, c := range w.changes {
		if c.every != 0 || c.gen == 0 {
			continue
		}
		if !slices.ContainsFunc(w.all, func(m *member) bool { return m.node != nil && uint64(m.node.Relay.DocGen) < c.gen }) {
			c.every = w.now.Sub(c.at)
		}
	}
	if w.round%20 != 0 {
		return
	}
	for _, m := range w.all {
		if m.node == nil || !m.node.Relay.CoreKnown {
			continue
		}
		w.cores = append(w.cores, w.now.Sub(m.node.Relay.CoreAsOf))
		for _, k := range m.node.Relay.Cells {
			w.ages = append(w.ages, w.now.Sub(k.AsOf))
		}
	}
}

func (w *World) Set(doc []byte, merge bool, basis uint64) uint64 {
	return w.SetAt(w.rand.Intn(w.Controls), doc, merge, basis)
}

func (w *World) SetAt(at int, doc []byte, merge bool, basis uint64) uint64 {
	w.last++
	w.changes[w.last] = &change{at: w.now}
	set := &wire.SetDesired{Basis: basis, ChangeId: fmt.Sprint("change-", w.last), Doc: doc, Author: "hollow", Merge: merge}
	w.all[at].wait(0, control.Change{Token: w.last, Change: &wire.Change{Body: &wire.Change_SetDesired{SetDesired: set}}, Wait: control.DesiredWait})
	return w.last
}

func (w *World) Ready() int {
	n := 0
	for _, m := range w.all {
		if m.node != nil && m.node.Ready() {
			n++
		}
	}
	return n
}

func (w *World) generation() uint64 {
	g := uint64(0)
	for _, m := range w.all[:w.Controls] {
		g = max(g, uint64(m.head.Book.Generation))
	}
	return g
}

func (w *World) Up(wait time.Duration) (time.Duration, error) {
	from := w.now
	if err := w.Run(time.Second); err != nil {
		return 0, err
	}
	id := w.Set(w.Doc(), false, 0)
	for w.now.Sub(from) < wait {
		if err := w.Run(50 * time.Millisecond); err != nil {
			return 0, err
		}
		c := w.changes[id]
		if c.answer && c.code != ledger.Done {
			return 0, merry.Wrap(ErrRun, merry.AppendMessagef("the desired state was not taken: %v", c.code))
		}
		if c.answer && w.Ready() == w.Nodes {
			return w.now.Sub(from), nil
		}
	}
	return 0, merry.Wrap(ErrRun, merry.AppendMessagef("%d of %d nodes ready after %v", w.Ready(), w.Nodes, wait))
}

func (w *World) patch(n int) []byte {
	return []byte(fmt.Sprintf(`{"lanes":{"%s":{"waiters":%d}}}`, w.lane(n), 3+n%40))
}
