// Package quota bounds what all clients of a process together make it hold: bytes of memory, and
// connections.
package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sloeturn/ident"
)

const (
	// SmallClaimBytes is the size up to which a claim may use the last part of the memory, so that new
	// connections and ordinary requests find room beside long bodies and answers.
	SmallClaimBytes = 256 << 10
	// smallClaimShare is the part of the memory that only small claims may use: one in so many.
	smallClaimShare = 8
	// minHoldTime is how long a claim may be held before it can be revoked.
	minHoldTime = 500 * time.Millisecond
	// retryInterval is how often a waiting claim looks for claims to revoke.
	retryInterval = 50 * time.Millisecond
)

// Memory is the memory that clients may make a process hold. A nil Memory has no limit.
type Memory struct {
	limit int64

	lock sync.Mutex
	used int64
	peak int64
	// revocable are the claims that may be revoked.
	revocable map[*Claim]struct{}
	// freed is closed when bytes are given back; nil while nobody waits for that.
	freed   chan struct{}
	refused uint64
	revoked uint64
}

// NewMemory returns a Memory of a limit in bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, revocable: map[*Claim]struct{}{}}
}

// Claim is a part of the memory that one request or connection holds. A nil Claim has no limit.
type Claim struct {
	memory *Memory
	bytes  int64
	// revoke, if set, makes the holder release the claim soon.
	revoke         func()
	revocableSince ident.Moment
	revoked        bool
	released       bool
	// long claims use no memory that is kept for small ones, however few bytes they have.
	long bool
}

// NewClaim returns an empty claim.
func (m *Memory) NewClaim() *Claim {
	if m == nil {
		return nil
	}
	return &Claim{memory: m}
}

// SetLong records that the claim is that of a long body or answer, which takes its time.
func (c *Claim) SetLong() {
	if c == nil {
		return
	}
	c.memory.lock.Lock()
	defer c.memory.lock.Unlock()
	c.long = true
}

// Grow adds bytes to a claim before they are allocated. If there is no room it revokes other claims and
// waits, for at most the given time. It returns false if there is still no room, or if the claim has been
// released.
func (c *Claim) Grow(bytes int64, wait time.Duration) bool {
	if c == nil {
		return true
	}
	deadline := ident.Now().Add(wait)
	for {
		now := ident.Now()
		taken, freed, victims := c.memory.take(c, bytes, deadline.After(now), now)
		if taken {
			return true
		}
		for _, revoke := range victims {
			// The caller may hold a lock that the holder of the victim needs, or be that holder.
			go revoke()
		}
		if freed == nil {
			return false
		}
		timer := time.NewTimer(min(deadline.Sub(now), retryInterval))
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// take adds bytes to a claim if there is room. Otherwise it returns the functions that revoke other claims,
// and a channel that is closed once bytes are given back; nil if the caller doesn't wait or waiting is of
// no use, which counts as a refusal.
func (m *Memory) take(c *Claim, bytes int64, waits bool, now ident.Moment) (taken bool, freed <-chan struct{}, victims []func()) {
	m.lock.Lock()
	defer m.lock.Unlock()
	limit := m.limit
	if c.long || c.bytes+bytes > SmallClaimBytes {
		limit -= m.limit / smallClaimShare
	}
	possible := !c.released && c.bytes+bytes <= limit
	if possible && m.used+bytes <= limit {
		c.bytes += bytes
		m.used += bytes
		m.peak = max(m.peak, m.used)
		return true, nil, nil
	}
	if possible {
		victims = m.revokeFor(m.used+bytes-limit, c, now)
	}
	if !possible || !waits {
		m.refused++
		return false, nil, victims
	}
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return false, m.freed, victims
}

// revokeFor marks the claims that are revoked for the needed bytes, and returns their functions. It needs
// the lock.
func (m *Memory) revokeFor(needed int64, except *Claim, now ident.Moment) (revoke []func()) {
	for _, victim := range m.chooseVictims(needed, except, now) {
		victim.revoked = true
		m.revoked++
		revoke = append(revoke, victim.revoke)
	}
	return revoke
}

// chooseVictims returns the claims to revoke so that the needed bytes become free: those that hold most
// for the longest. It returns none if that can't free enough.
func (m *Memory) chooseVictims(needed int64, except *Claim, now ident.Moment) []*Claim {
	var candidates []*Claim
	for claim := range m.revocable {
		switch {
		case claim == except:
		case claim.revoked:
			needed -= claim.bytes
		case now.Sub(claim.revocableSince) >= minHoldTime:
			candidates = append(candidates, claim)
		}
	}
	cost := func(claim *Claim) float64 {
		return float64(claim.bytes) * float64(now.Sub(claim.revocableSince))
	}
	slices.SortFunc(candidates, func(a, b *Claim) int { return cmp.Compare(cost(b), cost(a)) })
	for count, claim := range candidates {
		if needed <= 0 {
			return candidates[:count]
		}
		needed -= claim.bytes
	}
	if needed <= 0 {
		return candidates
	}
	return nil
}

// AllowRevocation lets the claim be revoked from now on, by a function that runs in a goroutine of its own.
func (c *Claim) AllowRevocation(revoke func()) {
	if c == nil {
		return
	}
	m := c.memory
	m.lock.Lock()
	defer m.lock.Unlock()
	if !c.released {
		c.revoke, c.revocableSince = revoke, ident.Now()
		m.revocable[c] = struct{}{}
	}
}

// ForbidRevocation takes back AllowRevocation; a claim that is being revoked already is not saved.
func (c *Claim) ForbidRevocation() {
	if c == nil {
		return
	}
	c.memory.lock.Lock()
	defer c.memory.lock.Unlock()
	delete(c.memory.revocable, c)
}

// Shrink gives bytes of the claim back.
func (c *Claim) Shrink(bytes int64) {
	if c == nil {
		return
	}
	m := c.memory
	m.lock.Lock()
	defer m.lock.Unlock()
	m.give(c, min(bytes, c.bytes))
}

// Release gives the whole claim back, for good.
func (c *Claim) Release() {
	if c == nil {
		return
	}
	m := c.memory
	m.lock.Lock()
	defer m.lock.Unlock()
	delete(m.revocable, c)
	c.released = true
	m.give(c, c.bytes)
}

// give needs the lock.
func (m *Memory) give(c *Claim, bytes int64) {
	if bytes == 0 {
		return
	}
	c.bytes -= bytes
	m.used -= bytes
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// MemoryUsage is the state of a Memory, in bytes, and how often it refused and revoked a claim.
type MemoryUsage struct {
	Limit, Used, Peak int64
	Refused, Revoked  uint64
}

// Usage returns the present usage.
func (m *Memory) Usage() MemoryUsage {
	if m == nil {
		return MemoryUsage{}
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return MemoryUsage{m.limit, m.used, m.peak, m.refused, m.revoked}
}
