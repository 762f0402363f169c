package data

import (
	"time"

	"sloeturn/cell"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/ledger"
)

func (s *State) Ready() bool { return s.ready }

// UnavailableReason returns why the node can't serve requests, or "". Requests are still served during a
// drain.
func (s *State) UnavailableReason(now ident.Moment) string {
	switch {
	case s.draining:
		return "draining"
	case !s.Relay.CoreKnown:
		return "no desired state read yet"
	case !s.Relay.CoreFresh(now) && s.Relay.Revoked() != nil:
		return "seat's lease revoked"
	case !s.Relay.CoreFresh(now):
		return "desired state stale"
	case !s.Relay.LeaseValid(now) && s.Relay.CoreBehind():
		return "a newer desired state is known elsewhere"
	case s.Relay.DocumentGeneration == 0:
		return "no desired state set"
	case s.Relay.Desired == nil:
		return "desired state unreadable"
	case s.seat == nil:
		return "no seat"
	case !ledger.SeatWithinLimit(s.Relay.Core, s.seat):
		return "seat beyond the fleet's size"
	}
	for cellName := range s.Relay.Cells {
		if s.Relay.CellFresh(cellName, now) {
			return ""
		}
	}
	if len(s.Relay.Cells) > 0 {
		return "all cells' news stale"
	}
	if len(s.Relay.Core.Holds) > 0 {
		return "no cell's news read yet"
	}
	return ""
}

// retryAfter is the Retry-After of a refusal by this node's own state; 0 leaves it to the reason of the
// refusal.
func (s *State) retryAfter(requestID string, now ident.Moment) time.Duration {
	if reason := s.UnavailableReason(now); now.Sub(s.startedAt) > StartupPeriod && (reason == "" || reason == "draining") {
		return 0
	}
	return StartupRetryAfter(requestID, now.Sub(s.startedAt))
}

// StartupRetryAfter is the Retry-After of a node of the given age that can't serve yet: the rest of its
// expected start, plus jitter so that clients don't all return at once.
func StartupRetryAfter(requestID string, age time.Duration) time.Duration {
	return max(MinRetryAfter, ExpectedStartTime-age) + time.Duration(ident.Hash(requestID)%uint64(RetryAfterJitter))
}

// FastStart reports whether the node is starting and polls more often until it has caught up.
func (s *State) FastStart(now ident.Moment) bool {
	return now.Sub(s.startedAt) < FastStartPeriod && !s.draining && !s.caughtUp(now)
}

// caughtUp reports whether the node is ready and the tables of all held cells are fresh.
func (s *State) caughtUp(now ident.Moment) bool {
	for _, hold := range s.Relay.Core.GetHolds() {
		if !s.Relay.CellFresh(ident.Cell(hold.Cell), now) {
			return false
		}
	}
	return s.ready
}

// NotReadyReason returns why the node reports not ready, or "". Beyond UnavailableReason a node isn't
// ready while it serves on old state or no backend is proven yet.
func (s *State) NotReadyReason(now ident.Moment) string {
	if reason := s.UnavailableReason(now); reason != "" {
		return reason
	}
	if !s.Relay.LeaseValid(now) {
		return "out of touch; serves on old news"
	}
	if s.warmedUp {
		return ""
	}
	return "no backend proven yet"
}

// warmUp waits, for WarmUpTimeout at most, until each listed service has a proven backend.
func (s *State) warmUp(now ident.Moment) {
	if s.warmedUp || s.UnavailableReason(now) != "" {
		return
	}
	if s.warmUpStartedAt == 0 {
		s.warmUpStartedAt = now
	}
	listed, proven := map[string]bool{}, map[string]bool{}
	for cellName, replica := range s.Relay.Cells {
		for addr, backend := range replica.Backends {
			if state := s.probes[addr]; backend.State == cell.Ready && s.Relay.CellFresh(cellName, now) && s.Desired().Services[ident.Service(backend.Service)] != nil {
				listed[backend.Service] = true
				proven[backend.Service] = proven[backend.Service] || state != nil && state.proven || s.echoesRequestID(ident.Service(backend.Service))
			}
		}
	}
	s.warmedUp = now.Sub(s.warmUpStartedAt) > WarmUpTimeout
	for service := range listed {
		if !proven[service] {
			return
		}
	}
	s.warmedUp = true
}

// checkRequest decides whether a request may proceed and until when that holds; the reason is "" if it may.
// It is asked again before each step, for the configuration and the tables may have changed.
func (s *State) checkRequest(request *forward.Request, now ident.Moment) (ident.Moment, string) {
	if s.deregistered {
		return 0, "signed off"
	}
	if s.draining && request.Phase == forward.Waiting && now.Sub(s.drainStartedAt) > DrainGracePeriod {
		return 0, "draining"
	}
	if reason := s.UnavailableReason(now); reason != "" && reason != "draining" {
		return 0, reason
	}
	if !s.Relay.CoreFresh(now) || s.seat == nil {
		return 0, "no lease"
	}
	lane := s.Desired().Lanes[request.Lane]
	if lane == nil || lane.Service != request.Rule.Service || lane.Tenant != request.Rule.Tenant {
		return 0, "lane changed"
	}
	leaseEnd := s.Relay.LeaseRenewedAt.Add(s.Relay.StaleAfter)
	if request.Phase < forward.Admitted {
		return leaseEnd, ""
	}
	replica := s.Relay.Cells[request.Backend.Cell]
	if replica == nil || !s.Relay.CellFresh(request.Backend.Cell, now) {
		return 0, "cell news stale"
	}
	backend := replica.Backends[request.Backend.Addr]
	if backend == nil || backend.State != cell.Ready || backend.Incarnation != request.Backend.Incarnation || backend.Service != string(request.Rule.Service) {
		return 0, "backend gone"
	}
	if s.listedElsewhere(request.Backend.Addr, replica.Cell, now) {
		return 0, "backend named by two cells"
	}
	state := s.probes[request.Backend.Addr]
	if _, ejected := s.ejections[request.Backend.Addr]; ejected || !s.echoesRequestID(request.Rule.Service) && (state == nil || !state.proven || state.incarnation != request.Backend.Incarnation) {
		return 0, "backend unsound"
	}
	return min(leaseEnd, replica.AsOf.Add(s.Relay.CellStaleAfter())), ""
}
