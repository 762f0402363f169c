// Package cell is the table of a cell's backends, as the holder of the cell keeps it from their
// heartbeats, and the replicas that other members keep of it.
package cell

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// The states of a backend, as announcements carry them. A Gone backend is not in the table.
const (
	Ready   = 0
	Leaving = 1
	Gone    = 2
)

const (
	// Partitions is the number of parts into which tables are divided by address to be compared.
	Partitions = 8
	// BeatTimeout is how long a backend without heartbeats stays in the table.
	BeatTimeout = 10 * time.Second
	// PulseInterval is how often the holder advances its pulse, the logical clock that backends
	// repeat in their heartbeats.
	PulseInterval = 100 * time.Millisecond
	// MaxSlots bounds the slots of one backend.
	MaxSlots = 4096
	// UnnamedPrefix begins the incarnation that the holder makes up for a backend without one.
	UnnamedPrefix = "bare-"
)

// Backend is a backend in the table of its holder.
type Backend struct {
	Addr           ident.Addr
	Service        ident.Service
	Incarnation    string
	Slots          int
	State          int
	WarmAt         ident.Moment  // end of its warm-up
	WarmupDuration time.Duration // duration of its warm-up
	LastHeard      ident.Moment
	Beats          uint64 // heartbeats received
	Version        uint64 // version of the table in which it last changed
	EffectiveSlots int    // slots that it may serve now, fewer while it warms up
	Pulse          uint64 // newest pulse that it has repeated
	LeftAtPulse    uint64 // pulse at which it began to drain; math.MaxUint64: it can't return
	Sequence       uint64 // highest sequence number of its announcements
}

// BackendTable is the table of a cell's backends as its holder keeps it.
type BackendTable struct {
	Cell        ident.Cell
	Epoch       ident.Epoch
	backends    map[ident.Addr]*Backend
	version     uint64
	pulse       uint64
	lastPulseAt ident.Moment
	digests     [Partitions]uint64
	Demand
	tombstones  tombstones
	transitions []Transition

	// unnamedDeregistrations holds those of backends without an incarnation, deregistrations those of
	// incarnations that are not in the table, or not yet.
	unnamedDeregistrations map[ident.Addr]unnamedDeregistration
	deregistrations        map[string]ident.Moment

	// SkipUnchanged tells for which services a heartbeat that changes nothing makes no new version.
	SkipUnchanged func(ident.Service) bool

	// IgnoredAnnounces counts the announcements that were older than what was known of their backend.
	IgnoredAnnounces uint64
}

// Demand is the sorted list of nodes and, for each service, the slots that each node demands.
type Demand struct {
	Nodes     []string
	ByService []*wire.Wants
}

// Sum is a digest by which members compare demands.
func (r Demand) Sum() uint64 {
	n := ident.Hash(r.Nodes...)
	for _, w := range r.ByService {
		for i, k := range w.ByNode {
			n += ident.Hash(w.Service, strconv.FormatBool(w.Only), strconv.Itoa(i), strconv.FormatUint(uint64(k), 10))
		}
	}
	return n
}

func (r Demand) Text() string {
	var b strings.Builder
	for _, w := range r.ByService {
		fmt.Fprintf(&b, "%s %v ", w.Service, w.ByNode)
	}
	return strings.TrimSpace(b.String())
}

// ForService returns the demand of each node for a service, and whether slots are divided by demand only.
func (r Demand) ForService(service string) (wants []uint32, only bool) {
	for _, w := range r.ByService {
		if w.Service == service && len(w.ByNode) == len(r.Nodes) {
			return w.ByNode, w.Only
		}
	}
	return nil, false
}

// MaxTombstones bounds the removed backends that are kept for deltas; a replica that lacks older ones is sent ranges.
const MaxTombstones = 256

// tombstones are the backends removed latest from a table: all that have a version above completeAfter.
type tombstones struct {
	entries       []*wire.Gone
	completeAfter uint64
}

func (t *tombstones) add(addr string, version uint64) {
	t.entries = append(t.entries, &wire.Gone{Addr: addr, Version: version})
	if len(t.entries) > MaxTombstones {
		t.completeAfter = t.entries[0].Version
		t.entries = append([]*wire.Gone(nil), t.entries[1:]...)
	}
}

// since returns the backends removed after a version, or false if they aren't all kept.
func (t *tombstones) since(version uint64) ([]*wire.Gone, bool) {
	if version < t.completeAfter {
		return nil, false
	}
	var out []*wire.Gone
	for _, g := range t.entries {
		if g.Version > version {
			out = append(out, g)
		}
	}
	return out, true
}

func New(c ident.Cell, e ident.Epoch) *BackendTable {
	return &BackendTable{Cell: c, Epoch: e, backends: map[ident.Addr]*Backend{}, unnamedDeregistrations: map[ident.Addr]unnamedDeregistration{}, deregistrations: map[string]ident.Moment{}, pulse: 1}
}

// Pulse is the present value of the logical clock that backends repeat in their heartbeats.
func (s *BackendTable) Pulse() uint64 { return s.pulse }

