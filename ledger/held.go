package ledger

import (
	"fmt"
	"slices"
	"sort"

	"sloeturn/wire"
)

const (
	HeldMost      = 256
	HeldBytesMost = 4 << 20
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

func (b *Book) ByPlace(place uint64) *wire.Held {
	for _, h := range b.Held {
		if h.Place == place && !h.Applied {
			return h
		}
	}
	return nil
}

func (b *Book) TookOut(id string) bool {
	k := b.Taken(id)
	return k != nil && k.Kind == TookOut
}

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
	bytes, keep := len(l.Doc), len(b.History)-1
	for keep > 0 && len(b.History)-keep < HistoryKept && bytes+len(b.History[keep-1].Doc) <= HistoryBytes {
		keep--
		bytes += len(b.History[keep].Doc)
	}
	b.History = append([]*wire.DesiredLine(nil), b.History[keep:]...)
	clear(b.states)
	b.rise()
}

func (b *Book) fits(basis, turn uint64) bool { return basis == uint64(b.Generation) && turn == b.Turn }

func (b *Book) holdBack(c *wire.HoldBack) Result {
	if c.Held == nil {
		return Result{Code: Invalid, Generation: b.Generation}
	}
	if k := b.Taken(c.Held.ChangeId); k != nil {
		return k.again(c.Sum)
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
		b.remember(c.Held.ChangeId, Key{Sum: c.Sum, Kind: HeldBack, Generation: uint64(b.Generation), Edition: c.Held.Edition, Place: b.Tail})
		return Result{Code: Held, Generation: b.Generation, Place: b.Tail}
	}
	if b.Trial != nil && len(c.Trial) > 0 {
		b.Trial = &wire.Trial{ChangeId: b.Trial.ChangeId, Basis: uint64(b.Generation) + 1, Doc: c.Trial, Only: b.Trial.Only}
	} else {
		b.Trial = nil
	}
	b.next(&wire.DesiredLine{ChangeId: c.Held.ChangeId, Doc: c.Doc, Author: c.Held.Author})
	b.remember(c.Held.ChangeId, Key{Sum: c.Sum, Kind: Changed, Generation: uint64(b.Generation), Edition: b.Edition(b.Generation)})
	b.turn()
	return Result{Generation: b.Generation}
}

func (b *Book) takeOut(c *wire.TakeOut) Result {
	if k := b.Taken(c.ChangeId); k != nil {
		return k.again(c.Sum)
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
	b.remember(c.ChangeId, Key{Sum: c.Sum, Kind: TookOut, Generation: uint64(b.Generation), Edition: b.EndEdition(), Place: c.Place})
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
	for _, id := range l.Changes {
		k := Key{Kind: Changed}
		if old := b.Taken(id); old != nil {
			k.Sum, k.Place = old.Sum, old.Place
		}
		k.Generation, k.Edition = uint64(b.Generation), b.Edition(b.Generation)
		b.remember(id, k)
	}
	b.turn()
	return Result{Generation: b.Generation}
}
