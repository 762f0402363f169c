package agreement

import (
	"fmt"
	"time"

	"sloeturn/wire"
)

func (w *world) take(mv move) {
	if w.bad != "" {
		return
	}
	w.n++
	a, b := mv.A, mv.B
	m := w.seats[a%len(w.seats)]
	up := m.s != nil
	switch mv.Kind {
	case deliver:
		if len(w.bag) > 0 {
			k := a % len(w.bag)
			l := w.bag[k]
			w.bag = append(append([]letter(nil), w.bag[:k]...), w.bag[k+1:]...)
			w.hand(l)
		}
	case again:
		list := w.past
		if b%2 == 1 {
			list = w.outdated(b%4 == 3)
		}
		if len(list) > 0 {
			w.hand(list[(a+b/2*256)%len(list)])
		}
	case pump:
		var rest, mine []letter
		for _, l := range w.bag {
			if l.to == m.at {
				mine = append(mine, l)
			} else {
				rest = append(rest, l)
			}
		}
		w.bag = rest
		for _, l := range mine {
			w.hand(l)
		}
	case lose:
		if b%4 == 0 {
			w.bag = nil
		} else if len(w.bag) > 0 {
			k := a % len(w.bag)
			w.bag = append(append([]letter(nil), w.bag[:k]...), w.bag[k+1:]...)
		}
	case tick:
		if up {
			w.pass(m, spans[b%len(spans)])
			m.s.Tick(m.local)
			w.settle(m)
		}
	case timeout:
		if up {
			if m.s.role == Leader {
				w.pass(m, BeatEvery)
			} else {
				w.pass(m, max(0, m.s.electAt.Sub(m.local))+time.Microsecond)
			}
			m.s.Tick(m.local)
			w.settle(m)
		}
	case sync:
		if up {
			w.flushed(m, 1+b%3)
		}
	case kill:
		if up {
			w.fell(m, b/2%(unsynced(m)+1))
			w.count["kills"]++
			if b%2 == 0 {
				w.boot(m, int64(b))
			}
		}
	case start:
		if !up && m.life > 0 {
			w.boot(m, int64(b))
		}
	case wipe:
		if m.life > 0 && w.spareable(m) {
			w.wipeOut(m)
			w.boot(m, int64(b))
			w.count["wipes"]++
		}
	case cutOff:
		o := b / 4 % len(w.seats)
		for k := range w.seats {
			if b%4 == 3 && k != o {
				continue
			}
			if b%4 != 0 {
				w.cut[[2]int{m.at, k}] = true
			}
			if b%4 != 1 {
				w.cut[[2]int{k, m.at}] = true
			}
		}
	case heal:
		w.cut = map[[2]int]bool{}
	case propose:
		if l := w.leaderSeat(a); l != nil {
			w.offer(l)
		}
	case compact:
		if up && m.s.role != Blank {
			m.s.Compact(true)
			w.count["compactions"]++
			w.settle(m)
		}
	case resign:
		if l := w.leaderSeat(a); l != nil {
			l.s.Resign(l.local)
			w.settle(l)
		}
	case refuse:
		if up {
			m.disk.refuse = !m.disk.refuse
			w.pass(m, 0)
			m.s.Disk(m.disk.refuse, m.local)
			w.settle(m)
		}
	case spare:
		if m.life == 0 {
			w.boot(m, int64(b))
		}
	case leave:
		if up {
			m.s.Leaving = !m.s.Leaving
		}
	case regroup:
		if l := w.leaderSeat(a); l != nil {
			w.pass(l, 0)
			w.regroup(l.s, b)
			w.settle(l)
		}
	case wallStep:
		m.wall += int64(b-128) * 1000
	case calm:
		w.calm(5 + b%60)
	case elect:
		if up {
			w.elect(m, b)
		}
	case talk:
		w.talk(m, w.seats[b%len(w.seats)], 1+b/16%8)
	}
}

// talk hands on the oldest letters between two, and nothing to others; their disks are quick.
func (w *world) talk(m, o *seat, letters int) {
	for ; letters > 0; letters-- {
		for k, l := range w.bag {
			if l.frame.GetFounding() == nil && (l.from == m.at && l.to == o.at || l.from == o.at && l.to == m.at) {
				w.bag = append(append([]letter(nil), w.bag[:k]...), w.bag[k+1:]...)
				w.hand(l)
				if to := w.seats[l.to]; to.s != nil {
					w.flushed(to, 99)
				}
				break
			}
		}
	}
}

