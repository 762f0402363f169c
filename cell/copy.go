package cell

import (
	"sort"
	"strings"
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// Replica is a copy of a cell's backend table as another member keeps it, up to date as of AsOf. Known
// is false until the holder's table of the current epoch has been received.
type Replica struct {
	Cell  ident.Cell
	Epoch ident.Epoch
	Pulse uint64
	AsOf  ident.Moment
	Known bool
	Demand
	Backends   map[ident.Addr]*wire.Backend
	Version    uint64
	digests    [Partitions]uint64
	tombstones tombstones
	revision   uint64
	haveCount  int

	demandSum uint64

	// Transitions counts the changes of a backend's incarnation or state, Departures those to Leaving.
	Transitions uint64
	Departures  uint64
}

func NewReplica(c ident.Cell) *Replica {
	return &Replica{Cell: c, Backends: map[ident.Addr]*wire.Backend{}}
}

// ReplicaFromSaved returns the replica that a member saved to disk. It isn't Known until the holder's
// update confirms it.
func ReplicaFromSaved(saved *wire.CellKept) *Replica {
	c := NewReplica(ident.Cell(saved.Cell))
	c.Epoch, c.Pulse, c.Version = ident.Epoch(saved.Epoch), saved.Pulse, saved.Upto
	c.tombstones.completeAfter = saved.Upto
	for _, b := range saved.Backends {
		if a := ident.Addr(b.Addr); c.Backends[a] == nil {
			c.Backends[a] = b
			c.digests[PartitionOf(b.Addr)] += BackendDigest(b.Addr, b.Version)
		}
	}
	return c
}

// Revision changes with every change of the table or of the demand.
func (c *Replica) Revision() uint64 { return c.revision }

func (c *Replica) Digests() []uint64 { return append([]uint64(nil), c.digests[:]...) }

// Apply takes an update in that was current at asOf. It returns false if the update is older than the
// replica, or is a delta that has nothing to be applied to. A higher epoch discards the table of the one before.
func (c *Replica) Apply(update *wire.CellNews, asOf ident.Moment) bool {
	epoch := ident.Epoch(update.Epoch)
	if epoch < c.Epoch || epoch == c.Epoch && c.Known && asOf.Before(c.AsOf) {
		return false
	}
	if epoch > c.Epoch {
		c.Epoch = epoch
		c.Backends = map[ident.Addr]*wire.Backend{}
		c.digests = [Partitions]uint64{}
		c.Version, c.tombstones, c.Pulse = 0, tombstones{completeAfter: update.Upto}, 0
		c.Known = false
		c.revision++
		c.Transitions++
		if len(update.Ranges) < Partitions {
			return true
		}
	}
	if update.Delta {
		if !c.Known {
			return false
		}
		c.applyDelta(update)
	}
	for _, r := range update.Ranges {
		if r.Part >= Partitions {
			continue
		}
		listed := map[string]bool{}
		for _, b := range r.Backends {
			listed[b.Addr] = true
			c.countTransition(c.Backends[ident.Addr(b.Addr)], b)
		}
		for _, a := range ident.SortedKeys(c.Backends) {
			if PartitionOf(string(a)) == int(r.Part) {
				delete(c.Backends, a)
				if !listed[string(a)] {
					c.Transitions++
					c.tombstones.add(string(a), update.Upto)
				}
			}
		}
		c.digests[r.Part] = 0
		for _, b := range r.Backends {
			c.Backends[ident.Addr(b.Addr)] = b
			c.digests[r.Part] += BackendDigest(b.Addr, b.Version)
		}
		c.revision++
	}
	c.Version = max(c.Version, update.Upto)
	if r := (Demand{update.Nodes, update.Wants}); !update.NodesSame && r.Sum() != c.cachedDemandSum() {
		c.Demand, c.demandSum = r, r.Sum()
		c.revision++
	}
	c.Pulse = max(c.Pulse, update.Pulse)
	c.Known, c.AsOf = true, asOf
	return true
}

func (c *Replica) cachedDemandSum() uint64 {
	if c.demandSum == 0 {
		c.demandSum = c.Demand.Sum()
	}
	return c.demandSum
}

// Refresh records that the table was still unchanged at the given pulse and time.
func (c *Replica) Refresh(pulse uint64, asOf ident.Moment) {
	c.Pulse, c.AsOf = max(c.Pulse, pulse), max(c.AsOf, asOf)
}

func (c *Replica) applyDelta(update *wire.CellNews) {
	for _, gone := range update.Gone {
		a := ident.Addr(gone.Addr)
		if b := c.Backends[a]; b != nil && b.Version < gone.Version {
			c.digests[PartitionOf(gone.Addr)] -= BackendDigest(b.Addr, b.Version)
			delete(c.Backends, a)
			c.revision++
			c.Transitions++
		}
		if gone.Version > c.Version {
			c.tombstones.add(gone.Addr, gone.Version)
		}
	}
	for _, b := range update.Changed {
		a := ident.Addr(b.Addr)
		old := c.Backends[a]
		if old != nil && old.Version >= b.Version {
			continue
		}
		if old != nil {
			c.digests[PartitionOf(b.Addr)] -= BackendDigest(b.Addr, old.Version)
		}
		c.digests[PartitionOf(b.Addr)] += BackendDigest(b.Addr, b.Version)
		c.countTransition(old, b)
		c.Backends[a] = b
		c.revision++
	}
}

// countTransition counts the change from old to b, if it is one of incarnation or state.
func (c *Replica) countTransition(old, b *wire.Backend) {
	if old != nil && old.Incarnation == b.Incarnation && old.State == b.State {
		return
	}
	c.Transitions++
	if b.State == Leaving {
		c.Departures++
	}
}

// Save returns what is written to disk. Backends without an incarnation of their own are left out unless
// they are leaving: only a new heartbeat can prove that they still have their address.
func (c *Replica) Save() *wire.CellKept {
	saved := &wire.CellKept{Cell: string(c.Cell), Epoch: uint64(c.Epoch), Pulse: c.Pulse, Upto: c.Version}
	for _, a := range ident.SortedKeys(c.Backends) {
		if b := c.Backends[a]; !strings.HasPrefix(b.Incarnation, UnnamedPrefix) || b.State == Leaving {
			saved.Backends = append(saved.Backends, b)
		}
	}
	return saved
}

// SavedUpdate returns the whole table as an update marked old, as RestoreSaved takes it.
func (c *Replica) SavedUpdate() *wire.CellNews {
	return &wire.CellNews{Cell: string(c.Cell), Epoch: uint64(c.Epoch), Pulse: c.Pulse, Upto: c.Version, Ranges: c.Ranges(nil), Old: true}
}

// RestoreSaved replaces an unknown table by another member's saved one, if that is newer.
func (c *Replica) RestoreSaved(update *wire.CellNews) {
	epoch := ident.Epoch(update.Epoch)
	if epoch < c.Epoch || epoch == c.Epoch && (c.Known || update.Upto <= c.Version) {
		return
	}
	saved := &wire.CellKept{Cell: string(c.Cell), Epoch: update.Epoch, Pulse: update.Pulse, Upto: update.Upto}
	for _, r := range update.Ranges {
		saved.Backends = append(saved.Backends, r.Backends...)
	}
	old := *c
	*c = *ReplicaFromSaved(saved)
	c.revision, c.haveCount, c.Transitions, c.Departures = old.revision+1, old.haveCount, old.Transitions+1, old.Departures
}

// Have describes the replica to the member that it is updated from. Every FullDigestInterval-th time it
// has the digests of all partitions, so that a divergence is found and repaired.
func (c *Replica) Have() *wire.CellHave {
	h := &wire.CellHave{Cell: string(c.Cell), Epoch: uint64(c.Epoch), Upto: c.Version, NodesSum: c.cachedDemandSum()}
	if c.haveCount%FullDigestInterval == 0 || !c.Known {
		h.Digests = c.Digests()
	}
	c.haveCount++
	return h
}

// Update returns what a member that has the given table lacks, marked with this replica's age.
func (c *Replica) Update(have *wire.CellHave, age time.Duration) *wire.CellNews {
	changedSince := func(version uint64) []*wire.Backend {
		var out []*wire.Backend
		for _, a := range ident.SortedKeys(c.Backends) {
			if b := c.Backends[a]; b.Version > version {
				out = append(out, b)
			}
		}
		return out
	}
	update := updateSource{c.Epoch, c.Pulse, c.Version, c.Demand, &c.tombstones, changedSince, c.Ranges}.update(c.Cell, have)
	update.AgeNs = int64(age)
	return update
}

// Ranges returns the partitions whose digests differ from those given.
func (c *Replica) Ranges(have []uint64) []*wire.Range {
	var out []*wire.Range
	for p := 0; p < Partitions; p++ {
		if p < len(have) && have[p] == c.digests[p] {
			continue
		}
		r := &wire.Range{Part: uint32(p)}
		for a, b := range c.Backends {
			if PartitionOf(string(a)) == p {
				r.Backends = append(r.Backends, b)
			}
		}
		sort.Slice(r.Backends, func(i, j int) bool { return r.Backends[i].Addr < r.Backends[j].Addr })
		out = append(out, r)
	}
	return out
}
