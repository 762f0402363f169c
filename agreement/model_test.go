package agreement

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	sync_ "sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelSeed is the seed of the suite's random worlds; a run of its own length takes a free one.
const modelSeed = 20261205

// modelWorlds is how many worlds of each size one test of the suite runs.
var modelWorlds = map[int]int{2: 2400, 3: 1600, 4: 1300, 5: 1000, 8: 600}

// longWorlds bounds the worlds of each size in a run of its own length.
const longWorlds = 10_000_000

var modelFor = flag.Duration("model.for", 0, "how long each test of the model check runs at random, over all sizes, in place of its share of the suite")

func movesOf(kinds []kind) *rapid.Generator[[]move] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
		return move{kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")], rapid.IntRange(0, 255).Draw(t, "a"), rapid.IntRange(0, 255).Draw(t, "b")}
	}), 200, 400)
}

var moves = movesOf(dealt)

// drawnByHand says that the command line tells rapid what to draw.
var drawnByHand = sync_.OnceValue(func() (byHand bool) {
	flag.Visit(func(f *flag.Flag) {
		byHand = byHand || slices.Contains([]string{"rapid.seed", "rapid.checks", "rapid.failfile"}, f.Name)
	})
	return byHand
})

// fixedWorlds has rapid draw the suite's worlds, the same on every run, but for what the command line says.
func fixedWorlds(t *testing.T) (fixed bool) {
	if drawnByHand() {
		return false
	}
	seed, checks := uint64(modelSeed), modelWorlds[2]
	if *modelFor > 0 {
		seed, checks = rand.Uint64(), longWorlds
	}
	for name, value := range map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": strconv.Itoa(checks)} {
		before := flag.Lookup(name).Value.String()
		require.NoError(t, flag.Set(name, value))
		t.Cleanup(func() { require.NoError(t, flag.Set(name, before)) })
	}
	t.Logf("seed %d", seed)
	return *modelFor == 0
}

// holdsAtRandom runs worlds of each size that begin as told and go on by random moves.
func holdsAtRandom(t *testing.T, world func(rt *rapid.T, members int) (*world, []move)) {
	fixed := fixedWorlds(t)
	for members, share := range modelWorlds {
		t.Run(fmt.Sprint(members, " members"), func(t *testing.T) {
			t.Parallel()
			total := map[string]int{}
			end := time.Now().Add(*modelFor / time.Duration(len(modelWorlds)))
			rapid.Check(t, func(rt *rapid.T) {
				if fixed && total["worlds"] == share || *modelFor > 0 && time.Now().After(end) {
					return
				}
				w, list := world(rt, members)
				if bad := w.run(list); bad != "" {
					rt.Fatal(bad)
				}
				total["worlds"]++
				total["steps"] += w.n
				for k, v := range w.count {
					total[k] += v
				}
			})
			if t.Log(total); fixed {
				require.Equal(t, share, total["worlds"])
			}
		})
	}
}

func drawBatch(rt *rapid.T) int { return rapid.IntRange(0, 2).Draw(rt, "batch") }

func TestModelHoldsAtRandom(t *testing.T) {
	holdsAtRandom(t, func(rt *rapid.T, members int) (*world, []move) {
		return newWorld(members, true, drawBatch(rt), weak{}), moves.Draw(rt, "moves")
	})
}

func TestModelHoldsFromTheFounding(t *testing.T) {
	holdsAtRandom(t, func(rt *rapid.T, members int) (*world, []move) {
		return newWorld(members, false, drawBatch(rt), weak{}), moves.Draw(rt, "moves")
	})
}

// Guards against a fleet that splits because a founder that is late starts from a roster that was
// never committed.
func TestModelHoldsWithALateFounder(t *testing.T) {
	holdsAtRandom(t, func(rt *rapid.T, members int) (*world, []move) {
		begin := []func(late, members, batch int, out weak) *world{newLateWorld, newAskedWorld}[rapid.IntRange(0, 1).Draw(rt, "asked")]
		w := begin(rapid.IntRange(0, members-1).Draw(rt, "late"), members, drawBatch(rt), weak{})
		return w, []*rapid.Generator[[]move]{moves, lateMoves}[rapid.IntRange(0, 1).Draw(rt, "late moves")].Draw(rt, "moves")
	})
}
