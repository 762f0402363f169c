package agreement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

const catchUp = 4 * time.Second

func TestANewcomerVotesWellInsideCatchUpAndTheNextLossIsBorne(t *testing.T) {
	for _, disks := range []int{3, 4, 8} {
		for _, who := range []string{"leader", "follower"} {
			for seed := int64(1); seed <= 10; seed++ {
				t.Run(fmt.Sprint(disks, " disks ", who, " ", seed), func(t *testing.T) {
					losses := 1
					if disks == 8 {
						losses = 2
					}
					c := newCluster(t, disks, losses, seed)
					c.settle(2*losses + 1)
					for turn := 0; turn < 4; turn++ {
						a := c.lead()
						if who == "follower" {
							a = c.notLeader()
						}
						c.kill(a)
						delete(c.all, a)
						n := fmt.Sprint("b", turn)
						c.newcomer(n)
						took := c.until(catchUp, func() bool {
							l := c.leader()
							if l == nil || c.settled(2*losses+1)() == false {
								return false
							}
							for _, v := range c.voters() {
								if c.all[v] == nil {
									return false
								}
							}
							return find(l.state.Roster(), c.all[n].id) != nil
						})
						require.Less(t, took, 3*catchUp/4, "turn %d: %v", turn, c.voters())
						c.run(catchUp - took)
						require.True(t, c.commits(time.Second), "turn %d", turn)
					}
				})
			}
		}
	}
}

func TestASilentVoterStaysWhileNoLearnerIsReady(t *testing.T) {
	c := newCluster(t, 3, 1, 1)
	c.settle(3)
	a := c.notLeader()
	c.freeze(a)
	c.run(20 * time.Second)
	require.Contains(t, c.voters(), a, "no learner stands")
	c.newcomer("b0")
	c.all["b0"].sync = 5 * time.Second
	c.run(4500 * time.Millisecond)
	require.Contains(t, c.voters(), a, "the learner's disk has written nothing yet")
	c.all["b0"].sync = 2 * time.Millisecond
	c.until(10*time.Second, func() bool { return c.votes("b0") })
	require.True(t, c.votes("b0"))
	require.NotContains(t, c.voters(), a)
}

func TestALearnerWithEntriesBehindIsNotReadyHoweverFew(t *testing.T) {
	c := newCluster(t, 3, 1, 2)
	c.settle(3)
	c.newcomer("b0")
	c.until(3*time.Second, func() bool { return find(c.leader().state.Roster(), c.all["b0"].id) != nil })
	c.run(time.Second)
	a := c.notLeader()
	c.drop = func(from, to string, f *wire.Frame) bool { return to == "b0" && len(f.GetAppend().GetEntries()) > 0 }
	c.run(100 * time.Millisecond)
	c.propose()
	c.freeze(a)
	c.run(5 * time.Second)
	require.Contains(t, c.voters(), a, "the learner lacks one entry, however fresh its answers")
	c.drop = nil
	c.until(5*time.Second, func() bool { return c.votes("b0") })
	require.True(t, c.votes("b0"))
}

func TestNoVoterIsRemovedWhoseGoingLeavesNoLiveMajority(t *testing.T) {
	c := newCluster(t, 8, 2, 3)
	c.settle(5)
	l := c.leader()
	var rest []string
	for _, v := range c.voters() {
		if v != l.addr {
			rest = append(rest, v)
		}
	}
	for _, a := range rest[:3] {
		c.freeze(a)
	}
	c.run(5 * time.Second)
	require.Nil(t, c.leader(), "two of five lead nothing, and change no roster")
	for _, a := range rest[:3] {
		c.thaw(a)
	}
	require.True(t, c.commits(5*time.Second))
	require.Len(t, c.voters(), 5)
}

func TestNoVoterIsRemovedOnTheWordOfOneWhoseDiskStandsStill(t *testing.T) {
	c := newCluster(t, 4, 1, 3)
	c.settle(3)
	l := c.lead()
	var rest []string
	for _, v := range c.voters() {
		if v != l {
			rest = append(rest, v)
		}
	}
	gone, still := rest[0], rest[1]
	c.all[still].sync = 30 * time.Second
	c.propose()
	c.run(1500 * time.Millisecond)
	c.freeze(gone)
	c.run(2500 * time.Millisecond)
	c.thaw(gone)
	require.True(t, c.commits(300*time.Millisecond), "the leader and the one that came back are two of three")
	require.Contains(t, c.voters(), gone)
}

