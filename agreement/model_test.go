package agreement

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var modelFor = flag.Duration("model.for", 0, "how long the model check runs beyond its share of the suite")

var moves = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
	return move{dealt[rapid.IntRange(0, len(dealt)-1).Draw(t, "kind")], rapid.IntRange(0, 255).Draw(t, "a"), rapid.IntRange(0, 255).Draw(t, "b")}
}), 50, 400)

func TestModelHoldsAtRandom(t *testing.T) {
	for _, n := range []int{2, 3, 4, 5, 8} {
		t.Run(fmt.Sprint(n, " members"), func(t *testing.T) {
			total := map[string]int{}
			rapid.Check(t, func(rt *rapid.T) {
				batch := rapid.IntRange(0, 2).Draw(rt, "batch")
				w := newWorld(n, true, batch, weak{})
				if bad := w.run(moves.Draw(rt, "moves")); bad != "" {
					rt.Fatal(bad)
				}
				total["steps"] += w.n
				for k, v := range w.count {
					total[k] += v
				}
			})
			t.Log(total)
		})
	}
}

func someMoves(r *rand.Rand, n int) []move {
	var out []move
	for i := 0; i < n; i++ {
		out = append(out, move{dealt[r.Intn(len(dealt))], r.Intn(256), r.Intn(256)})
	}
	return out
}

func TestModelSoak(t *testing.T) {
	if *modelFor == 0 {
		t.Skip("only with -model.for")
	}
	total := map[string]int{}
	from := time.Now()
	for seed := int64(1); time.Since(from) < *modelFor; seed++ {
		r := rand.New(rand.NewSource(seed))
		n, batch := []int{2, 3, 4, 5, 8}[seed%5], int(seed/5)%3
		w := newWorld(n, true, batch, weak{})
		list := someMoves(r, 400)
		if bad := w.run(list); bad != "" {
			list, bad = shrunk(func() *world { return newWorld(n, true, batch, weak{}) }, list)
			t.Fatalf("seed %d, %d members, batches of %d: %s\n%v", seed, n, batch, bad, list)
		}
		total["worlds"]++
		total["steps"] += w.n
		for k, v := range w.count {
			total[k] += v
		}
	}
	t.Log(total)
}

// shrunk leaves out what a failing list of moves can do without.
func shrunk(fresh func() *world, list []move) ([]move, string) {
	bad := fresh().run(list)
	try := func(l []move) bool {
		if b := fresh().run(l); b != "" {
			list, bad = l, b
			return true
		}
		return false
	}
	for again := true; again; {
		again = false
		for size := len(list) / 2; size > 0; size /= 2 {
			for at := 0; at+size <= len(list); {
				if try(append(append([]move(nil), list[:at]...), list[at+size:]...)) {
					again = true
				} else {
					at += size
				}
			}
		}
		for i := range list {
			for _, m := range []move{{list[i].Kind, 0, 0}, {list[i].Kind, list[i].A, 0}, {list[i].Kind, list[i].A % 4, list[i].B}, {list[i].Kind, list[i].A, list[i].B % 4}, {list[i].Kind, list[i].A / 2, list[i].B}, {list[i].Kind, list[i].A, list[i].B / 2}} {
				if m != list[i] {
					l := append([]move(nil), list...)
					l[i] = m
					if try(l) {
						again = true
						break
					}
				}
			}
		}
	}
	return list, bad
}