// Version is the version of the last change of the table.
func (s *BackendTable) Version() uint64 { return s.version }

// PartitionOf returns the partition of an address.
func PartitionOf(addr string) int { return int(ident.Hash(addr) % Partitions) }

// BackendDigest is what a backend adds to the digest of its partition.
func BackendDigest(addr string, version uint64) uint64 {
	return ident.Hash(addr, strconv.FormatUint(version, 10))
}

// Handover returns the table for the next holder of the cell.
func (s *BackendTable) Handover(now ident.Moment) *wire.Bequest {
	handover := &wire.Bequest{Cell: string(s.Cell), Epoch: uint64(s.Epoch)}
	for _, b := range s.Backends() {
		handover.Backends = append(handover.Backends, s.toWire(b, now))
	}
	return handover
}

// FromHandover returns the table that the holder before has handed over, in this holder's epoch.
func FromHandover(handover *wire.Bequest, e ident.Epoch, now ident.Moment) *BackendTable {
	s := New(ident.Cell(handover.Cell), e)
	for _, entry := range handover.Backends {
		warmup := time.Duration(entry.ColdNs)
		backend := &Backend{Addr: ident.Addr(entry.Addr), Service: ident.Service(entry.Service), Incarnation: entry.Incarnation, Slots: int(min(entry.Slots, MaxSlots)), State: int(min(entry.State, Leaving)), WarmAt: now.Add(warmup), WarmupDuration: warmup, LastHeard: now}
		if entry.Notice {
			backend.LeftAtPulse = math.MaxUint64
		}
		backend.EffectiveSlots = EffectiveSlots(backend, now)
		s.backends[backend.Addr] = backend
		s.markChanged(backend)
	}
	return s
}

// RestoreFrom adds what a replica of an earlier epoch has and the table lacks: ready backends with an
// incarnation of their own, and drains and deregistrations.
func (s *BackendTable) RestoreFrom(old *Replica, now ident.Moment) {
	for _, addr := range ident.SortedKeys(old.Backends) {
		entry := old.Backends[addr]
		backend := s.backends[addr]
		if entry.State == Ready {
			if backend == nil && !strings.HasPrefix(entry.Incarnation, UnnamedPrefix) {
				s.restoreReady(entry, now)
			}
			continue
		}
		if entry.State != Leaving || backend != nil && backend.Incarnation == entry.Incarnation && backend.State == Leaving {
			continue
		}
		if backend != nil && backend.Incarnation != entry.Incarnation {
			s.rememberDeregistration(entry.Incarnation, now)
			continue
		}
		if backend == nil {
			backend = &Backend{Addr: addr, Service: ident.Service(entry.Service), Incarnation: entry.Incarnation, Slots: int(min(entry.Slots, MaxSlots)), LastHeard: now}
			s.backends[addr] = backend
		}
		if backend.State = Leaving; entry.Notice {
			backend.LeftAtPulse = math.MaxUint64
		}
		backend.EffectiveSlots = 0
		s.markChanged(backend)
	}
}

func (s *BackendTable) restoreReady(entry *wire.Backend, now ident.Moment) {
	warmup := time.Duration(entry.ColdNs)
	backend := &Backend{Addr: ident.Addr(entry.Addr), Service: ident.Service(entry.Service), Incarnation: entry.Incarnation, Slots: int(min(entry.Slots, MaxSlots)), State: Ready, WarmAt: now.Add(warmup), WarmupDuration: warmup, LastHeard: now}
	if s.isDeregistered(backend.Incarnation) {
		s.markLeaving(backend, true, causeDeregistered)
	}
	backend.EffectiveSlots = EffectiveSlots(backend, now)
	s.backends[backend.Addr] = backend
	s.markChanged(backend)
}

// markChanged gives a backend the next version of the table.
func (s *BackendTable) markChanged(b *Backend) {
	p := PartitionOf(string(b.Addr))
	if b.Version != 0 {
		s.digests[p] -= BackendDigest(string(b.Addr), b.Version)
	}
	s.version++
	b.Version = s.version
	s.digests[p] += BackendDigest(string(b.Addr), b.Version)
}

// remove takes a backend out of the table; the end of a drained incarnation stays known for a while.
func (s *BackendTable) remove(a ident.Addr, cause string, now ident.Moment) {
	b := s.backends[a]
	if b.State == Leaving && !strings.HasPrefix(b.Incarnation, UnnamedPrefix) {
		s.rememberDeregistration(b.Incarnation, now)
	}
	s.digests[PartitionOf(string(a))] -= BackendDigest(string(a), b.Version)
	delete(s.backends, a)
	s.recordTransition(b, stateNames[b.State], stateNames[Gone], cause)
	s.version++
	s.tombstones.add(string(a), s.version)
}

// Digests returns the digest of each partition.
func (s *BackendTable) Digests() []uint64 { return append([]uint64(nil), s.digests[:]...) }

