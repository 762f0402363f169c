package agreement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateOften is how often each kind of move comes in worlds with a late founder: elections, changes of the
// roster and talk between two, rather than the noise of founding.
var lateOften = map[kind]int{deliver: 10, pump: 6, lose: 4, tick: 3, timeout: 4, sync: 8, kill: 3, start: 3, cutOff: 1, heal: 2, propose: 6, compact: 2, regroup: 10, elect: 24, talk: 24}

var lateDealt = deal(lateOften)

var lateMoves = movesOf(lateDealt)

// rounds lets some members tick, again and again, and hands on the letters that pass a filter; all
// others are lost. Disks are quick.
func (w *world) rounds(count int, ticks func(m *seat) bool, passes func(l letter) bool) {
	for ; count > 0 && w.bad == ""; count-- {
		for _, m := range w.seats[:w.size] {
			if m.s == nil {
				continue
			}
			w.pass(m, 20*time.Millisecond)
			if ticks(m) {
				m.s.Tick(m.local)
			}
			w.settle(m)
			w.flushed(m, 99)
		}
		list := w.bag
		w.bag = nil
		for _, l := range list {
			if l.to < w.size && passes(l) {
				w.hand(l)
				w.flushed(w.seats[l.to], 99)
			}
		}
	}
}

func allTick(*seat) bool { return true }

func allPass(letter) bool { return true }

func onlyTicks(members ...int) func(*seat) bool {
	in := setOf(members)
	return func(m *seat) bool { return in[m.at] }
}

// among passes the letters between some members.
func among(members ...int) func(letter) bool {
	in := setOf(members)
	return func(l letter) bool { return in[l.from] && in[l.to] }
}

func setOf(members []int) map[int]bool {
	in := map[int]bool{}
	for _, i := range members {
		in[i] = true
	}
	return in
}

// but lists all members of the founding size except some.
func (w *world) but(members ...int) (out []int) {
	in := setOf(members)
	for i := range w.size {
		if !in[i] {
			out = append(out, i)
		}
	}
	return out
}

// leads has a member elected by some others, and lets it confirm its first entry with them.
func (w *world) leads(leader int, voters []int) bool {
	m := w.seats[leader]
	for i := 0; i < 400 && !(m.s.role == Leader && m.s.Firm() && m.s.commit == m.s.last()) && w.bad == ""; i++ {
		w.rounds(1, onlyTicks(leader), among(voters...))
	}
	return m.s.role == Leader && m.s.Firm()
}

// asksTheLate has a leader remove a voter, which nobody hears of, and stand again: its request for a
// vote reaches the late founder, which is blank, and nobody else.
func (w *world) asksTheLate(leader, removed, late int) bool {
	if !w.leads(leader, w.but(late)) {
		return false
	}
	m := w.seats[leader]
	m.s.remove(m.s.Roster(), w.seats[removed].id())
	w.settle(m)
	w.flushed(m, 99)
	w.bag = nil
	w.rounds(200, onlyTicks(leader), func(l letter) bool {
		return l.frame.GetVote() != nil && l.from == leader && l.to == late
	})
	w.bag = nil
	return true
}

// newAskedWorld gives a fleet whose late founder was asked for its vote by a leader that had removed
// another voter, unheard.
func newAskedWorld(late, n, batch int, out weak) *world {
	w := newLateWorld(late, n, batch, out)
	late %= n
	if n > 2 {
		w.asksTheLate((late+1)%n, (late+2)%n, late)
	}
	return w
}

// Guards against a fleet that splits: a late founder that started from a roster that was overwritten
// leads, and changes one voter of it, which are two of the committed one.
func TestALateFounderStartsFromNoUncommittedRoster(t *testing.T) {
	const first, rival, stays, late, removed = 0, 1, 2, 3, 4
	w := newLateWorld(late, 5, 0, weak{})
	require.True(t, w.asksTheLate(rival, removed, late))
	founded := ids(w.seats[first].s.snapshot.Roster)
	require.Equal(t, founded, ids(w.seats[late].s.Roster()), "the roster that nobody else heard of")
	require.True(t, w.leads(first, []int{first, stays, removed, late}), "its leader overwrites the removal")
	w.rounds(60, onlyTicks(first), among(first, stays, removed, late))
	m := w.seats[late]
	require.Equal(t, w.seats[first].s.commit, m.s.commit)
	w.rounds(600, onlyTicks(late), allPass)
	require.Equal(t, Leader, m.s.role)
	m.s.remove(m.s.Roster(), w.seats[stays].id())
	w.settle(m)
	commit := m.s.commit
	w.rounds(40, onlyTicks(late), among(late, rival))
	require.Equal(t, commit, m.s.commit, "two of the four that are left commit nothing")
	w.rounds(400, onlyTicks(first, stays, removed), among(first, stays, removed))
	require.Empty(t, w.bad)
	require.Greater(t, w.seats[first].s.commit, commit, "the other three, of five, go on")
	w.rounds(400, allTick, allPass)
	require.Empty(t, w.bad)
	for _, i := range w.but(late) {
		require.Equal(t, m.s.commit, w.seats[i].s.commit)
	}
}
