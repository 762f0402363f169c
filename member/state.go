// Package member is the state machine of cluster membership: a record of each member, spread by
// heartbeats and anti-entropy, and the detection of silent members by their watchers. (wire.Card is a
// member record.)
package member

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

// The roles of a member, as its record carries them.
const (
	RoleData    = 1
	RoleControl = 2
)

// The states of a member, as its record carries them.
const (
	StateLive   = 0
	StateSilent = 1
	StateLeft   = 2
)

const (
	// Partitions is the number of parts into which tables are divided by member to be compared.
	Partitions = 8
	// Watchers is the number of members that receive the heartbeats of each member; two of them must
	// find it silent.
	Watchers = 3
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval = 250 * time.Millisecond
	// SeedInterval is the time between heartbeats to seeds, by which separated parts find each other.
	SeedInterval = time.Second
	// SilenceTimeout is how long a member may send no heartbeat before a watcher accuses it.
	SilenceTimeout = 1200 * time.Millisecond
	// ForgetSilentAfter is how long the record of a silent member is kept.
	ForgetSilentAfter = 10 * time.Minute
	// ForgetLeftAfter is how long the record of a member that left is kept.
	ForgetLeftAfter = time.Minute
)

// State is what a member knows of the others. It isn't safe for concurrent use.
type State struct {
	Self  *wire.Card // its own record
	Seeds []ident.Addr
	// MoreSeeds returns further addresses to which heartbeats are sent as to seeds.
	MoreSeeds func() []ident.Addr

	records          map[ident.Member]*wire.Card
	lastHeard        map[ident.Member]ident.Moment
	notLiveSince     map[ident.Member]ident.Moment
	digests          [Partitions]uint64
	ring             []*wire.Card // live members by hash of their ID; nil: to be rebuilt
	controlAddrs     []string
	liveDigest       uint64
	revision         uint64
	announcedVersion uint64 // version of its own record that the watchers were sent last
	lastHeartbeat    ident.Moment
	lastSeedContact  ident.Moment
	observingSince   ident.Moment // since when it has run without a pause that could hide heartbeats
	nextSeed         int
	outbox           []wire.Send
}

// New returns the state of a member that knows only its own record and the addresses of seeds.
func New(self *wire.Card, seeds []ident.Addr, now ident.Moment) *State {
	s := &State{Self: self, Seeds: seeds, MoreSeeds: func() []ident.Addr { return nil }, records: map[ident.Member]*wire.Card{}, lastHeard: map[ident.Member]ident.Moment{}, notLiveSince: map[ident.Member]ident.Moment{}}
	s.observingSince = now
	self.Rank = 1
	self.Brief = true
	s.store(self, now)
	return s
}

// Revision changes with every change of a record.
func (s *State) Revision() uint64 { return s.revision }

func partitionOf(id string) int { return int(ident.Hash(id) % Partitions) }

// recordDigest identifies the content of a record; accusers count in any order.
func recordDigest(c *wire.Card) uint64 {
	n := uint64(0)
	for _, a := range c.Accusers {
		n += ident.Hash("accuser", a)
	}
	return n + ident.Hash(c.Id, c.Addr, strconv.FormatUint(c.Incarnation, 10), strconv.FormatUint(c.Rank, 10), strconv.FormatUint(c.Version, 10), strconv.Itoa(int(c.State)))
}

func (s *State) store(record *wire.Card, now ident.Moment) {
	id := ident.Member(record.Id)
	p := partitionOf(record.Id)
	if old := s.records[id]; old != nil {
		s.digests[p] -= recordDigest(old)
	}
	s.digests[p] += recordDigest(record)
	s.records[id] = record
	s.ring = nil
	s.revision++
	if record.State == StateLive {
		delete(s.notLiveSince, id)
	} else if s.notLiveSince[id] == 0 {
		s.notLiveSince[id] = now
	}
}

func (s *State) remove(id ident.Member) {
	if c := s.records[id]; c != nil {
		s.digests[partitionOf(c.Id)] -= recordDigest(c)
		delete(s.records, id)
		delete(s.lastHeard, id)
		delete(s.notLiveSince, id)
		s.ring = nil
		s.revision++
	}
}

