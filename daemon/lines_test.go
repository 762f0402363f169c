package daemon

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sloeturn/quota"
)

// Guards against lines that are joined, cut or lost, however their bytes arrive.
func TestLinesAreReadAsTheyWereSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.Map(rapid.IntRange(0, 20000), func(n int) string { return strings.Repeat("x", n) }), 1, 8).Draw(t, "lines")
		var source io.Reader = strings.NewReader(strings.Join(lines, "\n"))
		if rapid.Bool().Draw(t, "halves") {
			source = iotest.HalfReader(source)
		}
		memory := quota.NewMemory(8 << 20)
		reader := &LineReader{source: source, claim: memory.NewClaim(), limit: 20000}
		var got []string
		for {
			line, err := reader.Next()
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
			got = append(got, string(line))
		}
		if lines[len(lines)-1] == "" {
			lines = lines[:len(lines)-1]
		}
		require.Equal(t, len(lines), len(got))
		for i := range lines {
			require.Equal(t, lines[i], got[i])
		}
		require.Less(t, memory.Usage().Peak, int64(400<<10))
		reader.Release()
		require.Zero(t, memory.Usage().Used)
	})
}

func TestALineThatIsTooLongOrFindsNoRoomIsNotRead(t *testing.T) {
	for limit, want := range map[int]error{1000: ErrLineTooLong, 1 << 20: ErrNoMemory} {
		memory := quota.NewMemory(300 << 10)
		reader := &LineReader{source: strings.NewReader(strings.Repeat("x", 200<<10)), claim: memory.NewClaim(), limit: limit}
		_, err := reader.Next()
		require.ErrorIs(t, err, want)
	}
	broken := &LineReader{source: iotest.ErrReader(http.ErrBodyReadAfterClose), limit: 10}
	_, err := broken.Next()
	require.ErrorIs(t, err, http.ErrBodyReadAfterClose)
}
