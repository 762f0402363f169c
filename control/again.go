package control

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

// MaxPendingChanges bounds the changes that wait for a decision. A change beyond it gets no answer; its
// sender retries.
const MaxPendingChanges = 256

// enqueueChange queues a change, once however often it is sent.
func (s *State) enqueueChange(request changeRequest) {
	same := func(o changeRequest) bool { return o.requester == request.requester }
	if len(s.pendingChanges) < MaxPendingChanges && !slices.ContainsFunc(s.pendingChanges, same) {
		s.pendingChanges = append(s.pendingChanges, request)
	}
}

// answerRepeated answers a change that was taken before with its outcome at that time; nothing is
// applied a second time.
func (s *State) answerRepeated(request changeRequest, taken *ledger.ChangeRecord) {
	switch {
	case taken.ConflictsWith(request.set.Sum):
		s.refuse(request, desired.Fault{Path: "", Text: "this change id names another change, taken as generation " + jsonNumber(taken.Generation).String()})
	case taken.Kind == ledger.KindHeld:
		reply := s.heldReply(taken.QueuePosition)
		if s.Ledger.HeldChangeAt(taken.QueuePosition) == nil {
			reply.Edition, reply.Regions, reply.UntilMs = taken.Edition, nil, 0
		}
		s.reply(request.requester, reply)
	case taken.Kind == ledger.KindHeldRemoved:
		s.reply(request.requester, &wire.ProposeReply{Generation: taken.Generation, Edition: taken.Edition, Tail: s.Ledger.BasisTail(), Place: taken.QueuePosition})
	default:
		s.replyOnceInEffect(effectWaiter{ident.Generation(taken.Generation), request.requester})
	}
}

// refuseOnceConfirmed refuses a change only once a majority has confirmed this leader after the change
// came: an isolated leader may not know of changes that another leader took meanwhile.
func (s *State) refuseOnceConfirmed(request changeRequest, note string, reply *wire.ProposeReply) {
	if at, ok := s.Agreement.QuorumContact(); !ok || at.Before(request.receivedAt) {
		if !slices.ContainsFunc(s.pendingRefusals, func(o changeRequest) bool { return o.requester == request.requester }) {
			s.pendingRefusals = append(s.pendingRefusals, request)
		}
		return
	}
	s.recordDecision(daemon.Decision{Decision: "refused change", Note: note})
	s.reply(request.requester, reply)
}

// retryRefusals puts changes that were about to be refused back into the queue, to be decided anew,
// once a majority has confirmed this leader after they came.
func (s *State) retryRefusals() {
	at, ok := s.Agreement.QuorumContact()
	if !ok {
		return
	}
	remaining := s.pendingRefusals[:0]
	for _, request := range s.pendingRefusals {
		if at.Before(request.receivedAt) {
			remaining = append(remaining, request)
		} else {
			s.pendingChanges = append(s.pendingChanges, request)
		}
	}
	s.pendingRefusals = remaining
}

// contentSum binds a change id to the content that was sent under it; the basis is not part of it.
func contentSum(set *wire.SetDesired) uint64 {
	head := strings.Join(append([]string{jsonNumber(set.TakeOut).String(), map[bool]string{true: "merge"}[set.Merge], map[bool]string{true: "withdraw"}[set.Withdraw]}, set.Only...), " ")
	sum := sha256.Sum256(append([]byte(head+"\n"), set.Doc...))
	return max(1, binary.LittleEndian.Uint64(sum[:]))
}
