package agreement

import (
	"flag"
	"maps"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

var modelDepth = flag.Int("model.depth", 0, "how many moves deeper than in the suite every interleaving is tried")

func cloneWorld(w *world) *world {
	out := *w
	out.seats = nil
	for _, m := range w.seats {
		c := *m
		if m.s != nil {
			c.s = cloneState(m.s)
		}
		c.disk.pending = append([]*Persist(nil), m.disk.pending...)
		c.steps = maps.Clone(m.steps)
		out.seats = append(out.seats, &c)
		if c.s != nil {
			out.bind(&c)
		}
	}
	out.bag = append([]letter(nil), w.bag...)
	out.cut, out.known, out.leaders = maps.Clone(w.cut), maps.Clone(w.known), maps.Clone(w.leaders)
	out.elected, out.votes, out.wiped, out.count = maps.Clone(w.elected), maps.Clone(w.votes), maps.Clone(w.wiped), maps.Clone(w.count)
	out.oracle = append([]done(nil), w.oracle...)
	return &out
}

func mix(h, x uint64) uint64 {
	h ^= x + 0x9e3779b97f4a7c15 + h<<6 + h>>2
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>29
}

// print is the same for reducers that stand alike, whatever way led there.
func (w *world) print(h uint64, v reflect.Value) uint64 {
	switch v.Kind() {
	case reflect.Struct:
		for i := 0; i < v.NumField(); i++ {
			h = w.print(h, opened(v.Field(i)))
		}
	case reflect.Map:
		sum := uint64(v.Len())
		for it := v.MapRange(); it.Next(); {
			a := reflect.New(v.Type().Elem()).Elem()
			a.Set(it.Value())
			k := reflect.New(v.Type().Key()).Elem()
			k.Set(it.Key())
			sum += w.print(w.print(1, k), a)
		}
		h = mix(h, sum)
	case reflect.Slice:
		h = mix(h, uint64(v.Len()))
		for i := 0; i < v.Len(); i++ {
			h = w.print(h, v.Index(i))
		}
	case reflect.Array:
		for i := 0; i < v.Len(); i++ {
			h = w.print(h, v.Index(i))
		}
	case reflect.Pointer:
		if v.IsNil() {
			return mix(h, 7)
		}
		if p, ok := v.Interface().(proto.Message); ok {
			return mix(h, w.sum(p))
		}
		if v.Type().Elem().PkgPath() == ownPackage {
			return w.print(h, v.Elem())
		}
	case reflect.String:
		for _, c := range []byte(v.String()) {
			h = mix(h, uint64(c))
		}
		h = mix(h, 3)
	case reflect.Bool:
		if v.Bool() {
			return mix(h, 5)
		}
		h = mix(h, 4)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h = mix(h, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h = mix(h, v.Uint())
	}
	return h
}

func (w *world) hash(left budget) uint64 {
	h := w.print(2, reflect.ValueOf(&left).Elem())
	for _, m := range w.seats {
		if m.s == nil {
			h = mix(h, 1)
		} else {
			h = w.print(h, reflect.ValueOf(m.s).Elem())
		}
		h = w.print(h, reflect.ValueOf(&m.disk).Elem())
		h = mix(mix(h, uint64(m.local)), uint64(m.life))
	}
	sum := uint64(0)
	for _, l := range w.bag {
		sum += mix(mix(uint64(l.from+1), uint64(l.to)), l.sum)
	}
	h = mix(h, sum)
	for i, o := range w.oracle {
		h = mix(mix(h, uint64(i)), mix(o.sum, o.term))
	}
	return h
}

// budget bounds the faults of one way; deliveries and syncs have no bound but the depth.
type budget struct{ kills, doubles, proposals, elections, compactions, timeouts, rosters int }

type way struct {
	w    *world
	left budget
	list []move
}

// next gives every move that does something here.
func (x way) next() (out []way) {
	add := func(m move, left budget, f func(w *world)) {
		c := cloneWorld(x.w)
		c.n++
		f(c)
		out = append(out, way{c, left, append(x.list[:len(x.list):len(x.list)], m)})
	}
	take := func(m move, left budget) { add(m, left, func(w *world) { w.n--; w.take(m) }) }
	seen := map[[3]uint64]bool{}
	for k, l := range x.w.bag {
		if at := [3]uint64{uint64(l.from), uint64(l.to), l.sum}; !seen[at] {
			seen[at] = true
			take(move{deliver, k, 0}, x.left)
			if left := x.left; left.doubles > 0 {
				left.doubles--
				add(move{again, k, 0}, left, func(w *world) { w.hand(w.bag[k]) })
			}
		}
	}
	for i, m := range x.w.seats {
		if m.s == nil {
			continue
		}
		if len(m.disk.pending) > 0 {
			take(move{sync, i, 0}, x.left)
		}
		if left := x.left; left.kills > 0 {
			left.kills--
			for keep := 0; keep <= unsynced(m); keep++ {
				take(move{kill, i, 2 * keep}, left)
			}
		}
		if left := x.left; left.timeouts > 0 {
			left.timeouts--
			take(move{timeout, i, 0}, left)
		}
		if left := x.left; left.elections > 0 {
			left.elections--
			for j := range x.w.seats[:x.w.size] {
				if j != i {
					take(move{elect, i, 1 << j}, left)
				}
			}
		}
		if left := x.left; left.compactions > 0 && m.s.applied > m.s.snapshot.GetLastIndex() {
			left.compactions--
			take(move{compact, i, 0}, left)
		}
	}
	if left := x.left; left.proposals > 0 {
		left.proposals--
		for i, m := range x.w.seats {
			if m.s != nil && m.s.Steady(m.local) {
				add(move{propose, i, 0}, left, func(w *world) { w.offer(w.seats[i]) })
			}
		}
	}
	if left := x.left; left.rosters > 0 {
		left.rosters--
		for i, m := range x.w.seats {
			if m.s == nil || m.s.role != Leader {
				continue
			}
			for b := range m.s.Roster().Voters {
				add(move{regroup, i, b}, left, func(w *world) {
					w.regroup(w.seats[i].s, b)
					w.settle(w.seats[i])
				})
			}
		}
	}
	return
}

// every tries all ways of so many moves and gives how many states differ, and the moves of one that fails.
func every(w *world, left budget, depth int) (int, []move, string) {
	seen := map[uint64]bool{w.hash(left): true}
	level := []way{{w: w, left: left}}
	for ; depth > 0 && len(level) > 0; depth-- {
		var next []way
		for i, x := range level {
			level[i] = way{}
			for _, y := range x.next() {
				if y.w.bad != "" {
					return len(seen), y.list, y.w.bad
				}
				if h := y.w.hash(y.left); !seen[h] {
					seen[h] = true
					next = append(next, y)
				}
			}
		}
		level = next
	}
	return len(seen), nil, ""
}

func stillWorld(n int, w weak, list ...move) *world {
	out := newWorld(n, true, 1, weak{})
	out.still, out.weak = true, w
	for _, m := range out.seats {
		if m.life > 0 {
			out.boot(m, 0)
		}
	}
	out.seats = out.seats[:n]
	out.bag = nil
	out.run(list)
	return out
}

var roots = []struct {
	name  string
	n     int
	list  []move
	left  budget
	depth int
}{
	{"two, cold", 2, nil, budget{kills: 1, doubles: 1, timeouts: 3}, 9},
	{"three, cold", 3, nil, budget{kills: 1, timeouts: 2}, 7},
	{"two, elected", 2, []move{{elect, 0, 2}}, budget{kills: 1, doubles: 1, proposals: 1, elections: 1, compactions: 1}, 7},
	{"three, elected", 3, []move{{elect, 0, 2}}, budget{kills: 1, proposals: 1, elections: 2}, 4},
	{"three, two leaders", 3, []move{{elect, 0, 2}, {elect, 2, 2}, {elect, 2, 2}}, budget{kills: 1, elections: 1}, 4},
	{"three, a roster change", 3, []move{{elect, 0, 2}, {talk, 0, 1 + 16*5}}, budget{kills: 1, elections: 2, rosters: 2}, 4},
}

func TestModelHoldsOnEveryWay(t *testing.T) {
	for _, r := range roots {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			w := stillWorld(r.n, weak{}, r.list...)
			require.Empty(t, w.bad)
			states, list, bad := every(w, r.left, r.depth+*modelDepth)
			require.Empty(t, bad, "%v after %v", list, r.list)
			t.Logf("%d states, every way of %d moves", states, r.depth+*modelDepth)
		})
	}
}
