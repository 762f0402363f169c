package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/boot"
)

// smallSettings are those of a process with little memory.
func smallSettings() *boot.Settings { return settingsOf(64, 500) }

func settingsOf(memoryMB, descriptors int) *boot.Settings {
	settings := &boot.Settings{MemoryMB: memoryMB}
	settings.Descriptors = descriptors
	return settings
}

// serveWith serves a handler at an address with the options of its listener.
func serveWith(t *testing.T, options ListenerOptions, handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Listener = LimitClients(server.Listener, options)
	TrackClients(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// Guards against callers of one service address that take all memory of another.
func TestEachServiceAddressHasMemoryOfItsOwn(t *testing.T) {
	limits := NewProcessLimits(smallSettings())
	answer := func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusNoContent) }
	metrics := serveWith(t, limits.Monitoring(), answer)
	others := []*httptest.Server{serveWith(t, limits.Monitoring(), answer), serveWith(t, limits.Operators(), answer), serveWith(t, limits.Clients(), answer)}
	for range 300 {
		c, err := net.Dial("tcp", metrics.Listener.Addr().String())
		if err != nil {
			continue
		}
		defer c.Close()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 3000))
	}
	for _, other := range others {
		resp, err := http.Get(other.URL)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}
}

// Guards against connections that are refused because of what other connections bring.
func TestAConnectionHasItsMemoryHoweverMuchOthersTake(t *testing.T) {
	limits := NewProcessLimits(smallSettings())
	options := limits.Clients()
	for claim := limits.ClientMemory().NewClaim(); claim.Grow(1000, 0); {
	}
	server := serveWith(t, options, func(w http.ResponseWriter, r *http.Request) {})
	for range options.Connections.Usage().Limit {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
	}
	eventually(t, "a connection is refused", func() bool {
		return options.Connections.Usage().Open == options.Connections.Usage().Limit
	})
	require.Zero(t, options.Connections.Usage().Refused)
}

// Guards against a sum of all parts above what clients may take.
func TestThePartsOfTheClientsMemoryAddUp(t *testing.T) {
	for _, memoryMB := range []int{16, 64, 284, 4096} {
		settings := settingsOf(memoryMB, 3000)
		limits := NewProcessLimits(settings)
		sum := int64(limits.backlog) * initialWindowBytes
		for _, options := range []ListenerOptions{limits.Clients(), limits.Operators(), limits.Monitoring(), limits.Monitoring()} {
			sum += options.Memory.Usage().Limit + int64(options.Connections.Usage().Limit)*connectionBytes
		}
		require.LessOrEqual(t, sum, settings.ClientMemoryBytes()+minBacklog*initialWindowBytes, "%d MB", memoryMB)
	}
}

// Guards against a client that sends all of a long body before it reads, and never sees the refusal.
func TestARefusalBeforeTheBodyWasReadIsHeard(t *testing.T) {
	const length = 8 << 20
	server, limits := limitedServer(t, 8<<20, 4, func(w http.ResponseWriter, r *http.Request) {
		PrepareEarlyAnswer(w)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		DrainBody(w, r)
	})
	before := BodiesDrained.Load()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(answer), "HTTP/1.1 413 "), string(answer))
	require.Equal(t, before+1, BodiesDrained.Load())
	require.Less(t, limits.Memory.Usage().Peak, int64(1<<20))
}
