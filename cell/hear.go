package cell

import (
	"fmt"
	"math"
	"strings"
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// ReturnPulses is how many pulses after it began to drain a backend without an incarnation may announce
// that it is ready again.
const ReturnPulses = 100

// HandleAnnounce takes in a backend's announcement. It returns false if the announcement is older than
// what is known of the address or proves nothing, so that the sender must repeat it. An announcement
// that can't change anything any more is ignored and acknowledged.
//
// A drain or deregistration of a backend with an incarnation is final: no announcement of that
// incarnation makes it ready again, whatever its sequence number and whenever it arrives. Such a message
// itself counts whatever its sequence number.
func (s *BackendTable) HandleAnnounce(announce *wire.Announce, now ident.Moment) bool {
	address := ident.Addr(announce.Addr)
	if address == "" {
		address = s.addressOf(announce.Incarnation)
	}
	backend := s.backends[address]
	if announce.State == Gone {
		s.deregister(backend, announce, now)
		return true
	}
	if s.isOutOfOrder(backend, announce) || s.isDeregistered(announce.Incarnation) && backend != nil && backend.Incarnation != announce.Incarnation {
		s.IgnoredAnnounces++
		return true
	}
	warmup := time.Duration(announce.ColdNs)
	pulse := uint64(0)
	if announce.Epoch == uint64(s.Epoch) {
		pulse = announce.Pulse
	}
	if s.isUnproven(backend, announce, pulse) {
		return false
	}
	if backend == nil || s.isOtherIncarnation(backend, announce, pulse, now.Add(warmup)) {
		backend = s.register(address, backend, announce, now)
	}
	old := *backend
	backend.Slots = int(min(announce.Slots, MaxSlots))
	if announce.State == Leaving {
		s.markLeaving(backend, announce.Notice, causeDraining)
	}
	if s.isDeregistered(announce.Incarnation) {
		s.markLeaving(backend, true, causeDeregistered)
	}
	backend.Pulse = max(backend.Pulse, pulse)
	backend.Sequence = max(backend.Sequence, announce.Turn)
	backend.WarmAt = now.Add(warmup)
	backend.LastHeard = now
	backend.Beats++
	backend.EffectiveSlots = EffectiveSlots(backend, now)
	if old.Version == 0 || s.SkipUnchanged == nil || !s.SkipUnchanged(backend.Service) || old.Slots != backend.Slots || old.State != backend.State || old.EffectiveSlots != backend.EffectiveSlots {
		s.markChanged(backend)
	}
	return true
}

// register adds a backend that wasn't known, in place of another incarnation at its address.
func (s *BackendTable) register(address ident.Addr, old *Backend, announce *wire.Announce, now ident.Moment) *Backend {
	incarnation := announce.Incarnation
	if incarnation == "" {
		incarnation = UnnamedPrefix + announce.Service
	}
	if old != nil {
		if incarnation == old.Incarnation {
			incarnation = fmt.Sprintf("%s-%d-%d", incarnation, s.Epoch, s.pulse)
		}
		s.remove(address, causeReplaced, now)
	}
	backend := &Backend{Addr: address, Service: ident.Service(announce.Service), Incarnation: incarnation, WarmupDuration: time.Duration(announce.ColdNs)}
	s.backends[address] = backend
	cause := causeHeartbeat
	if _, returned := s.unnamedDeregistrations[address]; returned {
		cause = causeReturned
	}
	s.recordTransition(backend, "", stateNames[Ready], cause)
	return backend
}

// markLeaving marks a backend as leaving. With notice it stays so until another incarnation takes its
// address or it falls silent.
func (s *BackendTable) markLeaving(backend *Backend, notice bool, cause string) {
	if backend.State != Leaving {
		backend.State, backend.LeftAtPulse = Leaving, s.pulse
		s.recordTransition(backend, stateNames[Ready], stateNames[Leaving], cause)
	}
	if notice {
		backend.LeftAtPulse = math.MaxUint64
	}
}

// deregister ends an incarnation. A backend with an incarnation of its own stays in the table as leaving
// until it falls silent: so the deregistration reaches replicas, the disk and the next holder as any
// drain does, and heartbeats that are still on their way are ignored. A repeated deregistration changes
// nothing, so that it is acknowledged as soon as a majority has received the first. If the incarnation
// isn't in the table yet, its deregistration alone is remembered.
func (s *BackendTable) deregister(backend *Backend, announce *wire.Announce, now ident.Moment) {
	unnamed := backend != nil && announce.Incarnation == "" && backend.Service == ident.Service(announce.Service)
	named := backend != nil && announce.Incarnation != "" && backend.Incarnation == announce.Incarnation
	switch {
	case unnamed && strings.HasPrefix(backend.Incarnation, UnnamedPrefix):
		s.remove(backend.Addr, causeDeregistered, now)
		s.unnamedDeregistrations[backend.Addr] = unnamedDeregistration{s.pulse, now}
	case unnamed, named:
		backend.LastHeard = now
		if backend.State == Leaving && backend.LeftAtPulse == math.MaxUint64 {
			return
		}
		s.recordTransition(backend, stateNames[backend.State], stateNames[Leaving], causeDeregistered)
		backend.State, backend.LeftAtPulse, backend.EffectiveSlots = Leaving, math.MaxUint64, 0
		s.markChanged(backend)
	case announce.Incarnation != "":
		s.rememberDeregistration(announce.Incarnation, now)
	}
}

func (s *BackendTable) addressOf(incarnation string) ident.Addr {
	for announce, backend := range s.backends {
		if backend.Incarnation == incarnation {
			return announce
		}
	}
	return ""
}

// isOutOfOrder tells whether an announcement was sent before one of the same incarnation that was already
// received. A drain is never out of order, for no later announcement takes it back.
func (s *BackendTable) isOutOfOrder(backend *Backend, announce *wire.Announce) bool {
	if backend == nil || announce.State != Ready || announce.Incarnation == "" || announce.Turn == 0 {
		return false
	}
	return backend.Service == ident.Service(announce.Service) && backend.Incarnation == announce.Incarnation && announce.Turn < backend.Sequence
}

// isUnproven tells whether an announcement doesn't prove that its incarnation has the address now: it is
// older than what another incarnation announced there, or its sender's connection was closed.
func (s *BackendTable) isUnproven(backend *Backend, announce *wire.Announce, pulse uint64) bool {
	unproven := announce.State == Ready && !announce.Stands
	if backend != nil {
		other := backend.Service != ident.Service(announce.Service) || announce.Incarnation != "" && announce.Incarnation != backend.Incarnation
		return other && (unproven || pulse < backend.Pulse)
	}
	end, known := s.unnamedDeregistrations[ident.Addr(announce.Addr)]
	return unproven || announce.State == Ready && known && announce.Incarnation == "" && pulse <= end.pulse
}

// isOtherIncarnation tells whether an announcement is from another incarnation than the one in the table.
// One without an incarnation counts as restarted if it is ready long enough after it began to drain, or
// if its warm-up starts anew.
func (s *BackendTable) isOtherIncarnation(backend *Backend, announce *wire.Announce, pulse uint64, warmAt ident.Moment) bool {
	if backend.Service != ident.Service(announce.Service) {
		return true
	}
	if announce.Incarnation != "" {
		return announce.Incarnation != backend.Incarnation
	}
	if backend.State == Leaving {
		return announce.State == Ready && pulse > backend.LeftAtPulse && pulse-backend.LeftAtPulse > ReturnPulses
	}
	return announce.ColdNs > 0 && warmAt.After(backend.WarmAt.Add(time.Second))
}
