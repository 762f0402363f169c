package agreement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

// watched is a fleet of three voters, two of them up, with a learner that goes on answering.
func watched(t *testing.T) (*table, *State, *State) {
	r := &wire.Roster{}
	for i := range 4 {
		r.Voters = append(r.Voters, &wire.Voter{Id: fmt.Sprint("v", i), Addr: fmt.Sprint("a", i), Member: fmt.Sprint("m", i), Learner: i == 3})
	}
	w := &table{all: map[string]*State{}, now: ident.Moment(1e12)}
	for _, i := range []int{0, 1, 3} {
		got := &Recovered{Term: 4, Snapshot: &wire.Snapshot{LastIndex: 7, LastTerm: 4, Roster: r}}
		w.all[fmt.Sprint("a", i)] = New(Self{Voter: ident.Voter(fmt.Sprint("v", i)), Addr: ident.Addr(fmt.Sprint("a", i))}, nil, got, int64(i), w.now)
	}
	for i := 0; i < 3000 && w.leader() == nil; i++ {
		w.step()
	}
	l := w.leader()
	require.NotNil(t, l)
	other := w.all["a0"]
	if other == l {
		other = w.all["a1"]
	}
	return w, l, other
}

func alone(t *testing.T, w *table, l, other *State) {
	delete(w.all, string(other.Self.Addr))
	cut := w.now
	for range int(QuorumLost/time.Millisecond) + 200 {
		w.step()
		at, ok := l.AsOf()
		require.False(t, ok && at.After(cut), "fresh as of %v after the other was last heard", at.Sub(cut))
	}
	require.NotEqual(t, Leader, l.Role())
}

// A voter answers what a leader sent in an earlier life, late: the round it names is from then.
func TestARefusalOfAnEarlierTermsWordIsNoContact(t *testing.T) {
	w, l, other := watched(t)
	other.Append(&wire.Append{Term: uint64(l.Term()) - 1, Leader: string(l.Self.Voter), LeaderAddr: string(l.Self.Addr), Round: 5000, Target: string(other.Self.Voter)}, w.now)
	for range 100 {
		w.step()
	}
	require.True(t, l.Firm())
	alone(t, w, l, other)
}

func TestARoundThatWasNotAskedYetIsNoContact(t *testing.T) {
	w, l, other := watched(t)
	l.AppendReply(&wire.AppendReply{Term: uint64(l.Term()), Voter: string(other.Self.Voter), Round: 5000}, w.now)
	alone(t, w, l, other)
}