func TestAPauseShorterThanTheReplacementTimeChangesNoRoster(t *testing.T) {
	c := newCluster(t, 8, 2, 4)
	c.settle(5)
	c.replace = 2 * time.Second
	for _, a := range ident.Keys(c.all) {
		c.all[a].state.VoterReplace = c.replace
	}
	l := c.all[c.lead()]
	c.run(time.Second)
	_, at := l.state.rosterAt()
	for i := 0; i < 8; i++ {
		a := fmt.Sprint("a", i)
		if a == l.addr {
			continue
		}
		c.freeze(a)
		c.run(1800 * time.Millisecond)
		c.thaw(a)
		c.run(300 * time.Millisecond)
	}
	_, now := l.state.rosterAt()
	require.Equal(t, at, now)
	require.True(t, l.state.Firm())
}

func TestALearnerGoneForLongLeavesTheRoster(t *testing.T) {
	c := newCluster(t, 4, 1, 5)
	c.settle(3)
	for a, m := range c.all {
		if !c.votes(a) {
			c.kill(a)
			c.run(9 * time.Second)
			require.NotNil(t, find(c.all[c.lead()].state.Roster(), m.id))
			c.run(3 * time.Second)
			require.Nil(t, find(c.all[c.lead()].state.Roster(), m.id))
			c.start(a)
			c.run(time.Second)
			require.NotNil(t, find(c.all[c.lead()].state.Roster(), m.id))
			return
		}
	}
	t.Fatal("no learner")
}

func TestTwoVotersLostAtOnceAreReplacedOneAfterAnother(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		c := newCluster(t, 8, 2, seed)
		c.settle(5)
		lost := []string{c.lead(), c.notLeader()}
		for _, a := range lost {
			c.kill(a)
		}
		took := c.until(catchUp, func() bool {
			n := 0
			for _, v := range c.voters() {
				if c.all[v].up {
					n++
				}
			}
			return n == 5
		})
		require.Less(t, took, 3*catchUp/4, "seed %d: %v", seed, c.voters())
		lost = []string{c.lead(), c.notLeader()}
		for _, a := range lost {
			c.kill(a)
		}
		require.True(t, c.commits(3*time.Second), "seed %d", seed)
	}
}

func TestAWipedVoterIsReplacedByItsOwnNewDisk(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		c := newCluster(t, 3, 1, seed)
		c.settle(3)
		a := c.notLeader()
		if seed%2 == 0 {
			a = c.lead()
		}
		old := c.all[a].id
		c.wipe(a)
		c.start(a)
		took := c.until(catchUp, func() bool { return c.votes(a) })
		require.Less(t, took, 3*catchUp/4)
		require.Nil(t, find(c.leader().state.Roster(), old))
		require.Len(t, c.voters(), 3)
	}
}

func TestAVoterThatWasReplacedComesBackAsALearnerAndDisturbsNoLeader(t *testing.T) {
	for _, how := range []string{"freeze", "cut", "kill"} {
		for seed := int64(1); seed <= 10; seed++ {
			c := newCluster(t, 4, 1, seed)
			c.settle(3)
			a := c.notLeader()
			switch how {
			case "freeze":
				c.freeze(a)
			case "cut":
				c.isolate(a, true)
			default:
				c.kill(a)
			}
			away := time.Duration(300*seed) * time.Millisecond
			c.until(catchUp, func() bool { return len(c.voters()) == 3 && !c.votes(a) })
			require.False(t, c.votes(a), "%s, seed %d", how, seed)
			c.run(away)
			lead, term := c.leader(), c.leader().state.Term()
			switch how {
			case "freeze":
				c.thaw(a)
			case "cut":
				c.isolate(a, false)
			default:
				c.start(a)
			}
			took := c.until(catchUp, func() bool {
				l := c.leader()
				return l != nil && find(l.state.Roster(), c.all[a].id) != nil && l.state.able(c.all[a].id, c.now)
			})
			require.Less(t, took, time.Second, "%s, seed %d", how, seed)
			require.False(t, c.votes(a))
			c.run(3 * time.Second)
			require.Equal(t, lead.id, c.leader().id, "%s, seed %d", how, seed)
			require.Equal(t, term, lead.state.Term(), "%s, seed %d", how, seed)
		}
	}
}

