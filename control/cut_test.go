package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

const hop = 5 * time.Millisecond

type letter struct {
	at ident.Moment
	wire.Send
}

type trio struct {
	t     *testing.T
	now   ident.Moment
	all   map[string]*State
	cut   map[string]bool
	post  []letter
	token uint64
	heard map[uint64]*wire.ProposeReply
	at    map[uint64]ident.Moment
	notes map[string][]string
}

func three(t *testing.T) *trio {
	w := &trio{t: t, now: ident.Moment(1e12), all: map[string]*State{}, cut: map[string]bool{}, heard: map[uint64]*wire.ProposeReply{}, at: map[uint64]ident.Moment{}, notes: map[string][]string{}}
	var addrs []ident.Addr
	for i := range 3 {
		addrs = append(addrs, ident.Addr(fmt.Sprintf("127.0.0.%d:1", i+1)))
	}
	for i, a := range addrs {
		name := fmt.Sprint("head-", i)
		s, err := New(Boot{Member: ident.Member(name), Addr: a, HTTP: "x," + string(a), Cell: "a", Incarnation: ident.Incarnation(i + 3), Seeds: addrs, Founders: addrs, Voter: ident.Voter(name + "/d"), Seed: int64(i)}, nil, w.now)
		require.NoError(t, err)
		w.all[string(a)] = s
	}
	w.run(4 * time.Second)
	require.NotNil(t, w.leader())
	return w
}

func (w *trio) step(s *State, e any) {
	s.Step(w.now, e)
	s.Settle(w.now)
	for _, e := range s.Take() {
		switch e := e.(type) {
		case agreement.Persist:
			w.step(s, Synced{Seq: e.Seq})
		case wire.Send:
			f := proto.Clone(e.Frame).(*wire.Frame)
			f.From, f.Addr, f.Incarnation = string(s.Member), string(s.Addr), uint64(s.Incarnation)
			if e.To == f.Addr || !w.cut[e.To] && !w.cut[f.Addr] {
				w.post = append(w.post, letter{w.now.Add(hop), wire.Send{To: e.To, Frame: f}})
			}
		case Note:
			w.notes[string(s.Addr)] = append(w.notes[string(s.Addr)], e.Text)
		case Changed:
			if w.heard[e.Token] == nil {
				w.heard[e.Token], w.at[e.Token] = e.Reply, w.now
			}
		}
	}
}

func (w *trio) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(hop) {
		list := w.post
		w.post = nil
		for _, m := range list {
			if s := w.all[m.To]; s != nil {
				w.step(s, Got{m.Frame})
			}
		}
		for _, a := range ident.Keys(w.all) {
			w.step(w.all[a], Tick{})
		}
	}
}

func (w *trio) leader() *State {
	for _, a := range ident.Keys(w.all) {
		if s := w.all[a]; s.leading() && !w.cut[a] {
			return s
		}
	}
	return nil
}

func (w *trio) order(s *State, basis uint64, n int) uint64 {
	w.token++
	w.step(s, Change{Token: w.token, Change: &wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{ChangeId: fmt.Sprint("c", w.token), Basis: basis, Doc: edition(n)}}}, Wait: 8 * time.Second})
	return w.token
}

func (w *trio) says(k uint64) string {
	if w.heard[k] == nil {
		return "nothing"
	}
	return ledger.Code(w.heard[k].Code).String()
}

func TestALeaderThatIsCutOffNeitherRefusesNorConfirmsAnOrderNorIsRead(t *testing.T) {
	for wait := time.Duration(0); wait < 1500*time.Millisecond; wait += 100 * time.Millisecond {
		w := three(t)
		old := w.leader()
		k := w.order(old, 0, 1)
		w.run(time.Second)
		require.Equal(t, "done", w.says(k))
		require.True(t, old.Read(0, false, w.now.Add(-200*time.Millisecond), w.now).OK)
		w.cut[string(old.Addr)] = true
		w.run(wait)
		at := w.now
		late, right := w.order(old, 7, 2), w.order(old, 1, 2)
		for range 200 {
			w.run(hop)
			f := old.Read(0, false, at, w.now)
			require.False(t, f.OK, "read %v after it was cut off", wait)
		}
		for _, k := range []uint64{late, right} {
			require.Equal(t, "lost", w.says(k), "asked %v after it was cut off", wait)
			require.LessOrEqual(t, w.at[k].Sub(at), SilentWait+SilentWait/2)
		}
		w.run(time.Second)
		n := w.leader()
		require.NotNil(t, n)
		k = w.order(n, 1, 3)
		w.run(time.Second)
		require.Equal(t, "done", w.says(k))
		w.cut = map[string]bool{}
		w.run(2 * time.Second)
		require.Equal(t, w.leader().Book.Generation, old.Book.Generation)
	}
}

func TestARefusalComesSoonWhereTheLeaderIsInTouch(t *testing.T) {
	w := three(t)
	for a, s := range w.all {
		k := w.order(s, 9, 1)
		at := w.now
		w.run(300 * time.Millisecond)
		require.Equal(t, "stale", w.says(k), a)
		require.Less(t, w.at[k].Sub(at), 120*time.Millisecond)
	}
}

func TestAControlProcessThatIsCutOffSendsOrdersAndReadsOn(t *testing.T) {
	w := three(t)
	var s *State
	for _, k := range w.all {
		if !k.leading() {
			s = k
		}
	}
	require.NotEmpty(t, s.Read(0, false, w.now, w.now).Lead)
	w.cut[string(s.Addr)] = true
	w.run(100 * time.Millisecond)
	k, at := w.order(s, 0, 1), w.now
	w.run(time.Second)
	require.Equal(t, "lost", w.says(k))
	require.Less(t, w.at[k].Sub(at), time.Second)
	w.run(CutOffFor)
	require.Equal(t, Found{}, s.Read(0, false, w.now, w.now))
	k, at = w.order(s, 0, 1), w.now
	w.run(time.Second)
	require.Equal(t, "lost", w.says(k))
	require.LessOrEqual(t, w.at[k].Sub(at), CutOffWait+2*hop)
}

func TestALeaverSaysOnceThatItSignedOff(t *testing.T) {
	w := three(t)
	s := w.leader()
	a := string(s.Addr)
	w.step(s, Drain{})
	w.run(6 * time.Second)
	n := 0
	for _, v := range w.notes[a] {
		if v == "Signed off." {
			n++
		}
	}
	require.Equal(t, 1, n)
}
