package data

import (
	"sort"
	"strings"

	"sloeturn/admission"
	"sloeturn/cell"
	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/wire"
)

// probeState is what the reducer knows of the probe connection to one backend. Backends whose
// answers echo the request's ID need no probe.
type probeState struct {
	incarnation string
	proven      bool         // the connection is known to lead to this incarnation
	ended       bool         // StopProbe was issued; ProbeLost is still to come
	connectedAt ident.Moment // zero until the probe connection is open
	// requiredPulse is the first heartbeat number of the cell's epoch that was certainly sent after
	// the probe connected; 0 until it is known.
	epoch         ident.Epoch
	requiredPulse uint64
}

// ejection keeps a backend from being used until it announces itself again, its time has passed or,
// with liftedByProbe, a probe succeeds.
type ejection struct {
	incarnation   string
	service       string
	heartbeat     uint64
	epoch         ident.Epoch
	cell          ident.Cell
	liftedByProbe bool
	until         ident.Moment // zero: no end
}

// ejectionCount counts the recent ejections of one backend incarnation, for exponential backoff.
type ejectionCount struct {
	incarnation string
	count       int
	lastAt      ident.Moment
}

// tableEntry is a backend and the cell table that lists it.
type tableEntry struct {
	*wire.Backend
	cell *cell.Replica
}

// proveBackends marks backends as proven whose probe doesn't identify them: a heartbeat sent after the
// probe connected shows that the incarnation at the other end is still the announced one.
func (s *State) proveBackends(now ident.Moment) {
	for addr, state := range s.probes {
		if state.proven || state.ended || state.connectedAt == 0 {
			continue
		}
		for cellName, replica := range s.Relay.Cells {
			backend := replica.Backends[addr]
			if backend == nil || backend.Incarnation != state.incarnation || !s.Relay.CellFresh(cellName, now) {
				continue
			}
			if state.requiredPulse == 0 || state.epoch != replica.Epoch {
				state.requiredPulse = 0
				if !replica.AsOf.Before(state.connectedAt) {
					state.epoch, state.requiredPulse = replica.Epoch, replica.Pulse+1
				}
				continue
			}
			if backend.Pulse >= state.requiredPulse {
				state.proven = true
				s.appliedRevision = 0
				s.recordDecision(daemon.Decision{Decision: "proven", Backend: string(addr), Service: backend.Service, Cell: string(cellName), Note: "a heartbeat sent after the probe connected"})
			}
		}
	}
}

