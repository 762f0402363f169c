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
	require.Equal(t, Follower, s.Role())
	var ids []string
	for _, v := range Voters(s.Roster()) {
		ids = append(ids, v.Id)
	}
	require.Equal(t, []string{"a/1", "c/1"}, ids)
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
		c.until(4*time.Second, func() bool { return len(c.voters()) == 3 && !slices.Contains(ids(c), "silent/a2") })
		require.Len(t, c.voters(), 3, "seed %d", seed)
		require.NotContains(t, ids(c), "silent/a2", "seed %d", seed)
		c.kill(c.lead())
		require.True(t, c.commits(3*time.Second), "seed %d: a loss after the repair", seed)
	}
}

func ids(c *cluster) []string {
	var out []string
	for _, v := range Voters(c.leader().state.Roster()) {
		out = append(out, v.Id)
	}
	return out
}

func TestNoMajorityFoundsAFleetAgainAfterTheFreshFleet(t *testing.T) {
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
	s.Founding(&wire.Founding{Voter: "a/1", Member: "a", Addr: "a:1", Blank: true, Answer: true}, now)
	now = now.Add(ClaimFor + time.Millisecond)
	s.Founding(&wire.Founding{Voter: "b/2", Member: "b", Addr: "b:1", Blank: true, Answer: true}, now)
	require.Equal(t, Blank, s.Role(), "a may have founded meanwhile, with b/1")
	s.Founding(&wire.Founding{Voter: "a/1", Member: "a", Addr: "a:1", Blank: true, Answer: true}, now)
	require.Equal(t, Follower, s.Role())
}
