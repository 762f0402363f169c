// Package ident declares the types of identifiers that all packages share, and the monotonic clock.
package ident

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

type (
	Member      string // name of a process of the fleet
	Voter       string // identity of a log replica, kept with its disk
	Cell        string
	Lane        string
	Service     string
	Addr        string // ip:port
	RequestID   string
	Incarnation uint64 // one run of a process or backend; never 0
	Generation  uint64 // version of the desired state
	Epoch       uint64 // version of a cell's backend table across its holders
	Term        uint64
	Index       uint64
	Seat        uint32 // a node's numbered share of each backend's capacity
)

// Moment is a time of the monotonic clock in nanoseconds.
type Moment int64

type Duration = time.Duration

func (m Moment) Add(duration Duration) Moment { return m + Moment(duration) }
func (m Moment) Sub(other Moment) Duration    { return Duration(m - other) }
func (m Moment) After(other Moment) bool      { return m > other }
func (m Moment) Before(other Moment) bool     { return m < other }

// Now reads the clock that counts from the start of the machine, including while it is suspended.
func Now() Moment {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		panic(err)
	}
	return Moment(timespec.Nano())
}

// NewIncarnation returns a random incarnation, which is never 0.
func NewIncarnation() Incarnation {
	var random [8]byte
	rand.Read(random[:])
	return Incarnation(binary.BigEndian.Uint64(random[:]) | 1)
}

// Hash returns the FNV-1a hash of the parts, each ended by a zero byte, with its bits mixed by the
// finalizer of MurmurHash3.
func Hash(parts ...string) uint64 {
	hash := fnv.New64a()
	for _, part := range parts {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return mixed
}

// AddrsExcept returns the addresses of the lists in order, once each and without self.
func AddrsExcept(self Addr, lists ...[]Addr) []Addr {
	var others []Addr
	for _, list := range lists {
		for _, addr := range list {
			if addr != self && !slices.Contains(others, addr) {
				others = append(others, addr)
			}
		}
	}
	return others
}

// SortedKeys returns the keys of a map in ascending order.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