// rebuildBackends derives the usable backends and this node's share of each from the fresh cell tables.
// A backend that several cells list is left out.
func (s *State) rebuildBackends(now ident.Moment) {
	entries := map[ident.Addr][]tableEntry{}
	for cellName, replica := range s.Relay.Cells {
		if !s.Relay.CellFresh(cellName, now) {
			continue
		}
		for addr, backend := range replica.Backends {
			entries[addr] = append(entries[addr], tableEntry{backend, replica})
		}
	}
	addrs := make([]ident.Addr, 0, len(entries))
	for addr := range entries {
		addrs = append(addrs, addr)
	}
	sort.Slice(addrs, func(i, j int) bool { return addrs[i] < addrs[j] })
	incarnations := map[ident.Addr]string{}
	slotShares, overflowShares := map[string][]cell.BackendSlots{}, map[string][]cell.BackendSlots{}
	var backends []admission.Backend
	for _, addr := range addrs {
		if len(entries[addr]) != 1 {
			continue
		}
		entry := entries[addr][0]
		incarnations[addr] = entry.Incarnation
		if ejected, ok := s.ejections[addr]; ok && (ejected.cell != entry.cell.Cell || ejected.incarnation != entry.Incarnation || ejected.service != entry.Service || entry.cell.Epoch > ejected.epoch && entry.Beat > 0 || entry.cell.Epoch == ejected.epoch && entry.Beat > ejected.heartbeat) {
			delete(s.ejections, addr)
		}
		if s.Desired() == nil || s.Desired().Services[ident.Service(entry.Service)] == nil || entry.State != cell.Ready {
			continue
		}
		state := s.probes[addr]
		_, ejected := s.ejections[addr]
		backends = append(backends, admission.Backend{Addr: addr, Service: ident.Service(entry.Service), Incarnation: entry.Incarnation, Cell: entry.cell.Cell, Slots: int(entry.Slots), SameCell: entry.cell.Cell == s.Cell, Ejected: ejected || !s.echoesRequestID(ident.Service(entry.Service)) && (state == nil || !state.proven || state.incarnation != entry.Incarnation)})
		key := string(entry.cell.Cell) + " " + entry.Service
		effectiveSlots := int(min(entry.Work, cell.MaxSlots))
		slotShares[key] = append(slotShares[key], cell.BackendSlots{Addr: addr, Slots: effectiveSlots})
		if n := s.Desired().Services[ident.Service(entry.Service)].OverflowFactor; n > 0 {
			overflowShares[key] = append(overflowShares[key], cell.BackendSlots{Addr: addr, Slots: min(n*effectiveSlots, cell.MaxSlots)})
		}
	}
	slots, overflowSlots := map[ident.Addr]int{}, map[ident.Addr]int{}
	totals := map[ident.Service]int{}
	for key, group := range slotShares {
		cellName, service, _ := strings.Cut(key, " ")
		replica := s.Relay.Cells[ident.Cell(cellName)]
		demands, only := replica.ForService(service)
		for a, n := range cell.Distribute(group, replica.Nodes, demands, only, string(s.Member), ident.Hash(key)) {
			slots[a] = n
			totals[ident.Service(service)] += n
		}
		for a, n := range cell.Distribute(overflowShares[key], replica.Nodes, nil, false, string(s.Member), ident.Hash(key, "line")) {
			overflowSlots[a] = n
			totals[ident.Service(service)] += n
		}
	}
	// A node without a slot at any backend of a service may still use one, chosen by hash.
	bestHash := map[ident.Service]uint64{}
	for i := range backends {
		backends[i].Share, backends[i].Overflow = slots[backends[i].Addr], overflowSlots[backends[i].Addr]
	}
	for i := range backends {
		b := &backends[i]
		if h := ident.Hash(string(s.Member), string(b.Addr)); totals[b.Service] == 0 && h > bestHash[b.Service] {
			bestHash[b.Service] = h
		}
	}
	for i := range backends {
		if b := &backends[i]; totals[b.Service] == 0 && ident.Hash(string(s.Member), string(b.Addr)) == bestHash[b.Service] {
			b.Share = 1
		}
	}
	// Idle connections to former incarnations are closed.
	for addr, incarnation := range s.incarnations {
		if incarnations[addr] != incarnation {
			s.effects = append(s.effects, CloseStaleConns{incarnations})
			break
		}
	}
	s.incarnations = incarnations
	s.updateProbes(backends, now)
	s.SetBackends(backends, now)
}

// updateProbes starts and stops probes so that each backend which needs one has one while this node
// holds a seat and a fresh configuration.
func (s *State) updateProbes(backends []admission.Backend, now ident.Moment) {
	wanted := map[ident.Addr]admission.Backend{}
	if !s.deregistered && s.seat != nil && s.Relay.CoreFresh(now) {
		for _, b := range backends {
			if !s.echoesRequestID(b.Service) {
				wanted[b.Addr] = b
			}
		}
	}
	for _, addr := range ident.SortedKeys(s.probes) {
		state := s.probes[addr]
		if b, ok := wanted[addr]; (!ok || b.Incarnation != state.incarnation) && !state.ended {
			state.ended, state.proven = true, false
			s.effects = append(s.effects, StopProbe{addr, state.incarnation})
		}
	}
	for _, b := range backends {
		if _, ok := wanted[b.Addr]; !ok || s.probes[b.Addr] != nil {
			continue
		}
		if _, ejected := s.ejections[b.Addr]; ejected {
			continue
		}
		if !s.Pass.Reserve(admission.Key{Lane: admission.ProbeLane, Addr: b.Addr}, b.Service) {
			continue
		}
		s.probes[b.Addr] = &probeState{incarnation: b.Incarnation}
		s.effects = append(s.effects, StartProbe{b.Addr, b.Service, b.Incarnation, s.Desired().Services[b.Service].Probe})
	}
}