// outdated gives the letters of the past whose term is behind their receiver's; acknowledgements to leaders alone if so asked.
func (w *world) outdated(acks bool) (out []letter) {
	for _, l := range w.past {
		term := uint64(1 << 62)
		switch b := l.frame.Body.(type) {
		case *wire.Frame_Append:
			term = b.Append.Term
		case *wire.Frame_AppendReply:
			term = b.AppendReply.Term
		case *wire.Frame_Snapshot:
			term = b.Snapshot.Term
		case *wire.Frame_SnapshotReply:
			term = b.SnapshotReply.Term
		case *wire.Frame_VoteReply:
			term = b.VoteReply.Term
		}
		a := l.frame.GetAppendReply()
		if s := w.seats[l.to].s; s != nil && term < s.term && (!acks || s.role == Leader && a.GetOk() && a.GetMatch() > s.commit) {
			out = append(out, l)
		}
	}
	return
}

// elect lets one stand before some others; nothing but votes goes between them.
func (w *world) elect(m *seat, among int) {
	in := func(i int) bool { return i == m.at || among>>(i%8)&1 == 1 }
	for _, o := range w.seats {
		if o.s != nil && in(o.at) && o.s.role != Leader {
			w.pass(o, ElectLeast+time.Millisecond)
		}
	}
	if m.s.role == Leader {
		w.pass(m, QuorumLost+time.Millisecond)
		m.s.Tick(m.local)
		w.settle(m)
	}
	w.pass(m, max(0, m.s.electAt.Sub(m.local))+time.Microsecond)
	m.s.Tick(m.local)
	w.settle(m)
	for round := 0; round < 5; round++ {
		list := w.bag
		w.bag = nil
		for _, l := range list {
			if (l.frame.GetVote() != nil || l.frame.GetVoteReply() != nil) && in(l.from) && in(l.to) {
				w.hand(l)
			} else {
				w.bag = append(w.bag, l)
			}
		}
		for _, o := range w.seats {
			if o.s != nil && in(o.at) {
				w.flushed(o, 99)
			}
		}
	}
}

func (w *world) offer(m *seat) {
	w.pass(m, 0)
	w.offered++
	m.s.Propose(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{ChangeId: fmt.Sprint("c", w.offered)}}}, m.local)
	w.settle(m)
}

func (w *world) wipeOut(m *seat) {
	w.wiped[m.id()] = true
	if !w.weak.sameId {
		m.age++
	}
	m.disk = disk{}
	m.s, m.top = nil, 0
}

// regroup makes or ends a voter as the leader's own repair would, at any time that its guards allow.
func (w *world) regroup(s *State, b int) {
	r, at := s.rosterAt()
	if at > s.commit && !w.weak.manyRosters || !s.Firm() && !w.weak.rosterUnfirm || s.role != Leader || len(r.Voters) == 0 {
		return
	}
	v := r.Voters[b%len(r.Voters)]
	if v.Learner {
		s.change(r, func(x *wire.Voter) *wire.Voter {
			if x.Id == v.Id {
				return &wire.Voter{Id: x.Id, Addr: x.Addr, Member: x.Member}
			}
			return x
		}, nil)
		return
	}
	if v.Id != string(s.Self.Voter) && len(Voters(r)) > 1 {
		s.change(r, func(x *wire.Voter) *wire.Voter {
			if x.Id == v.Id {
				return nil
			}
			return x
		}, nil)
	}
}

func (w *world) calm(rounds int) {
	for ; rounds > 0 && w.bad == ""; rounds-- {
		for _, m := range w.seats {
			if m.s == nil {
				continue
			}
			w.pass(m, 20*time.Millisecond)
			m.s.Tick(m.local)
			w.settle(m)
			w.flushed(m, 99)
		}
		list := w.bag
		w.bag = nil
		for _, l := range list {
			w.hand(l)
		}
	}
}

func (w *world) run(list []move) string {
	for _, m := range list {
		w.take(m)
	}
	return w.bad
}

const ownPackage = "sloeturn/agreement"
