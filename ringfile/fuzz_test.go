package ringfile

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sloeturn/wire"
)

// FuzzRecover lays given bytes over a sound ring: it opens with a prefix of what was written, or says why not.
func FuzzRecover(f *testing.F) {
	f.Add(uint16(0), []byte{})
	f.Add(uint16(0), []byte("SLOE"))
	f.Add(uint16(4096), []byte{0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(uint16(700), make([]byte, 64))
	f.Add(uint16(4200), []byte{1, 0, 0, 0, 0, 0, 0, 0x80})
	f.Fuzz(func(t *testing.T, at uint16, in []byte) {
		dir := memDir{}
		r, _, err := Open(dir, 3, 8192)
		require.NoError(t, err)
		require.NoError(t, r.Write([]*wire.Record{hardState(1)}))
		for i := uint64(1); i <= 20; i++ {
			require.NoError(t, r.Write([]*wire.Record{entry(i, 100)}))
		}
		for _, m := range dir {
			if int(at) < len(m.now) {
				copy(m.now[at:], in)
				copy(m.kept, m.now)
			}
		}
		again, got, err := Open(dir, 3, 8192)
		if err != nil {
			return
		}
		if got != nil {
			for i, e := range got.Entries {
				require.Equal(t, got.Entries[0].Index+uint64(i), e.Index)
			}
		}
		require.NoError(t, again.Write([]*wire.Record{hardState(9)}))
	})
}
