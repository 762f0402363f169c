package control

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"sloeturn/desired"
	"sloeturn/duty"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

// QueueMost bounds the orders that wait for a decision; one beyond it gets no answer and is sent again.
const QueueMost = 256

func (s *State) enqueue(q desiredAsk) {
	same := func(o desiredAsk) bool { return o.asker == q.asker }
	if len(s.queue) < QueueMost && !slices.ContainsFunc(s.queue, same) {
		s.queue = append(s.queue, q)
	}
}

// again answers an order that was taken before with what it was then; nothing is applied a second time.
func (s *State) again(q desiredAsk, k *ledger.Key) {
	switch {
	case k.Other(q.set.Sum):
		s.refuse(q, desired.Fault{Path: "", Text: "this change id names another change, taken as generation " + number(k.Generation).String()})
	case k.Kind == ledger.HeldBack:
		r := s.heldReply(k.Place)
		if s.Book.ByPlace(k.Place) == nil {
			r.Edition, r.Regions, r.UntilMs = k.Edition, nil, 0
		}
		s.reply(q.asker, r)
	case k.Kind == ledger.TookOut:
		s.reply(q.asker, &wire.ProposeReply{Generation: k.Generation, Edition: k.Edition, Tail: s.Book.Stands(), Place: k.Place})
	default:
		s.inForce(force{ident.Generation(k.Generation), q.asker})
	}
}

// refuseWith refuses only once a majority was heard after the order came: a leader that is cut off without knowing it may not have what another one took meanwhile.
func (s *State) refuseWith(q desiredAsk, note string, r *wire.ProposeReply) {
	if at, ok := s.Agree.AsOf(); !ok || at.Before(q.at) {
		if !slices.ContainsFunc(s.unsure, func(o desiredAsk) bool { return o.asker == q.asker }) {
			s.unsure = append(s.unsure, q)
		}
		return
	}
	s.decide(duty.Decision{Decision: "refused change", Note: note})
	s.reply(q.asker, r)
}

// sure puts orders that were about to be refused back into the queue, to be decided on anew, once a majority was heard after them.
func (s *State) sure() {
	at, ok := s.Agree.AsOf()
	if !ok {
		return
	}
	keep := s.unsure[:0]
	for _, q := range s.unsure {
		if at.Before(q.at) {
			keep = append(keep, q)
		} else {
			s.queue = append(s.queue, q)
		}
	}
	s.unsure = keep
}

// sumOf binds a change id to what was sent under it, the basis aside.
func sumOf(c *wire.SetDesired) uint64 {
	head := strings.Join(append([]string{number(c.TakeOut).String(), map[bool]string{true: "merge"}[c.Merge], map[bool]string{true: "withdraw"}[c.Withdraw]}, c.Only...), " ")
	sum := sha256.Sum256(append([]byte(head+"\n"), c.Doc...))
	return max(1, binary.LittleEndian.Uint64(sum[:]))
}
