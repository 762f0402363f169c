package ledger

import (
	"crypto/sha256"
	"encoding/binary"

	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

// KeysKept is how many idempotency keys are remembered, the newest ones; beyond it a change sent again is judged by its basis alone.
const KeysKept = 32768

const (
	Changed = uint8(iota + 1)
	Tried
	Withdrawn
	HeldBack
	TookOut
)

// Key is what is remembered of a change that was taken, long after its document is gone.
type Key struct {
	ID         [16]byte
	Sum        uint64
	Kind       uint8
	Generation uint64
	Edition    uint64
	Place      uint64
}

func keyOf(id string) (out [16]byte) {
	sum := sha256.Sum256([]byte(id))
	copy(out[:], sum[:])
	return out
}

// Other says whether a change with this sum is not the one that was taken under the same id; a sum of 0 says nothing.
func (k *Key) Other(sum uint64) bool { return k.Sum != 0 && sum != 0 && k.Sum != sum }

func (k *Key) again(sum uint64) Result {
	r := Result{Generation: ident.Generation(k.Generation), Place: k.Place}
	switch {
	case k.Other(sum):
		r.Code = Invalid
	case k.Kind == HeldBack:
		r.Code = Held
	case k.Kind == Changed:
		r.Place = 0
	}
	return r
}

// Taken gives what was taken under a change id, or nil.
func (b *Book) Taken(id string) *Key { return b.keys[keyOf(id)] }

// ByChange gives the change that became a generation under this id, or nil.
func (b *Book) ByChange(id string) *Key {
	if k := b.Taken(id); k != nil && k.Kind == Changed {
		return k
	}
	return nil
}

func (b *Book) remember(id string, k Key) {
	k.ID = keyOf(id)
	b.keep(k)
}

func (b *Book) keep(k Key) {
	if old := b.keys[k.ID]; old != nil {
		*old = k
		return
	}
	b.keys[k.ID] = &k
	b.aged.PushBack(&k)
	for b.aged.Len() > KeysKept {
		delete(b.keys, b.aged.PopFront().ID)
	}
}

// editionOf gives the edition of a generation whose document is gone, 0 if its key is, too.
func (b *Book) editionOf(g ident.Generation) uint64 {
	for i := b.aged.Len() - 1; i >= 0; i-- {
		if k := b.aged.At(i); k.Kind == Changed && k.Generation == uint64(g) {
			return k.Edition
		}
	}
	return 0
}

func (b *Book) keyLines() *wire.Keys {
	m := &wire.Keys{}
	for i := 0; i < b.aged.Len(); i++ {
		k := b.aged.At(i)
		m.Ids = append(m.Ids, k.ID[:]...)
		m.Sums = binary.LittleEndian.AppendUint64(m.Sums, k.Sum)
		m.Kinds = append(m.Kinds, k.Kind)
		m.Generations = append(m.Generations, k.Generation)
		m.Editions = append(m.Editions, k.Edition)
		m.Places = append(m.Places, k.Place)
	}
	return m
}

func (b *Book) readKeys(m *wire.Keys) bool {
	n := len(m.GetKinds())
	if len(m.GetIds()) != 16*n || len(m.GetSums()) != 8*n || len(m.GetGenerations()) != n || len(m.GetEditions()) != n || len(m.GetPlaces()) != n {
		return false
	}
	for i := 0; i < n; i++ {
		k := Key{ID: [16]byte(m.Ids[16*i:]), Sum: binary.LittleEndian.Uint64(m.Sums[8*i:]), Kind: m.Kinds[i], Generation: m.Generations[i], Edition: m.Editions[i], Place: m.Places[i]}
		b.keep(k)
	}
	return true
}

// fromLines reads what an image of older books says of keys and steps: they lie in its whole documents.
func (b *Book) fromLines(m *wire.Image) {
	b.seats = nil
	next := uint64(b.Grown)
	if next == 0 {
		b.seats, next = newSteps(0), 1
	}
	for _, l := range m.History {
		e := desired.EditionOf(l.Doc)
		if len(l.Changes) == 0 {
			b.remember(l.ChangeId, Key{Kind: Changed, Generation: l.Generation, Edition: e})
		}
		for _, id := range l.Changes {
			b.remember(id, Key{Kind: Changed, Generation: l.Generation, Edition: e})
		}
		if l.Generation < uint64(b.Grown) {
			continue
		}
		if l.Generation != next {
			b.raise(l.Generation-1, nil)
		}
		next = l.Generation + 1
		s, faults := desired.Read(l.Doc)
		if len(faults) > 0 {
			s = nil
		}
		b.raise(l.Generation, s)
	}
	if b.seats == nil {
		b.seats = newSteps(0)
	}
	for _, id := range m.TakenOut {
		b.remember(id, Key{Kind: TookOut, Generation: m.Generation, Edition: b.EndEdition()})
	}
	for _, h := range m.Held {
		if !h.Applied {
			b.remember(h.ChangeId, Key{Kind: HeldBack, Generation: m.Generation, Edition: h.Edition, Place: h.Place})
		}
	}
	if t := m.Trial; t != nil {
		b.remember(t.ChangeId, Key{Kind: Tried, Generation: t.Basis, Edition: b.Edition(ident.Generation(t.Basis))})
	}
}