func TestRosterChangesAreSingleStepAndEachIsCommittedBeforeTheNext(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		c := newCluster(t, 8, 2, seed)
		for i := 0; i < 40; i++ {
			a := fmt.Sprint("a", c.rand.Intn(8))
			if c.all[a].up && c.rand.Intn(2) == 0 {
				c.kill(a)
			} else if !c.all[a].up {
				c.start(a)
			}
			c.run(time.Duration(200+c.rand.Intn(800)) * time.Millisecond)
			for _, b := range ident.Keys(c.all) {
				m := c.all[b]
				if !m.up || m.state.Role() == Blank {
					continue
				}
				was := m.state.snapshot.Roster
				for _, e := range m.state.log {
					if r := e.Change.GetRoster(); r != nil {
						require.LessOrEqual(t, differ(was, r), 1)
						was = r
					}
				}
			}
		}
	}
}

func TestALeaderWhoseFirstEntryIsOpenServesNothingAndChangesNoRoster(t *testing.T) {
	c := newCluster(t, 3, 1, 6)
	c.settle(3)
	old := c.lead()
	c.newcomer("b0")
	c.kill("b0")
	c.drop = func(from, to string, f *wire.Frame) bool { return f.GetAppendReply().GetMatch() > 0 }
	c.kill(old)
	c.start("b0")
	led := false
	c.until(3*time.Second, func() bool {
		for _, m := range c.all {
			if m.up && m.state.Role() == Leader {
				led = true
				_, ok := m.state.AsOf()
				require.False(t, ok)
				_, ok = m.state.Propose(&wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{}}}, c.now)
				require.False(t, ok)
				require.Len(t, m.state.Roster().Voters, 3)
			}
		}
		return false
	})
	require.True(t, led)
	c.drop = nil
	c.until(3*time.Second, func() bool { return c.votes("b0") })
	require.True(t, c.votes("b0"))
}

func differ(a, b *wire.Roster) int {
	n := 0
	for _, v := range Voters(a) {
		if w := find(b, v.Id); w == nil || w.Learner {
			n++
		}
	}
	for _, v := range Voters(b) {
		if w := find(a, v.Id); w == nil || w.Learner {
			n++
		}
	}
	return n
}

func TestTwoDisksStandOrFallTogether(t *testing.T) {
	c := newCluster(t, 2, 1, 1)
	c.settle(2)
	c.newcomer("b0")
	c.settle(3)
	c = newCluster(t, 2, 1, 1)
	c.settle(2)
	a := c.notLeader()
	c.kill(a)
	c.newcomer("b0")
	c.run(20 * time.Second)
	require.Nil(t, c.leader(), "one of two is no majority, and a newcomer can't be admitted by nobody")
	c.start(a)
	c.until(10*time.Second, c.settled(3))
	require.Len(t, c.voters(), 3)
}

func TestOneThatComesBackAfterAllItKnewWereReplacedLearnsAgain(t *testing.T) {
	c := newCluster(t, 3, 1, 7)
	c.settle(3)
	away := c.notLeader()
	c.kill(away)
	next := 9
	come := func() {
		a := fmt.Sprint("a", next)
		next++
		c.newcomer(a)
		c.until(5*time.Second, func() bool { return c.votes(a) })
		require.True(t, c.votes(a), a)
	}
	come()
	for _, a := range []string{"a0", "a1", "a2"} {
		if a != away {
			c.kill(a)
			delete(c.all, a)
			come()
		}
	}
	c.start(away)
	c.until(5*time.Second, func() bool { return c.all[away].state.commit >= c.leader().state.commit })
	require.GreaterOrEqual(t, c.all[away].state.commit, c.leader().state.commit)
}
