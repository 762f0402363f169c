package hollow

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"sloeturn/agreement"
	"sloeturn/ident"
	"sloeturn/relay"
)

// Settle is longer than relay.ClimbFor: nodes that climbed while there was no leader ask their parents again.
const Settle = 8 * time.Second

type Role struct {
	Name     string
	Members  int
	In, Out  float64
	KBIn     float64
	KBOut    float64
	KBDisk   float64
	Core     float64
	Worst    time.Duration
	Notes    float64
	Heap     float64
	Kinds    map[string]float64
	Frames   map[string]float64
	BusiestK float64
	BusiestC float64
}

type Result struct {
	Size
	Roles   []*Role
	Up      time.Duration
	Acked   []time.Duration
	Every   []time.Duration
	Age     [2]time.Duration
	CoreAge [2]time.Duration
	Beats   [2]float64
	Served  float64
	Refused float64
	DocKB   float64
	Image   float64
	Peak    int
	Cards   int
	Lines   int
	Pools   int
	Heap    float64
	Took    time.Duration
	Window  time.Duration
	Start   time.Duration
	Guard   time.Duration
	Guards  uint64
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func (w *World) roles() map[string][]*member {
	out := map[string][]*member{}
	held := map[string]bool{}
	if w.Controls > 0 {
		for _, h := range w.all[0].head.Relay.Core.GetHolds() {
			held[h.Holder] = true
		}
	}
	parents := map[string]bool{}
	for _, m := range w.all[w.Controls:] {
		parents[m.node.Relay.Parent()] = true
	}
	for _, m := range w.all {
		switch {
		case m.head != nil:
			name := "follower"
			if m.head.Agree.Role() == agreement.Leader {
				name = "leader"
			} else if !held[m.name] {
				name = "follower, no cell"
			}
			out[name] = append(out[name], m)
		case len(relay.Path(m.node.Members.Ring(), ident.Member(m.name))) <= w.Controls:
			out["relay at the root"] = append(out["relay at the root"], m)
		case parents[m.addr]:
			out["relay within"] = append(out["relay within"], m)
		default:
			out["leaf"] = append(out["leaf"], m)
		}
	}
	return out
}

func sum(name string, list []*member, d time.Duration) *Role {
	r := &Role{Name: name, Members: len(list), Kinds: map[string]float64{}, Frames: map[string]float64{}}
	n, s := float64(len(list)), d.Seconds()
	for _, m := range list {
		r.In += float64(m.In) / n / s
		r.Out += float64(m.Out) / n / s
		r.KBIn += float64(m.BytesIn) / n / s / 1e3
		r.KBOut += float64(m.BytesOut) / n / s / 1e3
		r.KBDisk += float64(m.Disk) / n / s / 1e3
		r.Core += 100 * m.Busy.Seconds() / n / s
		r.Notes += float64(m.Notes) / n / s
		r.Worst = max(r.Worst, m.Worst)
		r.BusiestK = max(r.BusiestK, float64(m.BytesIn+m.BytesOut)/s/1e3)
		r.BusiestC = max(r.BusiestC, 100*m.Busy.Seconds()/s)
		for k, v := range m.Kinds {
			r.Kinds[k] += 100 * v.Seconds() / n / s
		}
		for k, v := range m.Frames {
			r.Frames[k] += float64(v) / n / s / 1e3
		}
	}
	return r
}

func quant(list []time.Duration) [2]time.Duration {
	if len(list) == 0 {
		return [2]time.Duration{}
	}
	slices.Sort(list)
	return [2]time.Duration{list[len(list)/2], list[len(list)-1]}
}

func Measure(s Size, seed int64, window, limit time.Duration) (*Result, error) {
	before := heap()
	w := New(s, seed, limit)
	r := &Result{Size: s, Window: window, Peak: s.Peak(0), DocKB: float64(len(s.Doc())) / 1e3}
	w.reset()
	var err error
	if r.Up, err = w.Up(60 * time.Second); err != nil {
		return r, err
	}
	if err := w.Run(Settle); err != nil {
		return r, err
	}
	for _, m := range w.all[w.Controls:] {
		r.Start, r.Guard, r.Guards = max(r.Start, m.Busy), max(r.Guard, m.Guard), max(r.Guards, m.Guards)
	}
	w.reset()
	from := w.now
	var list []uint64
	for n := 0; w.now.Sub(from) < window; n++ {
		step := window
		if w.Changes > 0 {
			step = min(window, time.Minute/time.Duration(w.Changes))
			list = append(list, w.Set(w.patch(n), true, w.generation()))
		}
		if err := w.Run(min(step, window-w.now.Sub(from))); err != nil {
			return r, err
		}
	}
	r.Beats = [2]float64{float64(w.beaten[0].Load()) / window.Seconds(), float64(w.beaten[1].Load()) / window.Seconds()}
	r.Served, r.Refused = float64(w.served.Load())/window.Seconds(), float64(w.refused.Load())/window.Seconds()
	r.Age, r.CoreAge = quant(w.ages), quant(w.cores)
	for name, l := range w.roles() {
		r.Roles = append(r.Roles, sum(name, l, window))
	}
	slices.SortFunc(r.Roles, func(a, b *Role) int { return strings.Compare(a.Name, b.Name) })
	w.workers = runtime.GOMAXPROCS(0)
	for _, id := range list {
		for i := 0; i < 100 && w.changes[id].every == 0; i++ {
			if err := w.Run(100 * time.Millisecond); err != nil {
				return r, err
			}
		}
		r.Acked, r.Every = append(r.Acked, w.changes[id].acked), append(r.Every, w.changes[id].every)
	}
	n, h := w.all[w.Controls].node, w.all[0].head
	r.Cards, r.Pools, r.Image = len(n.Members.Cards()), len(n.Pass.Lines()), float64(len(h.Book.Image()))/1e3
	for _, k := range n.Relay.Cells {
		r.Lines += len(k.Table)
	}
	r.Took = time.Since(w.begin)
	r.weigh(w, before)
	return r, nil
}

func (r *Result) weigh(w *World, before float64) {
	for _, m := range w.all {
		m.inbox, m.outbox, m.later = nil, nil, nil
	}
	all := heap()
	r.Heap = (all - before) / 1e6
	for _, m := range w.all[w.Controls:] {
		m.node, m.idle, m.trips = nil, nil, nil
	}
	heads := heap()
	for _, m := range w.all[:w.Controls] {
		m.head = nil
	}
	none := heap()
	for _, k := range r.Roles {
		if strings.HasPrefix(k.Name, "leader") || strings.HasPrefix(k.Name, "follower") {
			k.Heap = (heads - none) / 1e6 / float64(w.Controls)
		} else {
			k.Heap = (all - heads) / 1e6 / float64(w.Nodes)
		}
	}
	runtime.KeepAlive(w)
}

func (r *Result) Print(to io.Writer, deep bool) {
	say := func(form string, args ...any) { fmt.Fprintf(to, form+"\n", args...) }
	say("hollow %v", r.Size)
	say("  %v measured, %.1f s of the machine's; all ready after %v; change acknowledged after %v, at all nodes after %v (most)", r.Window, r.Took.Seconds(), r.Up, most(r.Acked), most(r.Every))
	say("  from start to 8 s after all are ready, the busiest node spends %.2f s of a core; it makes %d guards, the dearest costs %v", r.Start.Seconds(), r.Guards, r.Guard)
	say("  age of cells' news p50 %v worst %v, of the leader's word p50 %v worst %v", r.Age[0], r.Age[1], r.CoreAge[0], r.CoreAge[1])
	say("  beats a second %.0f heard %.0f not; visits a second %.0f served %.0f refused; a backend must accept %d connections", r.Beats[0], r.Beats[1], r.Served, r.Refused, r.Peak)
	say("  a node holds %d cards, %d backends, %d pools; desired state %.1f kB, image of the book %.1f kB; heap of all %.0f MB", r.Cards, r.Lines, r.Pools, r.DocKB, r.Image, r.Heap)
	say("  %-18s %4s %8s %8s %9s %9s %8s %8s %8s %9s %8s %8s", "role", "of", "in/s", "out/s", "kB in/s", "kB out/s", "disk kB", "core %", "most %", "worst", "notes/s", "heap MB")
	for _, k := range r.Roles {
		say("  %-18s %4d %8.1f %8.1f %9.2f %9.2f %8.2f %8.3f %8.3f %9v %8.1f %8.2f", k.Name, k.Members, k.In, k.Out, k.KBIn, k.KBOut, k.KBDisk, k.Core, k.BusiestC, k.Worst.Round(10*time.Microsecond), k.Notes, k.Heap)
	}
	if !deep {
		return
	}
	for _, k := range r.Roles {
		say("  %s, core %%: %s", k.Name, top(k.Kinds))
		say("  %s, kB out a second: %s", k.Name, top(k.Frames))
	}
}

func top(m map[string]float64) string {
	var out []string
	keys := names(m)
	slices.SortFunc(keys, func(a, b string) int {
		if m[a] > m[b] {
			return -1
		}
		return 1
	})
	for _, k := range keys {
		if len(out) < 8 {
			out = append(out, fmt.Sprintf("%s %.3f", k, m[k]))
		}
	}
	return strings.Join(out, ", ")
}

func most(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list)
}
