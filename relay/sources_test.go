package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/member"
	"sloeturn/wire"
)

const successor = "c:1"

func freshnessOf(core time.Duration, epoch, upto uint64, table time.Duration) *wire.Freshness {
	return &wire.Freshness{CoreAgeNs: int64(core), Cells: []*wire.CellMark{{Cell: "x", Epoch: epoch, Upto: upto, AgeNs: int64(table)}}}
}

// newCutFollower is a node whose leader, which holds cell x too, is cut off from the other voters and
// answers at once; its successor leads and has a newer core.
func newCutFollower() *follower {
	f := newFollower()
	f.Core.Holds[0].Addr = leader
	f.versions = map[string]uint64{successor: 5}
	f.freshness = map[string]*wire.Freshness{leader: freshnessOf(10*time.Second, 2, 1, 10*time.Second), successor: freshnessOf(0, 2, 1, 10*time.Second)}
	f.answers = map[string]bool{leader: true, successor: true}
	return f
}

// Guards against CONFIG inc1: a node asked a cut-off leader again and again, for it answered at once.
func TestAProcessThatAnswersAndHasNothingNewerIsNotAskedAgainAndAgain(t *testing.T) {
	f := newCutFollower()
	f.run(LateNews + 4*EagerEvery)
	require.Contains(t, f.asked, successor)
	require.Equal(t, uint64(5), f.Core.Version)
	f.asked = nil
	f.run(3 * time.Second)
	require.NotContains(t, f.asked, leader, "its soundings tell that it has nothing newer")
	require.Less(t, f.now.Sub(f.CoreAsOf), LateNews+4*EagerEvery)
}

// Guards against the same with processes that don't tell how fresh their news is.
func TestProcessesThatDontTellHowFreshTheyAreAreAskedInTurn(t *testing.T) {
	f := newCutFollower()
	f.freshness[leader], f.freshness[successor] = nil, nil
	f.answers[parent] = false
	f.run(LateNews + 8*EagerEvery)
	require.Contains(t, f.asked, successor)
	require.Equal(t, uint64(5), f.Core.Version)
}

// Guards against CONFIG inc1: nothing refused an old core while another process knew a newer one.
func TestACoreIsBehindOnceAnotherProcessIsHeardToKnowANewerOne(t *testing.T) {
	f := newFollower()
	f.answers = map[string]bool{successor: true}
	f.run(LateNews)
	require.False(t, f.CoreBehind())
	f.sounded = nil
	f.sources = []*source{{address: successor, heardAt: f.now, precise: true, core: 5}}
	require.True(t, f.CoreBehind())
	f.TakeCore(&wire.Core{Version: 5, LeaderAddr: leader}, nil, 0, f.now)
	require.False(t, f.CoreBehind())
	f.sources[0].core = 6
	f.forgetSources(f.now.Add(AskKept + 1))
	require.False(t, f.CoreBehind(), "it has been silent for long")
}

// Guards against DRAIN: an old table was used although another process knew a newer one, and refused
// although none did.
func TestAnOldTableIsRefusedOnceANewerOneIsKnownElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		epoch, upto uint64
		fresh       bool
	}{"the same table": {2, 1, true}, "a newer table": {2, 2, false}, "the next holder's": {3, 0, false}, "an earlier holder's": {1, 9, true}} {
		f := newFollower()
		f.sources = []*source{{address: holder, heardAt: f.now.Add(CellFresh), precise: true, cells: map[ident.Cell]cellMark{"x": {ident.Epoch(c.epoch), c.upto, f.now}}}}
		require.True(t, f.CellFresh("x", f.now.Add(CellFresh-1)), name)
		require.Equal(t, c.fresh, f.CellFresh("x", f.now.Add(CellFresh)), name)
	}
}

// Guards against a node that stays with a parent which answers with old news, while other answers keep
// its own news fresh.
func TestAParentWhoseNewsIsOldIsClimbedPast(t *testing.T) {
	f := newCutFollower()
	f.ring = append(f.ring, &wire.Card{Id: "c1", Cell: "x", Role: member.Control, Addr: successor})
	f.answers[parent] = true
	f.freshness[parent] = freshnessOf(10*time.Second, 2, 1, 10*time.Second)
	f.run(3 * time.Second)
	require.Equal(t, successor, f.Parent())
}

// Guards against a node that starts and asks a holder that has nothing yet, for it answers at once.
func TestAStartingNodeAsksOthersBesideAHolderThatHasNothing(t *testing.T) {
	f := newFollower()
	delete(f.Cells, "x")
	f.Eager = true
	f.Core.Holds[0].Addr = "empty:1"
	f.answers = map[string]bool{"empty:1": true}
	for range 6 {
		f.now = f.now.Add(EagerEvery)
		f.Tick(nil, 0, []string{leader, holder, successor}, f.now)
		for _, m := range f.Flush() {
			f.asked = append(f.asked, m.To)
			f.News(&wire.News{Token: m.Frame.GetAsk().Token, Newest: 4}, m.To, f.now)
		}
	}
	require.Contains(t, f.asked, leader)
	require.Contains(t, f.asked, "empty:1")
}

func TestFreshnessTellsTheAgesOfWhatIsKnown(t *testing.T) {
	f := newFollower()
	f.Cells["y"] = cell.NewCopy("y")
	n := f.Answer(&wire.Ask{Token: 9, Sounding: true, Only: true}, f.now.Add(time.Second))
	require.Equal(t, freshnessOf(time.Second, 2, 1, time.Second).String(), n.Freshness.String(), "cell y isn't known")
	require.Nil(t, New("n", 1, false).Answer(&wire.Ask{Sounding: true}, f.now).Freshness)
}
