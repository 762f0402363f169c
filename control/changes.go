package control

import (
	"fmt"
	"strings"

	"sloeturn/agreement"
	"sloeturn/calendar"
	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

// propose takes a change for the replicated log; a process that is not an established leader answers
// with the leader's address.
func (s *State) propose(from requester, change *wire.Change, now ident.Moment) {
	if s.Agreement == nil || !s.Agreement.AcceptsProposals(now) {
		leader := s.leaderAddr()
		if leader == string(s.Addr) {
			leader = ""
		}
		s.reply(from, &wire.ProposeReply{Code: uint32(ledger.NotLeader), LeaderAddr: leader})
		return
	}
	if set := change.GetSetDesired(); set != nil {
		s.enqueueChange(changeRequest{from, set, now})
		s.processChanges(now)
		return
	}
	switch c := change.GetBody().(type) {
	case *wire.Change_HoldBack, *wire.Change_TakeOut, *wire.Change_PeriodTurn, *wire.Change_Land:
		s.reply(from, &wire.ProposeReply{Code: uint32(ledger.Invalid)})
		return
	case *wire.Change_Noop:
		s.reply(from, &wire.ProposeReply{Code: uint32(s.requestRestore(c.Noop))})
		return
	}
	if s.proposed[from] {
		return
	}
	if index, ok := s.Agreement.Propose(change, now); ok {
		s.proposers[index] = from
		s.proposed[from] = true
	}
}

// processChanges decides on the queued changes one by one; each waits until the one before is applied.
func (s *State) processChanges(now ident.Moment) {
	s.retryRefusals()
	for len(s.pendingChanges) > 0 && uint64(s.Ledger.Index) >= s.lastChangeIndex && s.Agreement.AcceptsProposals(now) && s.advancePeriods(now) {
		request := s.pendingChanges[0]
		s.pendingChanges = s.pendingChanges[1:]
		s.decideChange(request, now)
	}
}

// decideChange proposes, holds or refuses a requested change of the configuration, after checking its
// id, its basis and its content.
func (s *State) decideChange(request changeRequest, now ident.Moment) {
	if taken := s.Ledger.ChangeRecordOf(request.set.ChangeId); taken != nil {
		s.answerRepeated(request, taken)
		return
	}
	edition, tail := s.Ledger.LatestEdition(), s.Ledger.BasisTail()
	if !request.set.ByEdition && (request.set.Basis != uint64(s.Ledger.Generation) || request.set.Tail != tail) || request.set.ByEdition && request.set.Basis != edition {
		s.refuseOnceConfirmed(request, "another change came first: "+request.set.ChangeId, &wire.ProposeReply{Code: uint32(ledger.Stale), Generation: uint64(s.Ledger.Generation), Edition: edition, Tail: tail})
		return
	}
	if request.set.TakeOut != 0 {
		s.withdrawHeld(request, now)
		return
	}
	var tree any = map[string]any{}
	var faults []desired.Fault
	if !request.set.Withdraw {
		tree, faults = desired.ReadTree(request.set.Doc)
	}
	if len(request.set.Only) > 0 && s.Ledger.Generation == 0 {
		faults = append(faults, desired.Fault{Path: "", Text: "no desired state is set that a trial could stand beside"})
	}
	if len(faults) == 0 && request.set.Merge {
		tree = desired.Merge(s.queueEndTree(), tree)
	}
	if len(faults) == 0 && request.set.KeepCalendar {
		tree = s.withCalendar(tree)
	}
	doc := desired.Write(tree)
	var config *desired.State
	if len(faults) == 0 && !request.set.Withdraw {
		if config, faults = desired.Read(doc); len(faults) == 0 {
			faults = append(config.CheckEdition(max(edition, s.Ledger.HighestHeldEdition)), s.checkCalendar(config, request.set.TodayMs)...)
		}
	}
	busy := len(s.Ledger.HeldChanges) > 0 || len(s.Ledger.RegionsInBlackout()) > 0
	if trial := len(request.set.Only) > 0 || request.set.Withdraw; len(faults) == 0 && busy && trial {
		var docs [][]byte
		if len(request.set.Only) > 0 {
			docs = append(docs, doc)
		}
		if s.Ledger.Trial != nil {
			docs = append(docs, s.Ledger.Trial.Doc)
		}
		faults = s.trialFaults(docs...)
	}
	if len(faults) > 0 {
		s.refuse(request, faults...)
		return
	}
	if busy && len(request.set.Only) == 0 && !request.set.Withdraw {
		s.placeChange(request, tree, config, now)
		return
	}
	s.proposeChange(request, &wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(s.Ledger.Generation), ChangeId: request.set.ChangeId, Doc: doc, Author: request.set.Author, Only: request.set.Only, Withdraw: request.set.Withdraw, Turn: s.Ledger.QueueVersion, Sum: request.set.Sum}}}, now)
}

// checkCalendar checks the calendar of a configuration against the wall clock of the process that
// received the change.
func (s *State) checkCalendar(config *desired.State, today int64) []desired.Fault {
	cal, faults := s.calendarOf(config)
	if cal == nil || len(faults) > 0 || today == 0 {
		return faults
	}
	before, _ := desired.Read(desired.Write(s.queueEndTree()))
	former := (*calendar.Calendar)(nil)
	if before != nil && len(before.Blackouts) > 0 {
		former, _ = calendar.Read(before)
	}
	return cal.CheckPast(former, today)
}