// probeLost handles the end of a probe connection. An end that was not ordered ejects the backend.
func (s *State) probeLost(e ProbeLost, now ident.Moment) {
	state := s.probes[e.Addr]
	if state == nil || state.incarnation != e.Incarnation {
		return
	}
	delete(s.probes, e.Addr)
	s.Pass.Unreserve(admission.Key{Lane: admission.ProbeLane, Addr: e.Addr})
	if !state.ended {
		s.eject(e.Addr, false)
		s.Pass.Eject(e.Addr)
		s.recordDecision(daemon.Decision{Decision: "unsound", Backend: string(e.Addr), Note: e.Why})
		s.effects = append(s.effects, LogNote{"Backend " + string(e.Addr) + " is unsound: " + e.Why + "."})
	}
	s.appliedRevision = 0
	s.refresh(now)
}

// echoesRequestID reports whether the backends of a service repeat the request's ID in their answers,
// so that each answer proves who gave it.
func (s *State) echoesRequestID(name ident.Service) bool {
	service := s.Desired().Services[name]
	return service != nil && service.Named
}

// backendEchoesRequestID reports the same for the service of a backend.
func (s *State) backendEchoesRequestID(addr ident.Addr) bool {
	b := s.Pass.Backend(addr)
	return b != nil && s.echoesRequestID(b.Service)
}

// listedElsewhere reports whether the fresh table of another cell lists a backend as well.
func (s *State) listedElsewhere(addr ident.Addr, except ident.Cell, now ident.Moment) bool {
	for cellName, replica := range s.Relay.Cells {
		if cellName != except && replica.Backends[addr] != nil && s.Relay.CellFresh(cellName, now) {
			return true
		}
	}
	return false
}

// nextEjectionEnd returns when an ejection that starts now ends: after MinEjection, doubled with each
// recent one up to MaxEjection. It is zero (no end) for a backend that needs a probe.
func (s *State) nextEjectionEnd(addr ident.Addr) ident.Moment {
	b := s.Pass.Backend(addr)
	if b == nil || !s.echoesRequestID(b.Service) {
		return 0
	}
	ejections := s.ejectionCounts[addr]
	if ejections.incarnation != b.Incarnation || s.now.Sub(ejections.lastAt) > EjectionCountTTL {
		ejections = ejectionCount{incarnation: b.Incarnation}
	}
	wait := min(MinEjection<<min(ejections.count, 8), MaxEjection)
	ejections.count, ejections.lastAt = ejections.count+1, s.now
	s.ejectionCounts[addr] = ejections
	return s.now.Add(wait)
}

// expireEjections lifts ejections whose time has passed and forgets old counts.
func (s *State) expireEjections(now ident.Moment) {
	for addr, ejected := range s.ejections {
		if ejected.until != 0 && !ejected.until.After(now) {
			delete(s.ejections, addr)
			s.appliedRevision = 0
		}
	}
	for addr, ejections := range s.ejectionCounts {
		if now.Sub(ejections.lastAt) > EjectionCountTTL {
			delete(s.ejectionCounts, addr)
		}
	}
}

// eject stops the use of a backend. With liftedByProbe a successful probe lifts it, and one is sent at
// once; it doesn't weaken an ejection that a probe can't lift.
func (s *State) eject(addr ident.Addr, liftedByProbe bool) {
	if old, ok := s.ejections[addr]; ok && !old.liftedByProbe {
		liftedByProbe = false
	}
	until := s.nextEjectionEnd(addr)
	for cellName, replica := range s.Relay.Cells {
		if b := replica.Backends[addr]; b != nil {
			s.ejections[addr] = ejection{incarnation: b.Incarnation, service: b.Service, heartbeat: b.Beat, epoch: replica.Epoch, cell: cellName, liftedByProbe: liftedByProbe, until: until}
		}
	}
	if state := s.probes[addr]; liftedByProbe && state != nil && state.proven {
		s.effects = append(s.effects, ProbeNow{addr, state.incarnation})
	}
}
