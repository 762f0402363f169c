package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/agreement"
	"sloeturn/ident"
	"sloeturn/wire"
)

type cluster struct {
	t     *testing.T
	now   ident.Moment
	all   map[string]*State
	dark  map[string]bool
	notes map[string][]string
}

func clusterOf3(t *testing.T) *cluster {
	w := &cluster{t: t, now: ident.Moment(1e12), all: map[string]*State{}, dark: map[string]bool{}, notes: map[string][]string{}}
	var addrs []ident.Addr
	for i := range 3 {
		addrs = append(addrs, ident.Addr(fmt.Sprintf("127.0.0.%d:1", i+1)))
	}
	for i, a := range addrs {
		name := ident.Member(fmt.Sprint("head", i))
		s, err := New(Boot{Member: name, Addr: a, Cell: "a", Incarnation: ident.Incarnation(i + 3), Seeds: addrs, Founders: addrs, Voter: ident.Voter(name + "/d"), Seed: int64(i)}, nil, w.now)
		require.NoError(t, err)
		w.all[string(a)] = s
	}
	w.ticks(5 * time.Second)
	require.NotNil(t, w.leader())
	return w
}

func (w *cluster) leader() *State {
	for _, s := range w.all {
		if s.leading() && !w.dark[string(s.Addr)] {
			return s
		}
	}
	return nil
}

func (w *cluster) ticks(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(20 * time.Millisecond) {
		for _, a := range ident.Keys(w.all) {
			w.step(a, Tick{})
		}
	}
}

func (w *cluster) step(a string, e any) {
	s := w.all[a]
	s.Step(w.now, e)
	s.Settle(w.now)
	for _, o := range s.Take() {
		switch o := o.(type) {
		case Note:
			w.notes[a] = append(w.notes[a], o.Text)
		case agreement.Persist:
			w.step(a, Synced{Seq: o.Seq})
		case wire.Send:
			if w.all[o.To] != nil && !w.dark[a] && !w.dark[o.To] {
				o.Frame.From, o.Frame.Addr = string(s.Member), a
				w.step(o.To, Got{o.Frame})
			}
		}
	}
}

func (w *cluster) said(a, text string) int {
	n := 0
	for _, v := range w.notes[a] {
		if strings.Contains(v, text) {
			n++
		}
	}
	return n
}

func TestALossOfTheMajorityIsSaidOnceWithItsSilentVotersAndItsEnd(t *testing.T) {
	w := clusterOf3(t)
	lead := string(w.leader().Addr)
	for _, a := range ident.Keys(w.all) {
		require.Equal(t, 1, w.said(a, "Learners: none."), w.notes[a])
		w.dark[a] = a != lead
	}
	require.Zero(t, w.all[lead].quorumFor(w.now))
	w.ticks(6 * time.Second)
	require.Equal(t, 1, w.said(lead, "No contact with a majority of voters"), w.notes[lead])
	require.Greater(t, w.all[lead].quorumFor(w.now), 4*time.Second)
	for a, s := range w.all {
		if a != lead {
			require.Equal(t, 1, w.said(lead, string(s.Member)+" at "+a), w.notes[lead])
			require.True(t, slices.ContainsFunc(w.notes[lead], func(v string) bool {
				_, silent, found := strings.Cut(v, "silent: ")
				return found && strings.Contains(silent, string(s.Member))
			}), w.notes[lead])
		}
	}
	for _, v := range w.all[lead].voterLines(w.now) {
		require.Equal(t, v.Address != lead, v.SilentMs > 4000, v)
	}
	w.dark = map[string]bool{}
	w.ticks(3 * time.Second)
	require.Equal(t, 1, w.said(lead, "A majority of voters is in contact again, after "), w.notes[lead])
	require.Zero(t, w.all[lead].quorumFor(w.now))
}

func TestTheLeaderTellsWhoLagsAndWhoIsSilent(t *testing.T) {
	w := clusterOf3(t)
	lead := w.leader()
	away := ""
	for _, a := range ident.Keys(w.all) {
		if a != string(lead.Addr) {
			away = a
		}
	}
	w.dark[away] = true
	w.ticks(2 * time.Second)
	for _, v := range lead.voterLines(w.now) {
		require.Equal(t, v.Address == string(lead.Addr), v.Leads, v)
		if v.Address == away {
			require.Greater(t, v.SilentMs, int64(1500), v)
			continue
		}
		require.Less(t, v.SilentMs, int64(200), v)
		require.Zero(t, v.Lag, v)
	}
	for a, s := range w.all {
		if s != lead {
			require.Empty(t, s.Agree.Report(w.now), a)
		}
	}
}
