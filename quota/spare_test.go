package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWhatIsTakenForSpeedLeavesHalfOfTheMemoryFree(t *testing.T) {
	m := NewMemory(1 << 20)
	c := m.NewClaim()
	require.True(t, c.GrowSpare(512<<10))
	require.False(t, c.GrowSpare(1))
	require.True(t, m.NewClaim().Grow(200<<10, 0))
	require.Equal(t, MemoryUsage{Limit: 1 << 20, Used: 712 << 10, Peak: 712 << 10}, m.Usage(), "it is no refusal")
	c.Release()
	require.False(t, c.GrowSpare(1))
	require.True(t, (*Claim)(nil).GrowSpare(1))
}