// Update changes the member's own record; change gets a copy. A change makes a new version.
func (s *State) Update(change func(c *wire.Card), now ident.Moment) {
	c := proto.Clone(s.Self).(*wire.Card)
	change(c)
	if proto.Equal(c, s.Self) {
		return
	}
	c.Version++
	s.Self = c
	s.store(c, now)
}

// SetReadiness sets whether the member is ready and whether it is leaving.
func (s *State) SetReadiness(ready, leaving bool, now ident.Moment) {
	if s.Self.Ready != ready || s.Self.Leaving != leaving {
		s.Update(func(c *wire.Card) { c.Ready, c.Leaving = ready, leaving }, now)
	}
}

// Records returns all records by member ID.
func (s *State) Records() []*wire.Card {
	out := make([]*wire.Card, 0, len(s.records))
	for _, c := range s.records {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// Record returns the record of a member, or nil.
func (s *State) Record(id ident.Member) *wire.Card { return s.records[id] }

// Live tells whether a member is known and neither silent nor gone.
func (s *State) Live(id ident.Member) bool {
	c := s.records[id]
	return c != nil && c.State == StateLive
}

// Ring returns the records of the live members in the order of the hash ring.
func (s *State) Ring() []*wire.Card {
	if s.ring == nil {
		for _, c := range s.records {
			if c.State == StateLive {
				s.ring = append(s.ring, c)
			}
		}
		sort.Slice(s.ring, func(i, j int) bool {
			a, b := ident.Hash(s.ring[i].Id), ident.Hash(s.ring[j].Id)
			return a < b || a == b && s.ring[i].Id < s.ring[j].Id
		})
		s.controlAddrs, s.liveDigest = nil, 0
		for _, c := range s.ring {
			s.liveDigest += ident.Hash(c.Id)
			if c.Role == RoleControl {
				s.controlAddrs = append(s.controlAddrs, c.Addr)
			}
		}
		s.controlAddrs = slices.Clip(s.controlAddrs)
	}
	return s.ring
}

// ControlAddrs returns the addresses of the live control plane members.
func (s *State) ControlAddrs() []string {
	s.Ring()
	return s.controlAddrs
}

// LiveDigest identifies the set of live members.
func (s *State) LiveDigest() uint64 {
	s.Ring()
	return s.liveDigest
}

// WatchersOf returns the members that follow a member on the hash ring and receive its heartbeats.
func (s *State) WatchersOf(id ident.Member) []*wire.Card {
	r := s.Ring()
	at := ident.Hash(string(id))
	k := sort.Search(len(r), func(i int) bool { return ident.Hash(r[i].Id) >= at })
	var out []*wire.Card
	for i := 0; i < len(r) && len(out) < Watchers; i++ {
		c := r[(k+i)%len(r)]
		if c.Id != string(id) {
			out = append(out, c)
		}
	}
	return out
}

// newer orders records: a higher rank is a later incarnation, a higher version a later record of it.
func newer(a, b *wire.Card) bool {
	if a.Rank != b.Rank {
		return a.Rank > b.Rank
	}
	return a.Version > b.Version
}

// merge takes in a record that another member has sent, if it is newer or adds accusers.
func (s *State) merge(record *wire.Card, now ident.Moment) {
	id := ident.Member(record.Id)
	if record.Id == s.Self.Id {
		s.mergeSelf(record, now)
		return
	}
	old := s.records[id]
	if old == nil || newer(record, old) {
		s.lastHeard[id] = now
		s.store(record, now)
		return
	}
	if newer(old, record) || old.State == StateLeft {
		return
	}
	if record.State == StateLeft {
		s.store(record, now)
		return
	}
	s.addAccusers(old, record.Accusers, now)
}

// mergeSelf takes in another member's record of this one. A record that isn't its own or that accuses it is
// refuted by a newer one; a record of another incarnation is outranked.
func (s *State) mergeSelf(record *wire.Card, now ident.Moment) {
	otherIncarnation := record.Incarnation != s.Self.Incarnation
	accused := record.Version > s.Self.Version || record.Version == s.Self.Version && (len(record.Accusers) > 0 || record.State == StateSilent)
	if record.Rank < s.Self.Rank || record.Rank == s.Self.Rank && !otherIncarnation && !accused {
		return
	}
	updated := proto.Clone(s.Self).(*wire.Card)
	updated.Rank, updated.Version = record.Rank, record.Version+1
	if otherIncarnation {
		updated.Rank, updated.Version = record.Rank+1, 1
	}
	updated.Accusers = nil
	s.Self = updated
	s.store(updated, now)
}

// addAccusers adds watchers that find a member silent. With two of them, or with all if it has fewer
// watchers, it counts as silent.
func (s *State) addAccusers(old *wire.Card, accusers []string, now ident.Moment) {
	all := map[string]bool{}
	for _, a := range old.Accusers {
		all[a] = true
	}
	before := len(all)
	for _, a := range accusers {
		all[a] = true
	}
	if len(all) == before {
		return
	}
	updated := proto.Clone(old).(*wire.Card)
	updated.Accusers = nil
	for a := range all {
		updated.Accusers = append(updated.Accusers, a)
	}
	sort.Strings(updated.Accusers)
	if len(updated.Accusers) >= min(2, len(s.WatchersOf(ident.Member(old.Id)))) {
		updated.State = StateSilent
	}
	s.store(updated, now)
}

func (s *State) send(to string, f *wire.Frame) {
	s.outbox = append(s.outbox, wire.Send{To: to, Frame: f})
}

func (s *State) heartbeat() *wire.Frame {
	sums := s.digests
	return &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Card: s.Self, Digests: sums[:]}}}
}

