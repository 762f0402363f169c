package agreement

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
				w := newWorld(n, true, weak{})
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
		n := []int{2, 3, 4, 5, 8}[seed%5]
		w := newWorld(n, true, weak{})
		list := someMoves(r, 400)
		require.Empty(t, w.run(list), "seed %d, %d members", seed, n)
		total["worlds"]++
		total["steps"] += w.n
		for k, v := range w.count {
			total[k] += v
		}
	}
	t.Log(total)
}
