package data

import (
	"slices"
	"strconv"

	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/relay"
	"sloeturn/wire"
)

// requestSeat requests a seat, the node's numbered share of each backend's capacity, if it has none. A seat
// that an earlier incarnation at this address holds is taken over.
func (s *State) requestSeat(controlAddrs []string, now ident.Moment) {
	s.updateSeat()
	if s.seat != nil || s.seatChangePending || s.seatRequestedAt != 0 && now.Sub(s.seatRequestedAt) < SeatRetryInterval || s.draining || !s.Relay.CoreFresh(now) || s.Relay.Core.SeatCount == 0 {
		return
	}
	s.seatChangePending, s.seatRequestedAt = true, now
	basis := uint64(0)
	for _, seat := range s.Relay.Core.Seats {
		if seat.Addr == string(s.Addr) {
			basis = seat.Incarnation
		}
	}
	s.Proposals.Submit(&wire.Change{Body: &wire.Change_SeatTake{SeatTake: &wire.SeatTake{Member: string(s.Member), Addr: string(s.Addr), Incarnation: uint64(s.Incarnation), Basis: basis, Heeds: true}}}, now.Add(SeatChangeTimeout), seatTag{}, controlAddrs, now)
}

// requestLeaseRestore requests the lease of this node's seat again after it was revoked, if the node's
// state is fresh.
func (s *State) requestLeaseRestore(controlAddrs []string, now ident.Moment) {
	revoked := s.Relay.Revoked()
	if revoked == nil || s.seat == nil || s.seatChangePending || s.seatRequestedAt != 0 && now.Sub(s.seatRequestedAt) < SeatRetryInterval || s.deregistered || now.Sub(s.Relay.CoreAsOf) > relay.StaleParentAge {
		return
	}
	s.seatChangePending, s.seatRequestedAt = true, now
	s.Proposals.Submit(&wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{Heeds: true, Seats: []*wire.SeatMark{{Seat: revoked.Seat, Member: revoked.Member, Incarnation: revoked.Incarnation, Kind: ledger.MarkRestore, Version: revoked.Version}}}}}, now.Add(SeatChangeTimeout), seatTag{}, controlAddrs, now)
}

// updateSeat finds this incarnation's seat in the replicated state.
func (s *State) updateSeat() {
	s.seat = nil
	for _, seat := range s.Relay.Core.GetSeats() {
		if seat.Addr == string(s.Addr) && seat.Incarnation == uint64(s.Incarnation) && seat.Member == string(s.Member) {
			s.seat = seat
		}
	}
}

// connectionLimits returns the slots that each lane may use at each service by this seat. A trial may only
// lower them.
func (s *State) connectionLimits() map[ledger.LaneKey]int {
	limits := map[ledger.LaneKey]int{}
	if s.seat == nil || s.deregistered || s.Relay.Desired == nil || !ledger.SeatWithinLimit(s.Relay.Core, s.seat) {
		return limits
	}
	for _, floor := range s.Relay.Core.Floors {
		limits[ledger.LaneKey{Lane: ident.Lane(floor.Lane), Service: ident.Service(floor.Service)}] = int(floor.Slots)
	}
	if s.trial != nil {
		trialSlots := ledger.LaneSlots(s.trial)
		for lot, slots := range limits {
			limits[lot] = min(slots, trialSlots[lot])
		}
	}
	return limits
}

// recordLimitChanges records each change of the connection limits as a decision.
func (s *State) recordLimitChanges(limits map[ledger.LaneKey]int) {
	for lot, slots := range limits {
		if s.currentLimits[lot] != slots {
			s.recordDecision(daemon.Decision{Decision: "fence", Lane: string(lot.Lane), Service: string(lot.Service), From: strconv.Itoa(s.currentLimits[lot]), To: strconv.Itoa(slots)})
		}
	}
	for lot, slots := range s.currentLimits {
		if _, ok := limits[lot]; !ok {
			s.recordDecision(daemon.Decision{Decision: "fence", Lane: string(lot.Lane), Service: string(lot.Service), From: strconv.Itoa(slots), To: "0"})
		}
	}
	s.currentLimits = limits
}

// reportConfirmation confirms which configuration this node has adopted, and whether its use has shrunk to
// the new limits, to the control plane; only if something changed.
func (s *State) reportConfirmation() {
	staged, shrunk := uint64(s.Relay.DocumentGeneration), uint64(0)
	if s.Relay.Core.Generation == staged && s.Pass.WithinLimits() {
		shrunk = staged
	}
	restores := s.Relay.Revoked().GetVersion()
	reported := s.Relay.ConfirmOf(string(s.Member))
	if reported != nil && reported.Incarnation == uint64(s.Incarnation) && reported.Staged >= staged && reported.Shrunk >= shrunk && reported.Restores >= restores && reported.Turn == s.demandSequence {
		return
	}
	s.Relay.RecordConfirm(&wire.Confirm{Member: string(s.Member), Incarnation: uint64(s.Incarnation), Staged: staged, Shrunk: shrunk, Turn: s.demandSequence, Wants: s.reportedDemand, Restores: restores})
}

// reportDemand reports the smoothed demand for each service to the control plane.
func (s *State) reportDemand(now ident.Moment) {
	if now.Sub(s.demandReportedAt) < DemandReportInterval {
		return
	}
	s.demandReportedAt = now
	var demands []*wire.Want
	for _, service := range s.Desired().ServiceNames() {
		demand := 0.7*s.smoothedDemand[service] + 0.3*s.Pass.TakeDemand(service)
		s.smoothedDemand[service] = demand
		if slots := uint32(4 * demand); slots > 0 {
			demands = append(demands, &wire.Want{Service: string(service), Slots: slots})
		}
	}
	same := func(a, b *wire.Want) bool { return a.Service == b.Service && a.Slots == b.Slots }
	if !slices.EqualFunc(demands, s.reportedDemand, same) {
		s.demandSequence++
		s.reportedDemand = demands
	}
	s.reportConfirmation()
}