// abandonOverdue tells requesters to go on to another control process if this one has heard nothing
// from a leader in the meantime.
func (s *State) abandonOverdue(now ident.Moment) {
	age := now.Sub(s.Relay.CoreAsOf)
	if !s.Relay.CoreKnown || age < LeaderSilenceLimit {
		return
	}
	for _, token := range ident.SortedKeys(s.localChanges) {
		if waited := now.Sub(s.localChanges[token]); waited >= LeaderSilenceLimit || waited >= IsolatedChangeWait && age >= IsolatedAfter {
			delete(s.localChanges, token)
			s.output = append(s.output, ChangeResult{token, &wire.ProposeReply{Code: uint32(ledger.Lost)}})
		}
	}
}

// replyOnceInEffect answers a request now if its generation is in effect, and otherwise once it is.
func (s *State) replyOnceInEffect(waiter effectWaiter) {
	if s.Ledger.EffectiveGeneration >= waiter.generation {
		s.reply(waiter.requester, &wire.ProposeReply{Code: uint32(ledger.Done), Generation: uint64(waiter.generation), Edition: s.Ledger.EditionOf(waiter.generation), Tail: s.Ledger.BasisTail()})
		return
	}
	s.effectWaiters = append(s.effectWaiters, waiter)
}

func (s *State) reply(from requester, r *wire.ProposeReply) {
	r.Token = from.token
	s.send(from.address, &wire.Frame{Body: &wire.Frame_ProposeReply{ProposeReply: r}})
}

// applyEntry applies a committed log entry and answers whoever proposed it here as leader.
func (s *State) applyEntry(entry *wire.Entry, now ident.Moment) {
	result := s.Ledger.Apply(entry)
	s.recordEntry(entry, result)
	from, ok := s.proposers[entry.Index]
	delete(s.proposers, entry.Index)
	delete(s.proposed, from)
	if ok && s.Agreement.Role() == agreement.Leader && entry.Term == uint64(s.Agreement.Term()) {
		if (entry.Change.GetSetDesired() != nil || entry.Change.GetHoldBack() != nil) && result.Code == ledger.Done {
			s.replyOnceInEffect(effectWaiter{result.Generation, from})
		} else if result.Code == ledger.Held {
			s.reply(from, s.heldReply(result.QueuePosition))
		} else {
			reply := &wire.ProposeReply{Code: uint32(result.Code), Generation: uint64(result.Generation), Edition: s.Ledger.EditionOf(result.Generation), Seat: uint32(result.Seat), Visit: string(result.RequestID), Status: result.Status, Place: result.QueuePosition, Tail: s.Ledger.BasisTail()}
			s.reply(from, reply)
		}
	}
	if entry.Change.GetMark() != nil {
		remaining := s.effectWaiters[:0]
		for _, waiter := range s.effectWaiters {
			if s.Ledger.EffectiveGeneration >= waiter.generation {
				s.replyOnceInEffect(waiter)
			} else {
				remaining = append(remaining, waiter)
			}
		}
		s.effectWaiters = remaining
	}
	s.trackGenerations(now)
	s.trackLeases(entry, now)
}

// recordEntry adds a log entry's effect to the decisions that operators read.
func (s *State) recordEntry(entry *wire.Entry, result ledger.Result) {
	decision := daemon.Decision{Index: entry.Index, Note: result.Code.String()}
	seat := int(result.Seat)
	switch c := entry.Change.GetBody().(type) {
	case *wire.Change_SetDesired:
		if decision.Decision = "desired"; len(c.SetDesired.Only) > 0 || c.SetDesired.Withdraw {
			decision.Decision = "trial"
		}
		decision.Note, decision.Member = decision.Note+" "+c.SetDesired.ChangeId, strings.Join(c.SetDesired.Only, " ")
	case *wire.Change_Mark:
		decision.Decision, decision.Note = "mark", fmt.Sprintf("in force %d, grown %d", s.Ledger.EffectiveGeneration, s.Ledger.ExpandedGeneration)
	case *wire.Change_Noop:
		s.recordLeaseEntry(c.Noop)
		return
	case *wire.Change_SeatTake:
		decision.Decision, decision.Member, decision.Seat = "seat taken", c.SeatTake.Member, &seat
	case *wire.Change_SeatFree:
		seat = int(c.SeatFree.Seat)
		decision.Decision, decision.Member, decision.Seat, decision.Note = "seat freed", c.SeatFree.Member, &seat, decision.Note+" "+c.SeatFree.Reason
	case *wire.Change_CellHold:
		decision.Decision, decision.Member, decision.Cell = "holder", c.CellHold.Holder, c.CellHold.Cell
	case *wire.Change_Roster:
		decision.Decision, decision.Note = "roster", fmt.Sprintf("%d voters of %d", len(agreement.Voters(c.Roster)), len(c.Roster.Voters))
	default:
		s.recordHeldEntry(entry, result)
		return
	}
	s.recordDecision(decision)
}
