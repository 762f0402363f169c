package ledger

import (
	"fmt"
	"slices"
	"sort"

	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	HeldMost      = 256
	HeldBytesMost = 4 << 20
	takenOutKept  = 64
)

const (
	Opened = iota + 1
	Lengthened
	Closed
	TakenBack
	Doubted
)

func (b *Book) Open(region string) *wire.Period {
	if p := b.Periods[region]; p != nil && p.Open {
		return p
	}
	return nil
}

func (b *Book) OpenRegions() []string {
	var out []string
	for n, p := range b.Periods {
		if p.Open {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

func (b *Book) ByHeld(id string) *wire.Held {
	for _, h := range b.Held {
		if h.ChangeId == id && !h.Applied {
			return h
		}
	}
	return nil
}

func (b *Book) ByPlace(place uint64) *wire.Held {
	for _, h := range b.Held {
		if h.Place == place && !h.Applied {
			return h
		}
	}
	return nil
}

func (b *Book) TookOut(id string) bool { return slices.Contains(b.TakenOut, id) }

// Stands names the end of the queue that a change must stand on, beside the generation; 0 when nothing is held.
func (b *Book) Stands() uint64 {
	if len(b.Held) == 0 {
		return 0
	}
	return b.Tail
}

func (b *Book) EndEdition() uint64 {
	for i := len(b.Held) - 1; i >= 0; i-- {
		if e := b.Held[i].Edition; e > 0 {
			return e
		}
	}
	return b.Edition(b.Generation)
}

func (b *Book) HeldBytes() int {
	n := 0
	for _, h := range b.Held {
		n += len(h.Patch)
	}
	return n
}

func (b *Book) next(l *wire.DesiredLine) {
	b.Generation++
	l.Generation, l.Stamp = uint64(b.Generation), b.Stamp
	b.History = append(b.History, l)
	for len(b.History) > HistoryKept && b.History[0].Generation < uint64(b.Grown) {
		delete(b.states, ident.Generation(b.History[0].Generation))
		b.History = append([]*wire.DesiredLine(nil), b.History[1:]...)
	}
}

func (b *Book) fits(basis, turn uint64) bool { return basis == uint64(b.Generation) && turn == b.Turn }

func (b *Book) holdBack(c *wire.HoldBack) Result {
	if c.Held == nil {
		return Result{Code: Invalid, Generation: b.Generation}
	}
	if l := b.ByChange(c.Held.ChangeId); l != nil {
		return Result{Code: Done, Generation: ident.Generation(l.Generation)}
	}
	if h := b.ByHeld(c.Held.ChangeId); h != nil {
		return Result{Code: Held, Generation: b.Generation, Place: h.Place}
	}
	if !b.fits(c.Basis, c.Turn) {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.Turn++
	b.Floor = max(b.Floor, c.Held.Edition)
	now := len(c.Doc) > 0
	if !now || len(b.Held) > 0 {
		b.Tail++
		h := c.Held
		b.Held = append(b.Held, &wire.Held{Place: b.Tail, ChangeId: h.ChangeId, Author: h.Author, Patch: h.Patch, Regions: h.Regions, Edition: h.Edition, Stamp: b.Stamp, Applied: now})
	}
	if !now {
		return Result{Code: Held, Generation: b.Generation, Place: b.Tail}
	}
	if b.Trial != nil && len(c.Trial) > 0 {
		b.Trial = &wire.Trial{ChangeId: b.Trial.ChangeId, Basis: uint64(b.Generation) + 1, Doc: c.Trial, Only: b.Trial.Only}
	} else {
		b.Trial = nil
	}
	b.next(&wire.DesiredLine{ChangeId: c.Held.ChangeId, Doc: c.Doc, Author: c.Held.Author})
	b.turn()
	return Result{Generation: b.Generation}
}

func (b *Book) takeOut(c *wire.TakeOut) Result {
	if b.TookOut(c.ChangeId) {
		return Result{Generation: b.Generation}
	}
	i := slices.IndexFunc(b.Held, func(h *wire.Held) bool { return h.Place == c.Place && !h.Applied })
	if !b.fits(c.Basis, c.Turn) || i < 0 {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.Turn++
	b.Tail++
	b.Held = slices.Delete(slices.Clone(b.Held), i, i+1)
	if n := len(b.Held); n > 0 && c.Edition > 0 {
		h := b.Held[n-1]
		b.Held[n-1] = &wire.Held{Place: h.Place, ChangeId: h.ChangeId, Author: h.Author, Patch: h.Patch, Regions: h.Regions, Edition: c.Edition, Stamp: h.Stamp, Applied: h.Applied}
		b.Floor = max(b.Floor, c.Edition)
	}
	b.settle()
	b.TakenOut = append(slices.Clone(b.TakenOut), c.ChangeId)
	b.TakenOut = b.TakenOut[max(0, len(b.TakenOut)-takenOutKept):]
	return Result{Generation: b.Generation, Place: c.Place}
}

// settle lets go of what is in force already and has nothing held before it.
func (b *Book) settle() {
	for len(b.Held) > 0 && b.Held[0].Applied {
		b.Held = b.Held[1:]
	}
}

func (b *Book) periodTurn(c *wire.PeriodTurn) Result {
	old := b.Periods[c.Region]
	p := &wire.Period{Region: c.Region, Number: old.GetNumber(), FromMs: old.GetFromMs(), UntilMs: old.GetUntilMs(), Open: old.GetOpen(), ClosedMs: old.GetClosedMs(), Doubt: old.GetDoubt()}
	ok := c.Turn == b.Turn && p.Open
	switch c.Kind {
	case Opened, Doubted:
		ok = c.Turn == b.Turn && !p.Open && c.UntilMs > p.ClosedMs
		p.Number, p.FromMs, p.UntilMs, p.Open, p.Doubt = p.Number+1, c.FromMs, c.UntilMs, true, c.Kind == Doubted
	case Lengthened:
		p.UntilMs = max(p.UntilMs, c.UntilMs)
	case Closed:
		p.Open, p.ClosedMs = false, max(p.ClosedMs, p.UntilMs)
	case TakenBack:
		ok = ok && p.Doubt
		p.Open = false
	default:
		ok = false
	}
	if !ok {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.Turn++
	b.Periods[c.Region] = p
	return Result{Generation: b.Generation}
}

func (b *Book) land(c *wire.Land) Result {
	if !b.fits(c.Basis, c.Turn) {
		return Result{Code: Stale, Generation: b.Generation}
	}
	b.Turn++
	l := &wire.DesiredLine{ChangeId: fmt.Sprintf("landing-%d", b.Generation+1), Doc: c.Doc}
	list := make([]*wire.Held, 0, len(b.Held))
	for _, h := range b.Held {
		if slices.Contains(c.Places, h.Place) && !h.Applied {
			l.Changes = append(l.Changes, h.ChangeId)
			h = &wire.Held{Place: h.Place, ChangeId: h.ChangeId, Author: h.Author, Patch: h.Patch, Regions: h.Regions, Edition: h.Edition, Stamp: h.Stamp, Applied: true}
		}
		list = append(list, h)
	}
	b.Held = list
	b.settle()
	b.Trial = nil
	b.next(l)
	b.turn()
	return Result{Generation: b.Generation}
}
