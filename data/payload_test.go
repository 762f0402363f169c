package data

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sloeturn/desired"
	"sloeturn/quota"
)

func TestAPayloadIsWhatWasSentHoweverItComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 30000).Draw(t, "tens"))
		length := int64(len(want))
		memory := quota.NewMemory(4 << 20)
		reader := payloadReader{claim: memory.NewClaim(), limit: length}
		source := func() io.Reader {
			if rapid.Bool().Draw(t, "halves") {
				return iotest.HalfReader(bytes.NewReader(want))
			}
			return iotest.DataErrReader(bytes.NewReader(want))
		}
		whole, err := reader.readWhole(source(), length)
		require.NoError(t, err)
		known, ended, err := reader.readPieces(source(), length)
		require.NoError(t, err)
		unknown, alsoEnded, err := reader.readPieces(source(), -1)
		require.NoError(t, err)
		require.True(t, ended && alsoEnded)
		for _, p := range []payload{whole, known, unknown} {
			text, ok := p.joined(reader.claim)
			require.True(t, ok)
			require.Equal(t, string(want), string(text))
			again, err := io.ReadAll(p.reader())
			require.NoError(t, err)
			require.Equal(t, string(want), string(again))
			require.Equal(t, length, p.size)
			require.GreaterOrEqual(t, p.claimed, p.size)
			p.release(reader.claim)
		}
		require.Zero(t, memory.Usage().Used)
	})
}

// Guards against memory that stays claimed, or is allocated unclaimed, for a payload that is not kept.
func TestAPayloadThatFailsGivesItsMemoryBack(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		source io.Reader
		length int64
		memory int64
		whole  bool
		want   error
	}{
		"longer than allowed":           {strings.NewReader(strings.Repeat("x", 300<<10)), -1, 4 << 20, false, errTooLong},
		"longer than allowed, declared": {strings.NewReader(""), 300 << 10, 4 << 20, true, errTooLong},
		"no room":                       {strings.NewReader(strings.Repeat("x", 150<<10)), -1, 128 << 10, false, errNoMemory},
		"no room, in pieces":            {strings.NewReader(strings.Repeat("x", 150<<10)), 150 << 10, 128 << 10, false, errNoMemory},
		"no room, declared":             {strings.NewReader(strings.Repeat("x", 150<<10)), 150 << 10, 128 << 10, true, errNoMemory},
		"broken":                        {io.MultiReader(strings.NewReader(strings.Repeat("x", 100<<10)), iotest.ErrReader(broken)), 150 << 10, 4 << 20, false, broken},
		"cut":                           {strings.NewReader("x"), 2, 4 << 20, true, io.ErrUnexpectedEOF},
	} {
		memory := quota.NewMemory(c.memory)
		reader := payloadReader{claim: memory.NewClaim(), limit: 200 << 10}
		var err error
		if c.whole {
			_, err = reader.readWhole(c.source, c.length)
		} else {
			_, _, err = reader.readPieces(c.source, c.length)
		}
		require.ErrorIs(t, err, c.want, name)
		require.Zero(t, memory.Usage().Used, name)
	}
}

// Guards against a body that is sent twice, or in another length than its head says.
func TestARequestIsEncodedWithItsBodyOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		for _, length := range []int{0, 1, 5000, maxPieceBytes, maxPieceBytes + 1, 300000} {
			r, _ := http.NewRequest(method, "http://h.example/a/x", nil)
			r.RequestURI = "/a/x"
			pending := &call{HeaderNames: &testHeaders, lane: &desired.Lane{}, req: r, path: "/a/x"}
			want := strings.Repeat("x", length)
			var err error
			pending.body, _, err = payloadReader{limit: int64(length)}.readPieces(strings.NewReader(want), -1)
			require.NoError(t, err)
			encoded, err := pending.encode(pending.backendRequest("127.0.0.1:1", 0))
			require.NoError(t, err)
			var sent bytes.Buffer
			_, err = encoded.writeTo(&sent)
			require.NoError(t, err)
			received, err := http.ReadRequest(bufio.NewReader(&sent))
			require.NoError(t, err)
			body, err := io.ReadAll(received.Body)
			require.NoError(t, err)
			require.Equal(t, want, string(body), "%s of %d bytes", method, length)
			require.Zero(t, sent.Len())
		}
	}
}
