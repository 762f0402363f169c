package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sloeturn/ident"
)

func TestLongClaimsLeaveRoomForSmallOnes(t *testing.T) {
	m := NewMemory(8 << 20)
	long, small := m.NewClaim(), m.NewClaim()
	require.False(t, long.Grow(7<<20+1, 0))
	require.True(t, long.Grow(7<<20, 0))
	require.False(t, m.NewClaim().Grow(SmallClaimBytes+1, 0))
	require.True(t, small.Grow(SmallClaimBytes, 0))
	require.Equal(t, MemoryUsage{Limit: 8 << 20, Used: 7<<20 + SmallClaimBytes, Peak: 7<<20 + SmallClaimBytes, Refused: 2}, m.Usage())
	long.Release()
	require.False(t, long.Grow(1, 0), "a released claim grows no more")
	require.True(t, m.NewClaim().Grow(1<<20, 0))
}

func TestALongClaimLeavesRoomForSmallOnesHoweverFewBytesItHas(t *testing.T) {
	m := NewMemory(8 << 20)
	for range 7 << 20 / SmallClaimBytes {
		c := m.NewClaim()
		c.SetLong()
		require.True(t, c.Grow(SmallClaimBytes, 0))
	}
	last := m.NewClaim()
	require.True(t, last.Grow(1000, 0))
	last.SetLong()
	require.False(t, last.Grow(1, 0))
	require.True(t, m.NewClaim().Grow(SmallClaimBytes, 0))
	(*Claim)(nil).SetLong()
}

func TestAClaimThatWaitsTakesWhatIsGivenBack(t *testing.T) {
	m := NewMemory(1 << 20)
	first, second := m.NewClaim(), m.NewClaim()
	require.True(t, first.Grow(800<<10, 0))
	got := make(chan bool)
	go func() { got <- second.Grow(800<<10, time.Minute) }()
	first.Shrink(400 << 10)
	first.Release()
	require.True(t, <-got)
}

func TestThoseThatHoldMostForLongestAreRevoked(t *testing.T) {
	m := NewMemory(2 << 20)
	now := ident.Now()
	claims := map[string]*Claim{}
	for name, held := range map[string]struct {
		bytes int64
		age   time.Duration
	}{"old": {200 << 10, 4 * time.Second}, "large": {400 << 10, time.Second}, "young": {300 << 10, minHoldTime / 2}} {
		c := m.NewClaim()
		require.True(t, c.Grow(held.bytes, 0))
		c.AllowRevocation(func() {})
		c.revocableSince = now.Add(-held.age)
		claims[name] = c
	}
	require.Equal(t, []*Claim{claims["old"]}, m.chooseVictims(100<<10, nil, now))
	require.Equal(t, []*Claim{claims["old"], claims["large"]}, m.chooseVictims(300<<10, nil, now))
	require.Empty(t, m.chooseVictims(700<<10, nil, now), "revoking would not free enough")
	require.Equal(t, []*Claim{claims["large"]}, m.chooseVictims(300<<10, claims["old"], now))
	claims["old"].revoked = true
	require.Empty(t, m.chooseVictims(200<<10, nil, now), "a revoked claim is about to be released")
	require.Len(t, m.chooseVictims(300<<10, nil, now), 1)
	taken, freed, victims := m.take(m.NewClaim(), 1200<<10, true, now)
	require.False(t, taken)
	require.NotNil(t, freed)
	require.Len(t, victims, 1)
	require.Equal(t, uint64(1), m.Usage().Revoked)
}

// Guards against a sum of claims above the limit, and against bytes that are never given back.
func TestInWhateverOrderTheSumStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(1 << 20)
		var claims []*Claim
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(claims) == 0 || rapid.Bool().Draw(t, "new") {
				claims = append(claims, m.NewClaim())
			}
			c := claims[rapid.IntRange(0, len(claims)-1).Draw(t, "claim")]
			bytes := rapid.Int64Range(0, 600<<10).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				c.Grow(bytes, 0)
			case 2:
				c.Shrink(bytes)
			case 3:
				c.Release()
			}
			sum := int64(0)
			for _, c := range claims {
				sum += c.bytes
			}
			require.Equal(t, sum, m.Usage().Used)
			require.LessOrEqual(t, sum, int64(1<<20))
		}
		for _, c := range claims {
			c.Release()
		}
		require.Zero(t, m.Usage().Used)
	})
}

func TestWithoutALimitEverythingIsGranted(t *testing.T) {
	var m *Memory
	c := m.NewClaim()
	require.True(t, c.Grow(1<<40, 0))
	c.AllowRevocation(nil)
	c.Shrink(1)
	c.Release()
	require.Zero(t, m.Usage())
}
