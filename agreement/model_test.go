package agreement

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelShare is how long each size runs in the suite.
const modelShare = 4 * time.Second

var modelFor = flag.Duration("model.for", 0, "how long the model check runs at random, over all sizes, in place of its share of the suite")

var moves = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
	return move{dealt[rapid.IntRange(0, len(dealt)-1).Draw(t, "kind")], rapid.IntRange(0, 255).Draw(t, "a"), rapid.IntRange(0, 255).Draw(t, "b")}
}), 200, 400)

func holdsAtRandom(t *testing.T, founded bool) {
	sizes := []int{2, 3, 4, 5, 8}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n, " members"), func(t *testing.T) {
			t.Parallel()
			share := modelShare
			if *modelFor > 0 {
				share = *modelFor / time.Duration(len(sizes))
			}
			total := map[string]int{}
			for from := time.Now(); time.Since(from) < share; {
				rapid.Check(t, func(rt *rapid.T) {
					w := newWorld(n, founded, rapid.IntRange(0, 2).Draw(rt, "batch"), weak{})
					if bad := w.run(moves.Draw(rt, "moves")); bad != "" {
						rt.Fatal(bad)
					}
					total["worlds"]++
					total["steps"] += w.n
					for k, v := range w.count {
						total[k] += v
					}
				})
			}
			t.Log(total)
		})
	}
}

func TestModelHoldsAtRandom(t *testing.T) { holdsAtRandom(t, true) }

func TestModelHoldsFromTheFounding(t *testing.T) { holdsAtRandom(t, false) }
