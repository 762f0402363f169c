package ledger

import (
	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

// Kinds of a seat's marks: its lease is revoked, it is fenced, it is restored.
const (
	Revoke uint32 = iota + 1
	Fence
	Restore
)

// lease applies the marks of seats. An entry of a leader that doesn't heed revocations voids them all, for its words let a revoked seat serve on.
func (b *Book) lease(c *wire.Noop) {
	if !c.GetHeeds() {
		clear(b.Revoked)
		return
	}
	for _, m := range c.Seats {
		k := ident.Seat(m.Seat)
		v, r := b.Seats[k], b.Revoked[k]
		switch {
		case v == nil || v.Member != m.Member || v.Incarnation != m.Incarnation:
		case m.Kind == Revoke && r == nil:
			b.Revoked[k] = &wire.Revoked{Seat: m.Seat, Member: m.Member, Incarnation: m.Incarnation, Version: b.Version}
		case r == nil || r.Version != m.Version:
		case m.Kind == Fence:
			n := proto.Clone(r).(*wire.Revoked)
			n.Fenced = true
			b.Revoked[k] = n
		case m.Kind == Restore:
			delete(b.Revoked, k)
		}
	}
}
