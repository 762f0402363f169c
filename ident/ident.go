// Package ident holds the small types that name things, and the monotonic clock.
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
	Member      string
	Voter       string
	Cell        string
	Lane        string
	Service     string
	Addr        string
	RequestID   string
	Incarnation uint64
	Generation  uint64
	Epoch       uint64
	Term        uint64
	Index       uint64
	Seat        uint32
)

type Moment int64

type Span = time.Duration

func (m Moment) Add(s Span) Moment    { return m + Moment(s) }
func (m Moment) Sub(o Moment) Span    { return Span(m - o) }
func (m Moment) After(o Moment) bool  { return m > o }
func (m Moment) Before(o Moment) bool { return m < o }

func Now() Moment {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return Moment(t.Nano())
}

func NewIncarnation() Incarnation {
	var b [8]byte
	rand.Read(b[:])
	return Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}

func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

func Others(self Addr, lists ...[]Addr) []Addr {
	var out []Addr
	for _, list := range lists {
		for _, a := range list {
			if a != self && !slices.Contains(out, a) {
				out = append(out, a)
			}
		}
	}
	return out
}

func Keys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
