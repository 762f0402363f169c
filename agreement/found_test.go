package agreement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

func TestAFounderWithoutADiskIsPassedOverOnceItSaidSo(t *testing.T) {
	now := ident.Moment(1e9)
	list := []ident.Addr{"a:1", "b:1", "c:1"}
	s := New(Self{Voter: "a/1", Member: "a", Addr: "a:1"}, list, nil, 1, now)
	s.Founding(&wire.Founding{Voter: "c/1", Member: "c", Addr: "c:1", Blank: true, Answer: true}, now)
	require.Equal(t, Blank, s.Role(), "one founder has not spoken")
	s.Founding(&wire.Founding{Member: "b", Addr: "b:1", Blank: true, Answer: true}, now.Add(time.Millisecond))
	for _, sees := range [][]string{nil, {"a/1"}, {"a/0", "c/1"}, {"a/1", "b/1", "c/1"}} {
		s.Founding(&wire.Founding{Voter: "c/1", Member: "c", Addr: "c:1", Blank: true, Answer: true, Sees: sees}, now.Add(time.Millisecond))
		require.Equal(t, Blank, s.Role(), "the other has not said that it sees the same")
	}
	s.Founding(&wire.Founding{Voter: "c/1", Member: "c", Addr: "c:1", Blank: true, Answer: true, Sees: []string{"a/1", "c/1"}}, now.Add(time.Millisecond))
	require.Equal(t, Follower, s.Role())
	require.Len(t, Voters(s.Roster()), 2)
	require.Equal(t, []string{"a/1", "c/1"}, ids(s.Roster()))
}

func TestAFounderThatMissedTheFoundingFormsNoSecondFleetWithAWipedOne(t *testing.T) {
	for _, joins := range []bool{true, false} {
		c := newCluster(t, 3, 1, 1)
		told := false
		c.drop = func(from, to string, f *wire.Frame) bool {
			if to != "a2" {
				return false
			}
			if from == "a1" && f.GetFounding().GetBlank() {
				told = true
				return false
			}
			return true
		}
		c.until(3*time.Second, func() bool { return c.leader() != nil })
		require.True(t, told, "the one that is left out has heard once that another is blank")
		require.Equal(t, Blank, c.all["a2"].state.Role())
		require.True(t, c.commits(time.Second))
		at := c.all["a1"].state.commit
		c.wipe("a0")
		c.all["a0"].joins = joins
		c.start("a0")
		c.drop = func(from, to string, f *wire.Frame) bool {
			return from == "a1" && to == "a2" || from == "a2" && to == "a1"
		}
		c.run(5 * time.Second)
		require.Equal(t, Blank, c.all["a2"].state.Role(), "it knows nothing, and the wiped one neither")
		require.Nil(t, c.leader())
		c.drop = nil
		require.True(t, c.commits(5*time.Second))
		require.Greater(t, c.leader().state.commit, at)
		c.until(5*time.Second, c.settled(3))
		require.Len(t, c.voters(), 3)
	}
}

func TestAFoundingInterruptedByAWipeFormsAllTheSame(t *testing.T) {
	for ms := 0; ms < 160; ms += 2 {
		for _, joins := range []bool{true, false} {
			c := newCluster(t, 3, 1, int64(ms))
			c.run(time.Duration(ms) * time.Millisecond)
			a := []string{"a0", "a1", "a2"}[ms/2%3]
			c.wipe(a)
			c.all[a].joins = joins
			c.run(300 * time.Millisecond)
			c.start(a)
			c.until(5*time.Second, func() bool { return len(c.voters()) == 3 && c.votes(a) })
			require.True(t, c.votes(a), "wiped after %d ms, joins %v", ms, joins)
			require.Len(t, c.voters(), 3)
		}
	}
}

func TestAFoundingInterruptedByAKillOfAllFormsAllTheSame(t *testing.T) {
	for ms := 0; ms < 160; ms += 2 {
		c := newCluster(t, 3, 1, int64(ms))
		c.run(time.Duration(ms) * time.Millisecond)
		for a := range c.all {
			c.kill(a)
		}
		for _, a := range []string{"a1", "a2", "a0"} {
			c.start(a)
		}
		c.until(5*time.Second, c.settled(3))
		require.Len(t, c.voters(), 3, "killed after %d ms", ms)
	}
}

// freshStart has some of the founders start for the first time, the others stay away.
func freshStart(t *testing.T, seed int64, first bool, up ...string) *cluster {
	c := newCluster(t, 3, 1, seed)
	for _, a := range ident.Keys(c.all) {
		c.kill(a)
		c.all[a].first = first
		if slices.Contains(up, a) {
			c.start(a)
		}
	}
	return c
}

