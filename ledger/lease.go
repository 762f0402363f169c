package ledger

import (
	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

// Kinds of a wire.SeatMark: the lease of a seat is revoked, the seat is fenced, the lease is restored.
const (
	MarkRevoke uint32 = iota + 1
	MarkFence
	MarkRestore
)

// applySeatMarks revokes, fences and restores the leases of seats. A leader of an older build doesn't
// honor revocations, and its updates let a revoked seat serve on; its first log entry therefore voids all
// revocations.
func (b *StateMachine) applySeatMarks(c *wire.Noop) {
	if !c.GetHeeds() {
		clear(b.RevokedLeases)
		return
	}
	for _, mark := range c.Seats {
		number := ident.Seat(mark.Seat)
		seat, revoked := b.Seats[number], b.RevokedLeases[number]
		switch {
		case seat == nil || seat.Member != mark.Member || seat.Incarnation != mark.Incarnation:
		case mark.Kind == MarkRevoke && revoked == nil:
			b.RevokedLeases[number] = &wire.Revoked{Seat: mark.Seat, Member: mark.Member, Incarnation: mark.Incarnation, Version: b.Version}
		case revoked == nil || revoked.Version != mark.Version:
		case mark.Kind == MarkFence:
			fenced := proto.Clone(revoked).(*wire.Revoked)
			fenced.Fenced = true
			b.RevokedLeases[number] = fenced
		case mark.Kind == MarkRestore:
			delete(b.RevokedLeases, number)
		}
	}
}
