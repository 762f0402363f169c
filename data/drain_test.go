package data

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/wire"
)

// exitsWithin steps a node for a time span and reports whether it exited.
func exitsWithin(s *State, now *ident.Moment, span time.Duration) bool {
	for end := now.Add(span); *now < end; {
		*now = now.Add(5 * time.Millisecond)
		s.Step(*now, Tick{})
		for _, e := range s.TakeEffects() {
			if _, ok := e.(Exit); ok {
				return true
			}
		}
	}
	return false
}

// Guards against a planned stop that cuts off an answer which its client is still reading.
func TestANodeThatDrainsWaitsForTheAnswersThatAreBeingWritten(t *testing.T) {
	now := ident.Moment(1e9)
	s := New(Config{Member: "n", Addr: "10.0.0.1:1", Cell: "a", Incarnation: 7, Seeds: []ident.Addr{"10.0.0.2:1"}}, now)
	s.Relay.ApplyCore(&wire.Core{Version: 1, SeatCount: 1}, nil, 0, now)
	s.unwrittenAnswers["slow"] = true
	s.Step(now, Drain{})
	require.Equal(t, 1, s.Open())
	require.False(t, exitsWithin(s, &now, 20*time.Second))
	s.Step(now, AnswerWritten{"slow"})
	require.Zero(t, s.Open())
	require.True(t, exitsWithin(s, &now, time.Second))
}

// Guards against a request that counts as ended while its client is still reading the answer.
func TestARequestIsOpenUntilItsLastByteIsWrittenOrItsClientHasGone(t *testing.T) {
	const size = 16 << 20
	for _, reads := range []bool{true, false} {
		g := newGateway(t, "u").waitReady()
		g.setAnswers("/a/b/big", g.validAnswer("200 OK", strings.Repeat("0123456789abcdef", size/16)))
		c, err := net.Dial("tcp", g.at)
		require.NoError(t, err)
		defer c.Close()
		fmt.Fprintf(c, "POST /a/b/big HTTP/1.1\r\nHost: h.example\r\nVisit-Name: big\r\nLeft-Ms: 900\r\nContent-Length: 2\r\n\r\nhi")
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 200, answer.StatusCode)
		require.EqualValues(t, size, answer.ContentLength)
		delivered := func() bool {
			return g.query(func(s *State, now ident.Moment) any { return len(s.unwrittenAnswers) == 1 }).(bool)
		}
		require.Eventually(t, delivered, 2*time.Second, time.Millisecond)
		require.Equal(t, 1, g.openRequests(), "its client has not read it")
		if reads {
			body, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.Len(t, body, size)
		}
		c.Close()
		require.Eventually(t, func() bool { return g.openRequests() == 0 }, 2*time.Second, time.Millisecond)
	}
}

// Guards against a leak in the count of open requests if the client was gone before its answer came.
func TestAnAnswerWhoseClientHasGoneLeavesNothingOpen(t *testing.T) {
	g := newGateway(t, "u").waitReady()
	g.query(func(s *State, now ident.Moment) any { s.unwrittenAnswers["gone"] = true; return nil })
	require.Equal(t, 1, g.openRequests())
	g.deliver(forward.Deliver{Request: "gone"})
	require.Eventually(t, func() bool { return g.openRequests() == 0 }, 2*time.Second, time.Millisecond)
}