// tableDigest identifies the content of the whole table.
func (s *State) tableDigest() uint64 {
	n := uint64(1)
	for i, v := range s.digests {
		n += v * (2*uint64(i) + 3)
	}
	return n
}

// sendHeartbeats sends a heartbeat to each watcher. Those that have the record already are sent only a
// digest of the table, if their build reads that.
func (s *State) sendHeartbeats(all bool) {
	full := s.heartbeat()
	brief := &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Whole: s.tableDigest()}}}
	for _, watcher := range s.WatchersOf(ident.Member(s.Self.Id)) {
		if watcher.Brief && !all && s.announcedVersion == s.Self.Version {
			s.send(watcher.Addr, brief)
		} else {
			s.send(watcher.Addr, full)
		}
	}
	s.announcedVersion = s.Self.Version
}

// seedAddresses returns the addresses of seeds and of silent members.
func (s *State) seedAddresses() []ident.Addr {
	var silent []ident.Addr
	for _, c := range s.Records() {
		if c.State == StateSilent {
			silent = append(silent, ident.Addr(c.Addr))
		}
	}
	return ident.AddrsExcept(ident.Addr(s.Self.Addr), s.Seeds, s.MoreSeeds(), silent)
}

// Tick sends heartbeats, contacts a seed, accuses silent members and forgets old records. After a pause
// of its own the member accuses nobody for a while: it may have missed heartbeats.
func (s *State) Tick(now ident.Moment) {
	if now.Sub(s.lastHeartbeat) < HeartbeatInterval {
		return
	}
	if s.lastHeartbeat != 0 && now.Sub(s.lastHeartbeat) > SilenceTimeout/2 {
		s.observingSince = now
	}
	s.lastHeartbeat = now
	s.sendHeartbeats(false)
	if len(s.Ring()) < 2 || now.Sub(s.lastSeedContact) >= SeedInterval {
		s.lastSeedContact = now
		seeds := s.seedAddresses()
		for range seeds {
			addr := seeds[s.nextSeed%len(seeds)]
			s.nextSeed++
			s.send(string(addr), s.heartbeat())
			if len(s.Ring()) > 1 {
				break
			}
		}
	}
	if now.Sub(s.observingSince) > SilenceTimeout {
		s.accuseSilent(now)
	}
	for id, at := range s.notLiveSince {
		record := s.records[id]
		if record.State == StateLeft && now.Sub(at) > ForgetLeftAfter || now.Sub(at) > ForgetSilentAfter {
			s.remove(id)
		}
	}
}

// accuseSilent accuses the members that this one watches and that have sent no heartbeat for too long.
func (s *State) accuseSilent(now ident.Moment) {
	for _, record := range s.Ring() {
		if record.Id == s.Self.Id {
			continue
		}
		watched := false
		for _, watcher := range s.WatchersOf(ident.Member(record.Id)) {
			watched = watched || watcher.Id == s.Self.Id
		}
		if !watched {
			continue
		}
		at, ok := s.lastHeard[ident.Member(record.Id)]
		if !ok {
			s.lastHeard[ident.Member(record.Id)] = now
			continue
		}
		if now.Sub(at) > SilenceTimeout {
			s.addAccusers(record, []string{s.Self.Id}, now)
		}
	}
}