// EffectiveSlots is how many of its slots a backend may serve now: during its warm-up it starts at a
// quarter of them and grows linearly to all.
func EffectiveSlots(b *Backend, now ident.Moment) int {
	if b.State != Ready {
		return 0
	}
	left := b.WarmAt.Sub(now)
	if left <= 0 || b.WarmupDuration <= 0 {
		return b.Slots
	}
	warm := float64(b.WarmupDuration-min(left, b.WarmupDuration)) / float64(b.WarmupDuration)
	return max(1, int(float64(b.Slots)*(0.25+0.75*warm)))
}

// Tick advances the pulse, removes silent backends and raises the slots of those that warm up.
func (s *BackendTable) Tick(now ident.Moment) {
	if now.Sub(s.lastPulseAt) >= PulseInterval {
		s.lastPulseAt = now
		s.pulse++
	}
	s.expireDeregistrations(now)
	due := false
	for _, b := range s.backends {
		due = due || now.Sub(b.LastHeard) > BeatTimeout || EffectiveSlots(b, now) != b.EffectiveSlots
	}
	if !due {
		return
	}
	for _, b := range s.Backends() {
		if now.Sub(b.LastHeard) > BeatTimeout {
			s.remove(b.Addr, causeSilent, now)
			continue
		}
		if w := EffectiveSlots(b, now); w != b.EffectiveSlots {
			b.EffectiveSlots = w
			s.markChanged(b)
		}
	}
}

// Backends returns the backends by address.
func (s *BackendTable) Backends() []*Backend {
	out := make([]*Backend, 0, len(s.backends))
	for _, b := range s.backends {
		out = append(out, b)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

// ReadyCounts returns the number of ready backends of each service.
func (s *BackendTable) ReadyCounts() map[ident.Service]int {
	out := map[ident.Service]int{}
	for _, b := range s.backends {
		if b.State == Ready {
			out[b.Service]++
		}
	}
	return out
}

func (s *BackendTable) toWire(b *Backend, now ident.Moment) *wire.Backend {
	return &wire.Backend{Addr: string(b.Addr), Service: string(b.Service), Incarnation: b.Incarnation, Slots: uint32(b.Slots), State: uint32(b.State), ColdNs: int64(max(0, b.WarmAt.Sub(now))), Beat: b.Beats, Version: b.Version, Work: uint32(b.EffectiveSlots), Pulse: b.Pulse, Notice: b.LeftAtPulse == math.MaxUint64}
}

// updateSource is a table or a replica from which updates are made.
type updateSource struct {
	epoch        ident.Epoch
	pulse        uint64
	version      uint64
	demand       Demand
	tombstones   *tombstones
	changedSince func(version uint64) []*wire.Backend
	ranges       func(sums []uint64) []*wire.Range
}

// update returns what a member that has the given table lacks: a delta if its version is known and the
// the backends removed since then are kept, else all partitions whose digests differ.
func (source updateSource) update(c ident.Cell, have *wire.CellHave) *wire.CellNews {
	news := &wire.CellNews{Cell: string(c), Epoch: uint64(source.epoch), Pulse: source.pulse, Upto: source.version}
	if have == nil || have.Epoch != uint64(source.epoch) {
		news.Nodes, news.Wants, news.Ranges = source.demand.Nodes, source.demand.ByService, source.ranges(nil)
		return news
	}
	if have.NodesSum == source.demand.Sum() {
		news.NodesSame = true
	} else {
		news.Nodes, news.Wants = source.demand.Nodes, source.demand.ByService
	}
	if len(have.Digests) == 0 && have.Upto > 0 {
		if gone, ok := source.tombstones.since(have.Upto); ok {
			news.Delta, news.Gone, news.Changed = true, gone, source.changedSince(have.Upto)
			return news
		}
	}
	news.Ranges = source.ranges(have.Digests)
	return news
}

// Update returns what a member that has the given table lacks.
func (s *BackendTable) Update(have *wire.CellHave, now ident.Moment) *wire.CellNews {
	changedSince := func(version uint64) []*wire.Backend {
		var out []*wire.Backend
		for _, b := range s.Backends() {
			if b.Version > version {
				out = append(out, s.toWire(b, now))
			}
		}
		return out
	}
	parts := func(sums []uint64) []*wire.Range { return s.Ranges(sums, now) }
	return updateSource{s.Epoch, s.pulse, s.version, s.Demand, &s.tombstones, changedSince, parts}.update(s.Cell, have)
}

// Ranges returns the partitions whose digests differ from those given.
func (s *BackendTable) Ranges(have []uint64, now ident.Moment) []*wire.Range {
	var out []*wire.Range
	lines := s.Backends()
	for p := 0; p < Partitions; p++ {
		if p < len(have) && have[p] == s.digests[p] {
			continue
		}
		r := &wire.Range{Part: uint32(p)}
		for _, b := range lines {
			if PartitionOf(string(b.Addr)) == p {
				r.Backends = append(r.Backends, s.toWire(b, now))
			}
		}
		out = append(out, r)
	}
	return out
}

// FullDigestInterval is how many requests for updates of a replica there are to each that has digests.
const FullDigestInterval = 16
