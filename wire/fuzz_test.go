package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

func FuzzReadFrame(f *testing.F) {
	for _, fr := range []*Frame{{}, {From: "a", Addr: "b:1", Body: &Frame_Ask{Ask: &Ask{}}}, {Body: &Frame_News{News: &News{Core: &Core{Version: 3}}}}} {
		var b bytes.Buffer
		require.NoError(f, WriteFrame(&b, fr))
		f.Add(b.Bytes())
		f.Add(b.Bytes()[:b.Len()/2])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bytes.NewReader(in)
		for {
			fr, err := ReadFrame(r)
			if err != nil {
				return
			}
			require.NotNil(t, fr)
			var b bytes.Buffer
			if WriteFrame(&b, fr) != nil {
				return
			}
			again, err := ReadFrame(&b)
			require.NoError(t, err)
			require.True(t, proto.Equal(fr, again))
		}
	})
}
