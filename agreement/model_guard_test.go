package agreement

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

// guardSteps bounds the search for each guard taken out; what is seen is seen far below it.
const guardSteps = 1_500_000

var guards = []struct {
	name string
	out  weak
}{
	{"the vote waits for the sync of the hard state", weak{voteUnsynced: true}},
	{"the request for votes waits for the sync", weak{askUnsynced: true}},
	{"an acknowledgement waits for the sync of its entries", weak{ackUnsynced: true}},
	{"the vote goes to a log that is up to date", weak{anyLog: true}},
	{"a majority votes", weak{halfVotes: true}},
	{"the vote is kept over a restart", weak{votedLost: true}},
	{"the term is kept over a restart", weak{termLost: true}},
	{"one change of the roster at a time", weak{manyRosters: true}},
	{"no change of the roster before the first commit in the term", weak{rosterUnfirm: true}},
	{"one change of the roster at a time, told by what comes of it", weak{manyRosters: true, blind: true}},
	{"a majority's contact before a read", weak{noContact: true}},
	{"a snapshot tells the term of its last entry", weak{snapshotLastTerm: true}},
	{"a snapshot leaves what stands behind it", weak{snapshotOverLonger: true}},
	{"entries of an older term are refused", weak{appendTerm: true}},
	{"entries follow one of the same index and term", weak{anyPrev: true}},
	{"an acknowledgement counts in its term alone", weak{ackTerm: true}},
	{"a follower commits what the leader confirmed alone", weak{commitAhead: true}},
	{"a wiped disk is another voter", weak{sameId: true}},
	{"a blank founder starts from the founding roster alone", weak{logRoster: true}},
	{"a blank founder starts from the founding roster alone, told by what comes of it", weak{logRoster: true, blind: true}},
}

// figure8 is the way of figure 8 of the Raft paper, with three voters: the entry of term 2 stands at two of them, and yet is not safe.
var figure8 = []move{{elect, 0, 2}, {lose, 0, 0}, {kill, 0, 1}, {elect, 2, 2}, {elect, 2, 2}, {lose, 0, 0}, {kill, 2, 1}, {start, 0, 0}, {elect, 0, 2}, {elect, 0, 2}, {talk, 0, 36}, {deliver, 10, 0}, {start, 2, 0}, {lose, 0, 0}, {elect, 2, 2}, {elect, 2, 2}}

func TestModelGoesTheWayOfFigure8(t *testing.T) {
	w := newWorld(3, true, 1, weak{})
	require.Empty(t, w.run(figure8))
	require.Equal(t, Leader, w.seats[2].s.role)
	w = newWorld(3, true, 1, weak{olderCounts: true})
	require.Contains(t, w.run(figure8), "without entry 2 of term 2")
}

func someMoves(kinds []kind, r *rand.Rand, n int) []move {
	var out []move
	for i := 0; i < n; i++ {
		out = append(out, move{kinds[r.Intn(len(kinds))], r.Intn(256), r.Intn(256)})
	}
	return out
}

func TestModelSeesEachGuardTakenOut(t *testing.T) {
	for _, g := range guards {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			steps := 0
			for seed := int64(1); steps < guardSteps; seed++ {
				n := []int{3, 5, 4, 2}[seed%4]
				w, kinds := newWorld(n, true, int(seed/4)%3, g.out), dealt
				if g.out.logRoster {
					w, kinds = newAskedWorld(int(seed/12), n, int(seed/4)%3, g.out), lateDealt
				}
				bad := w.run(someMoves(kinds, rand.New(rand.NewSource(seed)), 400))
				steps += w.n
				if bad != "" {
					t.Logf("seen after %d worlds, %d steps, with %d members: %s", seed, steps, n, bad)
					return
				}
			}
			t.Errorf("not seen in %d steps", steps)
		})
	}
}
