package data

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against long payloads that pass through the short buffers, and short ones that raise them.
func TestOnlyALongPayloadRaisesTheBufferAndOnlyOnce(t *testing.T) {
	for size, want := range map[int]int{longPayloadBytes: 0, longPayloadBytes + 1: 1, 20 * longPayloadBytes: 1} {
		raised, lowered := 0, 0
		source := &raisingReader{Reader: strings.NewReader(strings.Repeat("x", size)), raise: func(bytes int64) func() {
			require.EqualValues(t, longPayloadBytes*longPayloadFactor, bytes)
			raised++
			return func() { lowered++ }
		}}
		read, err := io.Copy(io.Discard, source)
		require.NoError(t, err)
		require.EqualValues(t, size, read)
		source.settle()
		require.Equal(t, []int{want, want}, []int{raised, lowered}, "%d bytes", size)
	}
}
