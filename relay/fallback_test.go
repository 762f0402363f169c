package relay

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	leader = "l:1"
	holder = "h:1"
	parent = "n:1"
)

// follower is a node that knows a core and cell x, and is asked nothing by the test but to tick.
type follower struct {
	*State
	now     ident.Moment
	ring    []*wire.Card
	answers map[string]bool
	// versions and freshness are what places answer of their news; without them it is as old as can be told.
	versions  map[string]uint64
	freshness map[string]*wire.Freshness
	sounded   []string
	asked     []string
}

func newFollower() *follower {
	s := New("n3", 1, false)
	s.Terms(3*time.Second, 20*time.Second)
	ring := []*wire.Card{{Id: "n1", Cell: "x", Role: 1, Addr: parent}, {Id: "n2", Cell: "x", Role: 1, Addr: "n:2"}, {Id: "n3", Cell: "x", Role: 1, Addr: "n:3"}}
	f := &follower{State: s, now: ident.Moment(1e12), ring: ring, answers: map[string]bool{}}
	f.TakeCore(&wire.Core{Version: 4, LeaderAddr: leader, Holds: []*wire.Hold{{Cell: "x", Addr: holder, Epoch: 2}}}, nil, 0, f.now)
	f.Cells["x"] = cell.NewCopy("x")
	f.Cells["x"].Take(table(), f.now)
	return f
}

func table() *wire.CellNews {
	n := &wire.CellNews{Cell: "x", Epoch: 2, Upto: 1}
	for i := range uint32(cell.Parts) {
		n.Ranges = append(n.Ranges, &wire.Range{Part: i})
	}
	return n
}

func (f *follower) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(EagerEvery)
		f.Tick(f.ring, 1, []string{leader, holder, "c:1"}, f.now)
		for _, m := range f.Flush() {
			f.take(m.To, m.Frame.GetAsk())
		}
	}
}

func (f *follower) take(to string, a *wire.Ask) {
	list := &f.asked
	if a.Sounding {
		list = &f.sounded
	}
	*list = append(*list, to)
	if !f.answers[to] {
		return
	}
	n := &wire.News{Token: a.Token, Newest: max(4, f.versions[to])}
	if a.Sounding {
		n.Freshness = f.freshness[to]
	} else {
		n.HasCore, n.Cells = true, []*wire.CellNews{table()}
		n.CoreAgeNs = f.freshness[to].GetCoreAgeNs()
		for _, m := range f.freshness[to].GetCells() {
			n.Cells[0].Epoch, n.Cells[0].Upto, n.Cells[0].AgeNs = m.Epoch, m.Upto, m.AgeNs
		}
		if n.Newest > f.Core.Version {
			n.Core = &wire.Core{Version: n.Newest, LeaderAddr: f.Core.LeaderAddr, Holds: f.Core.Holds}
		}
	}
	f.News(n, to, f.now)
}

func TestANodeWhoseNewsIsLateAsksTheHolderItself(t *testing.T) {
	f := newFollower()
	f.answers[holder] = true
	f.run(LateNews)
	require.Empty(t, f.sounded, "its parent has time to answer")
	require.NotContains(t, f.asked, holder)
	f.asked = nil
	f.run(4 * EagerEvery)
	require.Contains(t, f.sounded, holder)
	require.Equal(t, []string{holder}, f.asked[:1], "it answered the sounding")
	require.Less(t, f.now.Sub(f.Cells["x"].AsOf), 4*EagerEvery)
	require.False(t, f.fallsBack(f.now))
}

func TestANodeWhoseHolderIsSilentAsksAnotherThatAnswers(t *testing.T) {
	f := newFollower()
	f.answers["c:1"] = true
	f.run(LateNews + 4*EagerEvery)
	require.Less(t, f.now.Sub(f.Cells["x"].AsOf), 4*EagerEvery)
	require.Equal(t, "c:1", f.asked[len(f.asked)-1])
}

func TestANodeThatIsCutOffSoundsAFewAndAsksNobody(t *testing.T) {
	f := newFollower()
	f.run(LateNews)
	f.asked, f.sounded = nil, nil
	f.run(3 * time.Second)
	require.Empty(t, f.asked)
	require.Less(t, len(f.sounded), 3*int(3*time.Second/AskWait)+4, "each again only once it is overdue")
	slices.Sort(f.sounded)
	require.Equal(t, []string{"c:1", holder, leader}, slices.Compact(f.sounded))
}

func TestOldNewsOfACellIsUsedOnlyWhileItsHolderIsSilent(t *testing.T) {
	f := newFollower()
	require.True(t, f.CellFresh("x", f.now.Add(CellFresh-1)))
	require.True(t, f.CellFresh("x", f.now.Add(CellFresh)), "the holder is silent: this node may be cut off, or the holder dead")
	require.False(t, f.CellFresh("x", f.now.Add(20*time.Second)))
	f.answers[holder] = true
	f.run(LateNews + EagerEvery)
	f.Cells["x"].AsOf = f.now.Add(-CellFresh)
	require.False(t, f.CellFresh("x", f.now), "it answers, and so could have told newer")
	f.Core.Holds[0].Epoch = 3
	require.True(t, f.CellFresh("x", f.now), "the next holder may have nothing to tell yet")
}