// HandleHeartbeat takes in a heartbeat. If the tables differ, it replies with the digests of the records in
// the ranges that differ.
func (s *State) HandleHeartbeat(h *wire.Heartbeat, from, addr string, now ident.Moment) {
	if h.Card == nil {
		s.briefHeartbeat(h, ident.Member(from), addr, now)
		return
	}
	if h.Card.Id == s.Self.Id {
		return
	}
	s.merge(h.Card, now)
	s.lastHeard[ident.Member(h.Card.Id)] = now
	table := s.differingRanges(h.Digests)
	if table != nil {
		s.send(h.Card.Addr, &wire.Frame{Body: &wire.Frame_Table{Table: table}})
	}
}

// briefHeartbeat takes in a heartbeat without a record, and replies with a full one if the tables differ.
func (s *State) briefHeartbeat(h *wire.Heartbeat, from ident.Member, addr string, now ident.Moment) {
	if string(from) == s.Self.Id {
		return
	}
	if c := s.records[from]; c != nil && c.Addr == addr {
		s.lastHeard[from] = now
	}
	if h.Whole != s.tableDigest() {
		s.send(addr, s.heartbeat())
	}
}

// differingRanges returns the ranges that differ, with the digests of the records in them, or nil.
func (s *State) differingRanges(digests []uint64) *wire.Table {
	table := &wire.Table{}
	for i := 0; i < Partitions && i < len(digests); i++ {
		if digests[i] != s.digests[i] {
			table.Parts = append(table.Parts, uint32(i))
		}
	}
	if len(table.Parts) == 0 {
		return nil
	}
	for _, c := range s.recordsIn(table.Parts) {
		table.Sums = append(table.Sums, recordDigest(c))
	}
	return table
}

func (s *State) recordsIn(parts []uint32) []*wire.Card {
	want := [Partitions]bool{}
	for _, p := range parts {
		if p < Partitions {
			want[p] = true
		}
	}
	var out []*wire.Card
	for _, c := range s.Records() {
		if want[partitionOf(c.Id)] {
			out = append(out, c)
		}
	}
	return out
}

// HandleTable takes in a frame by which two members reconcile their tables. It takes three frames: the
// digests of all records in the ranges that differ; the records that the first member lacks, with the
// digests of those that the second lacks; and these records. A frame of an older build has its records
// at once and is answered with those that differ.
func (s *State) HandleTable(t *wire.Table, from string, now ident.Moment) {
	theirs := make(map[uint64]bool, len(t.Sums)+len(t.Cards))
	for _, digest := range t.Sums {
		theirs[digest] = true
	}
	for _, c := range t.Cards {
		theirs[recordDigest(c)] = true
		s.merge(c, now)
	}
	reply := &wire.Table{Reply: true}
	if t.Reply {
		reply.Cards = s.recordsWithSums(t.Lacks)
	} else {
		for _, c := range s.recordsIn(t.Parts) {
			digest := recordDigest(c)
			if !theirs[digest] {
				reply.Cards = append(reply.Cards, c)
			}
			delete(theirs, digest)
		}
		for _, digest := range t.Sums {
			if theirs[digest] {
				reply.Lacks = append(reply.Lacks, digest)
			}
		}
	}
	if len(reply.Cards)+len(reply.Lacks) > 0 {
		s.send(from, &wire.Frame{Body: &wire.Frame_Table{Table: reply}})
	}
}

// recordsWithSums returns the records that have the given digests.
func (s *State) recordsWithSums(digests []uint64) []*wire.Card {
	if len(digests) == 0 {
		return nil
	}
	var out []*wire.Card
	for _, c := range s.Records() {
		if slices.Contains(digests, recordDigest(c)) {
			out = append(out, c)
		}
	}
	return out
}

// Leave announces that the member leaves the cluster.
func (s *State) Leave(now ident.Moment) {
	s.Update(func(record *wire.Card) { record.State = StateLeft }, now)
	s.sendHeartbeats(true)
}

// Flush returns the frames to be sent since the last call.
func (s *State) Flush() []wire.Send {
	out := s.outbox
	s.outbox = nil
	return out
}
