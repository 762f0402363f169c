package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sloeturn/wire"
)

func (h *hand) mark(heeds bool, list ...*wire.SeatMark) {
	h.do(&wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{Heeds: heeds, Seats: list}}})
}

func on(kind, seat uint32, member string, life, version uint64) *wire.SeatMark {
	return &wire.SeatMark{Kind: kind, Seat: seat, Member: member, Incarnation: life, Version: version}
}

func TestALeaseIsRevokedFencedAndRestoredByItsOwnVersionOnly(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.set(4, 1, 40)
	h.grow()
	h.take(0)
	h.take(1)
	h.mark(true, on(Fence, 0, "n0", 1, 0), on(Restore, 0, "n0", 1, 0))
	h.mark(true, on(Revoke, 0, "n1", 1, 0), on(Revoke, 0, "n0", 2, 0), on(Revoke, 3, "n0", 1, 0), on(0, 0, "n0", 1, 0), on(9, 0, "n0", 1, 0))
	require.Empty(t, h.Revoked)
	h.mark(true, on(Revoke, 0, "n0", 1, 0), on(Revoke, 1, "n1", 1, 0))
	one := h.Version
	require.Equal(t, one, h.Revoked[0].Version)
	require.Len(t, h.Core().Revoked, 2)
	require.Equal(t, one, h.Core().Version, "the core that first holds it bears its version")
	h.mark(true, on(Revoke, 0, "n0", 1, 0))
	require.Equal(t, one, h.Revoked[0].Version, "twice is once")
	before := h.Core().Revoked[0]
	h.mark(true, on(Fence, 0, "n0", 1, one-1), on(Restore, 1, "n1", 1, one-1))
	require.False(t, h.Revoked[0].Fenced)
	require.Len(t, h.Revoked, 2)
	h.mark(true, on(Fence, 0, "n0", 1, one), on(Restore, 1, "n1", 1, one))
	require.True(t, h.Revoked[0].Fenced)
	require.False(t, before.Fenced, "what was published stays as it was")
	require.Nil(t, h.Revoked[1])
	h.mark(true, on(Restore, 0, "n0", 1, one))
	h.mark(true, on(Revoke, 0, "n0", 1, 0))
	h.mark(true, on(Fence, 0, "n0", 1, one), on(Restore, 0, "n0", 1, one))
	require.False(t, h.Revoked[0].Fenced, "a fence of the earlier revocation")
	require.NotNil(t, h.Revoked[0], "a restoring of the earlier revocation")
}

func TestRevocationsEndWithTheSeatsLifeAndGoIntoTheImage(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.set(4, 1, 40)
	h.grow()
	h.take(0)
	h.take(1)
	h.mark(true, on(Revoke, 0, "n0", 1, 0), on(Revoke, 1, "n1", 1, 0))
	h.mark(true, on(Fence, 0, "n0", 1, h.Revoked[0].Version))
	again, err := ReadBook(h.Image())
	require.NoError(t, err)
	require.True(t, again.Revoked[0].Fenced)
	require.False(t, again.Revoked[1].Fenced)
	require.Equal(t, h.Image(), again.Image())
	h.do(&wire.Change{Body: &wire.Change_SeatTake{SeatTake: &wire.SeatTake{Member: "n0", Addr: "a0", Incarnation: 2, Basis: 1, Heeds: true}}})
	require.Nil(t, h.Revoked[0])
	require.True(t, h.Seats[0].Heeds)
	h.do(&wire.Change{Body: &wire.Change_SeatFree{SeatFree: &wire.SeatFree{Seat: 1, Member: "n1", Incarnation: 1}}})
	require.Empty(t, h.Revoked)
}

func TestTheFirstEntryOfALeaderThatDoesNotHeedVoidsAllRevocations(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.set(4, 1, 40)
	h.grow()
	h.take(0)
	h.mark(true, on(Revoke, 0, "n0", 1, 0))
	h.mark(true, on(Fence, 0, "n0", 1, h.Revoked[0].Version))
	at := h.Version
	h.mark(true)
	require.NotEmpty(t, h.Revoked)
	h.mark(false, on(Revoke, 0, "n0", 1, 0))
	require.Empty(t, h.Revoked)
	require.Equal(t, at+2, h.Version, "an older book counts the same versions")
}