func TestAMajorityOfFoundersFoundsTheFleetAtItsFreshFleet(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		c := freshStart(t, seed, true, "a0", "a1")
		took := c.until(10*time.Second, func() bool { return c.leader() != nil })
		require.Greater(t, took, FoundWait)
		require.Less(t, took, FoundWait+1500*time.Millisecond, "seed %d", seed)
		require.True(t, c.commits(time.Second))
		if seed%2 == 0 {
			c.start("a2")
		} else {
			c.newcomer("a9")
		}
		c.until(4*time.Second, func() bool {
			return len(c.voters()) == 3 && !slices.Contains(ids(c.leader().state.Roster()), "silent/a2")
		})
		require.Len(t, c.voters(), 3, "seed %d", seed)
		require.NotContains(t, ids(c.leader().state.Roster()), "silent/a2", "seed %d", seed)
		c.kill(c.lead())
		require.True(t, c.commits(3*time.Second), "seed %d: a loss after the repair", seed)
	}
}

func TestNoMajorityFoundsAFleetAgainAfterTheFreshStart(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		c := freshStart(t, seed, false, "a0", "a1")
		c.run(20 * time.Second)
		require.Equal(t, []Role{Blank, Blank}, []Role{c.all["a0"].state.Role(), c.all["a1"].state.Role()})
		c = freshStart(t, seed, true, "a0")
		c.run(20 * time.Second)
		require.Equal(t, Blank, c.all["a0"].state.Role(), "one of three")
		c.all["a1"].first = false
		c.start("a1")
		c.run(20 * time.Second)
		require.Equal(t, Blank, c.all["a0"].state.Role(), "one of three, beside one that may have been wiped")
	}
}

func TestOneThatMayHaveBeenWipedIsSilentToAMajorityThatFounds(t *testing.T) {
	now := ident.Moment(1e9)
	s := New(Self{Voter: "a/1", Member: "a", Addr: "a:1"}, []ident.Addr{"a:1", "b:1", "c:1", "d:1", "e:1"}, nil, 1, now)
	s.FreshFleet = true
	now = now.Add(FoundWait)
	for _, f := range []*wire.Founding{{Voter: "b/1", Addr: "b:1", First: true}, {Voter: "d/2", Addr: "d:1"}, {Voter: "c/1", Addr: "c:1", First: true}} {
		f.Blank, f.Answer = true, true
		require.Equal(t, Blank, s.Role())
		s.Founding(f, now)
	}
	require.Equal(t, Follower, s.Role())
	var got []string
	for _, v := range Voters(s.Roster()) {
		got = append(got, v.Id)
	}
	require.Equal(t, []string{"a/1", "b/1", "c/1", "silent/d:1", "silent/e:1"}, got)
}

func TestTheSilentFoundersVoteIsNobodysAndRostersOfBothKindsAgree(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		c := freshStart(t, seed, true, "a0", "a1", "a2")
		c.cut[[2]string{"a0", "a2"}], c.cut[[2]string{"a2", "a0"}] = true, true
		c.run(4 * time.Second)
		require.NotNil(t, c.leader(), "seed %d", seed)
		at := c.propose()
		c.run(500 * time.Millisecond)
		require.GreaterOrEqual(t, c.leader().state.commit, at, "seed %d", seed)
		c.cut = map[[2]string]bool{}
		c.run(4 * time.Second)
		c.kill(c.lead())
		require.True(t, c.commits(4*time.Second), "seed %d", seed)
		require.GreaterOrEqual(t, c.leader().state.commit, at, "seed %d", seed)
	}
}

func TestAClaimOfAFounderDoesNotOutliveItsMoment(t *testing.T) {
	now := ident.Moment(1e9)
	list := []ident.Addr{"a:1", "b:1", "c:1"}
	s := New(Self{Voter: "c/1", Member: "c", Addr: "c:1"}, list, nil, 1, now)
	s.FreshFleet = true
	claim := &wire.Founding{Voter: "a/1", Member: "a", Addr: "a:1", Blank: true, First: true, Answer: true}
	s.Founding(claim, now)
	now = now.Add(max(FoundWait, ClaimFor) + time.Millisecond)
	s.Tick(now)
	require.Equal(t, Blank, s.Role(), "what a said is old")
	s.Founding(claim, now)
	require.Equal(t, Follower, s.Role())
	require.Equal(t, []string{"a/1", "c/1", "silent/b:1"}, ids(s.Roster()))
}
