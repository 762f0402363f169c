// Package ledger is the agreed book: configurations, seats, cells' holders and claims, and the law that
// keeps the connections to a backend under its cap.
package ledger

import (
	"bytes"
	"sort"

	"github.com/ansel1/merry/v2"
	"github.com/gammazero/deque"
	"google.golang.org/protobuf/proto"

	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

type Code uint32

const (
	Done Code = iota
	NotLeader
	Stale
	Invalid
	NoSeat
	Claimed
	Full
	Lost
	Waiting
	Held
	NoRoom
)

func (c Code) String() string {
	names := [...]string{"done", "not leader", "stale", "invalid", "no seat", "claimed", "full", "lost", "waiting", "held", "no room"}
	return names[min(int(c), len(names)-1)]
}

const (
	HistoryKept  = 64
	HistoryBytes = 2 << 20
	ClaimsKept   = 131072
	ClaimLifeMs  = 15 * 60 * 1000
	Released     = 1
)

var ErrImage = merry.Sentinel("ledger: image unreadable")

type Result struct {
	Code       Code
	Generation ident.Generation
	Seat       ident.Seat
	Visit      ident.RequestID
	Status     uint32
	Faults     []desired.Fault
	Place      uint64
}

type Lot struct {
	Lane    ident.Lane
	Service ident.Service
}

type Book struct {
	Stamp      uint64
	Index      ident.Index
	Version    uint64
	Generation ident.Generation
	InForce    ident.Generation
	Grown      ident.Generation
	Epoch      ident.Epoch
	History    []*wire.DesiredLine
	Seats      map[ident.Seat]*wire.Seat
	Revoked    map[ident.Seat]*wire.Revoked
	Holds      map[ident.Cell]*wire.Hold
	Claims     map[string]*wire.ClaimLine
	Trial      *wire.Trial
	Held       []*wire.Held
	Periods    map[string]*wire.Period
	Turn       uint64
	Tail       uint64
	Floor      uint64

	order  deque.Deque[*wire.ClaimLine]
	states map[ident.Generation]*desired.State
	core   *wire.Core
	keys   map[[16]byte]*Key
	aged   deque.Deque[*Key]
	floors map[Lot]*steps
	seats  *steps
}

func NewBook() *Book {
	return &Book{
		Seats:   map[ident.Seat]*wire.Seat{},
		Revoked: map[ident.Seat]*wire.Revoked{},
		Holds:   map[ident.Cell]*wire.Hold{},
		Claims:  map[string]*wire.ClaimLine{},
		Periods: map[string]*wire.Period{},
		states:  map[ident.Generation]*desired.State{},
		keys:    map[[16]byte]*Key{},
		floors:  map[Lot]*steps{},
		seats:   newSteps(0),
	}
}

func (b *Book) Apply(e *wire.Entry) Result {
	b.Index = ident.Index(e.Index)
	if e.Stamp > b.Stamp {
		b.Stamp = e.Stamp
	}
	b.shed()
	switch c := e.Change.GetBody().(type) {
	case *wire.Change_SetDesired:
		return b.setDesired(c.SetDesired)
	case *wire.Change_Mark:
		return b.mark(c.Mark)
	case *wire.Change_SeatTake:
		return b.seatTake(c.SeatTake)
	case *wire.Change_SeatFree:
		return b.seatFree(c.SeatFree)
	case *wire.Change_CellHold:
		return b.cellHold(c.CellHold)
	case *wire.Change_Claim:
		return b.claim(c.Claim)
	case *wire.Change_Release:
		return b.release(c.Release)
	case *wire.Change_Outcome:
		return b.outcome(c.Outcome)
	case *wire.Change_HoldBack:
		return b.holdBack(c.HoldBack)
	case *wire.Change_TakeOut:
		return b.takeOut(c.TakeOut)
	case *wire.Change_PeriodTurn:
		return b.periodTurn(c.PeriodTurn)
	case *wire.Change_Land:
		return b.land(c.Land)
	case *wire.Change_Roster:
		b.turn()
	case *wire.Change_Noop:
		b.turn()
		b.lease(c.Noop)
	}
	return Result{}
}

func (b *Book) turn() {
	b.Version++
	b.core = nil
}

func (b *Book) Line(g ident.Generation) *wire.DesiredLine {
	for i := len(b.History) - 1; i >= 0; i-- {
		if b.History[i].Generation == uint64(g) {
			return b.History[i]
		}
	}
	return nil
}

func (b *Book) State(g ident.Generation) *desired.State {
	if s := b.states[g]; s != nil {
		return s
	}
	l := b.Line(g)
	if l == nil {
		return nil
	}
	s, faults := desired.Read(l.Doc)
	if len(faults) > 0 {
		return nil
	}
	b.states[g] = s
	return s
}

func (b *Book) Edition(g ident.Generation) uint64 {
	if s := b.State(g); s != nil {
		return s.Edition
	}
	if l := b.Line(g); l != nil {
		return desired.EditionOf(l.Doc)
	}
	return b.editionOf(g)
}

func (b *Book) setDesired(c *wire.SetDesired) Result {
	if k := b.Taken(c.ChangeId); k != nil {
		return k.again(c.Sum)
	}
	if !b.fits(c.Basis, c.Turn) {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.Trial = nil
	kind := Changed
	switch {
	case c.Withdraw:
		kind = Withdrawn
	case len(c.Only) > 0:
		kind = Tried
		b.Trial = &wire.Trial{ChangeId: c.ChangeId, Basis: c.Basis, Doc: c.Doc, Only: c.Only}
	default:
		b.next(&wire.DesiredLine{ChangeId: c.ChangeId, Doc: c.Doc, Author: c.Author})
	}
	b.remember(c.ChangeId, Key{Sum: c.Sum, Kind: kind, Generation: uint64(b.Generation), Edition: b.Edition(b.Generation)})
	b.turn()
	return Result{Generation: b.Generation}
}

func (b *Book) mark(c *wire.Mark) Result {
	if g := ident.Generation(c.InForce); g > b.InForce && g <= b.Generation {
		b.InForce = g
		b.turn()
	}
	if g := ident.Generation(c.Grown); g > b.Grown && g <= b.Generation {
		b.Grown = g
		b.trim()
		b.turn()
	}
	return Result{}
}

func Counts(c *wire.Core, s *wire.Seat) bool { return s.Seat < c.SeatCount }

func Slots(s *desired.State) map[Lot]int {
	out := map[Lot]int{}
	for n, l := range s.Lanes {
		out[Lot{n, l.Service}] = l.Slots
	}
	for n, v := range s.Services {
		if v.Probe.Slots > 0 {
			out[Lot{"", n}] = v.Probe.Slots
		}
	}
	return out
}

func (b *Book) SeatOf(addr ident.Addr) *wire.Seat {
	for _, s := range b.Seats {
		if s.Addr == string(addr) {
			return s
		}
	}
	return nil
}

func (b *Book) seatTake(c *wire.SeatTake) Result {
	if s := b.SeatOf(ident.Addr(c.Addr)); s != nil {
		if s.Incarnation != c.Incarnation || s.Member != c.Member {
			if s.Incarnation != c.Basis {
				return Result{Code: Stale}
			}
			delete(b.Revoked, ident.Seat(s.Seat))
			b.Seats[ident.Seat(s.Seat)] = &wire.Seat{Seat: s.Seat, Member: c.Member, Addr: c.Addr, Incarnation: c.Incarnation, Heeds: c.Heeds}
			b.turn()
		}
		return Result{Seat: ident.Seat(s.Seat)}
	}
	if c.Basis != 0 {
		return Result{Code: Stale}
	}
	n := b.SeatCount()
	for i := 0; i < n; i++ {
		k := ident.Seat(i)
		if b.Seats[k] == nil {
			b.Seats[k] = &wire.Seat{Seat: uint32(i), Member: c.Member, Addr: c.Addr, Incarnation: c.Incarnation, Heeds: c.Heeds}
			b.turn()
			return Result{Seat: k}
		}
	}
	return Result{Code: NoSeat}
}

func (b *Book) seatFree(c *wire.SeatFree) Result {
	s := b.Seats[ident.Seat(c.Seat)]
	if s == nil || s.Member != c.Member || s.Incarnation != c.Incarnation {
		return Result{Code: Stale}
	}
	delete(b.Seats, ident.Seat(c.Seat))
	delete(b.Revoked, ident.Seat(c.Seat))
	b.turn()
	return Result{}
}

func (b *Book) cellHold(c *wire.CellHold) Result {
	h := b.Holds[ident.Cell(c.Cell)]
	if h != nil && h.Epoch != c.Basis || h == nil && c.Basis != 0 {
		return Result{Code: Stale}
	}
	b.Epoch++
	n := &wire.Hold{Cell: c.Cell, Holder: c.Holder, Incarnation: c.Incarnation, Epoch: uint64(b.Epoch), Before: c.Basis, Addr: c.Addr, Since: uint64(b.Epoch)}
	if h != nil && h.Since != 0 && h.Holder == c.Holder && h.Addr == c.Addr {
		n.Since = h.Since
	}
	b.Holds[ident.Cell(c.Cell)] = n
	b.turn()
	return Result{}
}

func (b *Book) shed() {
	for b.order.Len() > 0 {
		l := b.order.Front()
		if l.Stamp+ClaimLifeMs > b.Stamp {
			return
		}
		b.order.PopFront()
		if b.Claims[string(l.Key)] == l {
			delete(b.Claims, string(l.Key))
		}
	}
}

func (b *Book) claim(c *wire.Claim) Result {
	if l := b.Claims[string(c.Key)]; l != nil && l.Status == Released {
		if l.Visit == c.Visit {
			return Result{Code: Lost, Visit: ident.RequestID(l.Visit)}
		}
	} else if l != nil {
		if l.Visit == c.Visit {
			return Result{Visit: ident.RequestID(l.Visit), Status: l.Status}
		}
		if !bytes.Equal(l.Body, c.Body) {
			return Result{Code: Invalid, Visit: ident.RequestID(l.Visit), Status: l.Status}
		}
		return Result{Code: Claimed, Visit: ident.RequestID(l.Visit), Status: l.Status}
	}
	if b.order.Len() >= ClaimsKept {
		return Result{Code: Full}
	}
	l := &wire.ClaimLine{Key: c.Key, Visit: c.Visit, Body: c.Body, Stamp: b.Stamp}
	b.Claims[string(c.Key)] = l
	b.order.PushBack(l)
	return Result{Visit: ident.RequestID(c.Visit)}
}

func (b *Book) release(c *wire.Release) Result {
	l := b.Claims[string(c.Key)]
	if l == nil {
		l = &wire.ClaimLine{Key: c.Key, Visit: c.Visit, Stamp: b.Stamp}
		b.Claims[string(c.Key)] = l
		b.order.PushBack(l)
	}
	if l.Visit == c.Visit && l.Status == 0 {
		l.Status = Released
	}
	return Result{}
}

func (b *Book) outcome(c *wire.Outcome) Result {
	l := b.Claims[string(c.Key)]
	if l == nil || l.Visit != c.Visit {
		return Result{Code: Stale}
	}
	l.Status = c.Status
	return Result{}
}

func (b *Book) Core() *wire.Core {
	if b.core != nil {
		return b.core
	}
	c := &wire.Core{Version: b.Version, Generation: uint64(b.Generation), InForce: uint64(b.InForce), Grown: uint64(b.Grown), SeatCount: uint32(max(0, b.SeatCount())), Trial: b.Trial}
	for _, s := range b.Seats {
		c.Seats = append(c.Seats, s)
	}
	sort.Slice(c.Seats, func(i, j int) bool { return c.Seats[i].Seat < c.Seats[j].Seat })
	for _, k := range ident.Keys(b.Revoked) {
		c.Revoked = append(c.Revoked, b.Revoked[k])
	}
	for _, h := range b.Holds {
		c.Holds = append(c.Holds, h)
	}
	sort.Slice(c.Holds, func(i, j int) bool { return c.Holds[i].Cell < c.Holds[j].Cell })
	for k, v := range b.Floors() {
		c.Floors = append(c.Floors, &wire.Floor{Lane: string(k.Lane), Service: string(k.Service), Slots: uint32(v)})
	}
	sort.Slice(c.Floors, func(i, j int) bool {
		return c.Floors[i].Lane < c.Floors[j].Lane || c.Floors[i].Lane == c.Floors[j].Lane && c.Floors[i].Service < c.Floors[j].Service
	})
	b.core = c
	return c
}

func (b *Book) Image() []byte {
	m := &wire.Image{Stamp: b.Stamp, Index: uint64(b.Index), Version: b.Version, Generation: uint64(b.Generation), InForce: uint64(b.InForce), Grown: uint64(b.Grown), Epoch: uint64(b.Epoch), History: b.History, Trial: b.Trial, Held: b.Held, Turn: b.Turn, Tail: b.Tail, Floor: b.Floor, Format: imageFormat, Keys: b.keyLines()}
	m.Floors, m.SeatCount = b.stepLines()
	for _, n := range ident.Keys(b.Periods) {
		m.Periods = append(m.Periods, b.Periods[n])
	}
	c := b.Core()
	m.Seats, m.Holds, m.Revoked = c.Seats, c.Holds, c.Revoked
	for i := 0; i < b.order.Len(); i++ {
		if l := b.order.At(i); b.Claims[string(l.Key)] == l {
			m.Claims = append(m.Claims, l)
		}
	}
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return out
}

func ReadBook(image []byte) (*Book, error) {
	m := &wire.Image{}
	if err := proto.Unmarshal(image, m); err != nil {
		return nil, merry.Wrap(ErrImage, merry.WithCause(err))
	}
	b := NewBook()
	b.Stamp, b.Index, b.Version = m.Stamp, ident.Index(m.Index), m.Version
	b.Generation, b.InForce, b.Grown = ident.Generation(m.Generation), ident.Generation(m.InForce), ident.Generation(m.Grown)
	b.Epoch, b.History, b.Trial = ident.Epoch(m.Epoch), m.History, m.Trial
	b.Held, b.Turn, b.Tail, b.Floor = m.Held, m.Turn, m.Tail, m.Floor
	for _, p := range m.Periods {
		b.Periods[p.Region] = p
	}
	for _, s := range m.Seats {
		b.Seats[ident.Seat(s.Seat)] = s
	}
	for _, r := range m.Revoked {
		b.Revoked[ident.Seat(r.Seat)] = r
	}
	for _, h := range m.Holds {
		b.Holds[ident.Cell(h.Cell)] = h
	}
	for _, l := range m.Claims {
		b.Claims[string(l.Key)] = l
		b.order.PushBack(l)
	}
	if m.Format == 0 {
		b.fromLines(m)
		return b, nil
	}
	if m.Format > imageFormat {
		return nil, merry.Prependf(ErrImage, "format %d is of a newer build", m.Format)
	}
	if !b.readKeys(m.Keys) || !b.readSteps(m.Floors, m.SeatCount) {
		return nil, ErrImage
	}
	return b, nil
}
