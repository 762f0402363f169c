package agreement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

const wireLate = 3 * time.Millisecond

type mail struct {
	at ident.Moment
	wire.Send
}

type table struct {
	all  map[string]*State
	now  ident.Moment
	post []mail
}

func recovered(n int, seed int64, up ...int) *table {
	r := &wire.Roster{}
	for i := 0; i < n; i++ {
		r.Voters = append(r.Voters, &wire.Voter{Id: fmt.Sprint("v", i), Addr: fmt.Sprint("a", i), Member: fmt.Sprint("m", i)})
	}
	t := &table{all: map[string]*State{}, now: ident.Moment(1e12)}
	for _, i := range up {
		got := &Recovered{Term: 4, Snapshot: &wire.Snapshot{LastIndex: 7, LastTerm: 4, Roster: r}}
		t.all[fmt.Sprint("a", i)] = New(Self{Voter: ident.Voter(fmt.Sprint("v", i)), Addr: ident.Addr(fmt.Sprint("a", i))}, nil, got, seed*10+int64(i), t.now)
	}
	return t
}

func (t *table) step() {
	t.now = t.now.Add(time.Millisecond)
	var rest []mail
	for _, m := range t.post {
		s := t.all[m.To]
		if m.at.After(t.now) {
			rest = append(rest, m)
			continue
		}
		if s == nil {
			continue
		}
		switch b := m.Frame.Body.(type) {
		case *wire.Frame_Vote:
			s.Vote(b.Vote, t.now)
		case *wire.Frame_VoteReply:
			s.VoteReply(b.VoteReply, t.now)
		case *wire.Frame_Append:
			s.Append(b.Append, t.now)
		case *wire.Frame_AppendReply:
			s.AppendReply(b.AppendReply, t.now)
		}
	}
	t.post = rest
	for _, a := range ident.Keys(t.all) {
		s := t.all[a]
		if t.now%ident.Moment(20*time.Millisecond) == 0 {
			s.Tick(t.now)
		}
		o := s.Flush(t.now)
		if o.Persist != nil {
			s.Synced(o.Persist.Seq, t.now)
		}
		for _, m := range o.Sends {
			t.post = append(t.post, mail{t.now.Add(wireLate), m})
		}
	}
}

func (t *table) leader() *State {
	for _, s := range t.all {
		if s.Firm() {
			return s
		}
	}
	return nil
}

func TestRecoveredVotersHaveALeaderSoon(t *testing.T) {
	late := 0
	for seed := int64(1); seed <= 200; seed++ {
		for n, up := range map[int][]int{1: {0}, 3: {0, 1, 2}, 5: {0, 1, 2, 3, 4}} {
			w := recovered(n, seed, up...)
			from := w.now
			for w.leader() == nil && w.now.Sub(from) < 3*time.Second {
				w.step()
			}
			if w.now.Sub(from) > 250*time.Millisecond {
				late++
			}
			require.Less(t, w.now.Sub(from), 1500*time.Millisecond, "seed %d, %d voters", seed, n)
		}
	}
	require.Less(t, late, 20, "of 600")
}

func TestRecoveredVotersDoWithoutTheOneThatStandsFirst(t *testing.T) {
	for seed := int64(1); seed <= 100; seed++ {
		w := recovered(3, seed, 1, 2)
		from := w.now
		for w.leader() == nil && w.now.Sub(from) < 3*time.Second {
			w.step()
		}
		require.Less(t, w.now.Sub(from), 500*time.Millisecond, "seed %d", seed)
	}
}

func TestOneThatComesBackDisturbsNoLiveLeader(t *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		w := recovered(3, seed, 0, 1, 2)
		for w.leader() == nil {
			w.step()
		}
		lead := w.leader()
		for i := 0; i < 500; i++ {
			w.step()
		}
		for a, s := range w.all {
			if s == lead {
				continue
			}
			got := &Recovered{Term: s.term, Voted: s.voted, Snapshot: s.snapshot, Entries: s.log}
			w.all[a] = New(s.Self, nil, got, seed, w.now)
			break
		}
		term := lead.Term()
		for i := 0; i < 3000; i++ {
			w.step()
		}
		require.True(t, lead.Firm(), "seed %d", seed)
		require.Equal(t, term, lead.Term(), "seed %d", seed)
	}
}
