package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/quota"
)

// limitedServer serves a handler to clients that share the memory and the connections.
func limitedServer(t *testing.T, memory, connections int64, handler http.HandlerFunc) (*httptest.Server, ClientLimits) {
	limits := ClientLimits{Memory: quota.NewMemory(memory), Connections: quota.NewConnections(int(connections)), WriteTimeout: time.Minute}
	server := httptest.NewUnstartedServer(handler)
	server.Listener = LimitClients(server.Listener, ListenerOptions{ClientLimits: limits, HeadBytes: func() int64 { return 16 << 10 }})
	TrackClients(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server, limits
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, 5*time.Millisecond, what)
}

// Guards against memory or connections that stay claimed after their client has gone.
func TestWhatClientsHeldIsGivenBackHoweverTheyEnd(t *testing.T) {
	server, limits := limitedServer(t, 8<<20, 20, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/reset":
			ResetClient(r)
			claim := TakeClaim(r)
			claim.Grow(1000, 0)
			claim.Release()
		case "/json":
			_, release, err := ReadJSONBody(w, r, 1<<20)
			defer release()
			if err != nil {
				w.WriteHeader(503)
			}
		case "/long":
			RaiseSendBuffer(r, 1<<20)
			w.Write(make([]byte, 1<<20))
		case "/body":
			defer RaiseReceiveBuffer(r, 1<<20)()
			io.Copy(io.Discard, r.Body)
		}
	})
	request := func(path, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	}
	long := strings.Repeat("[1,2,3]\n", 20000)
	for _, sent := range []string{
		"", "POST", "POST / HTTP/1.1\r\nHost: x\r\nA: b\r\n", request("/", ""), request("/", "") + request("/", ""),
		request("/abort", "x"), request("/reset", "x"), request("/json", long), request("/json", long[:3000]) + request("/json", "{}"),
		strings.TrimSuffix(request("/json", long), long[100:]), request("/long", ""), request("/long", "") + request("/long", ""),
		request("/body", long) + request("/", "") + "POST", request("/", long), "no request\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a: b\r\n", 20000),
	} {
		for _, reads := range []bool{false, true} {
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			io.WriteString(c, sent)
			if reads {
				c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				io.Copy(io.Discard, c)
			}
			c.Close()
		}
	}
	eventually(t, "connections stay open", func() bool { return limits.Connections.Usage().Open == 0 })
	eventually(t, "memory stays claimed", func() bool { return limits.Memory.Usage().Used == 0 })
}

// Guards against a kept connection whose claims grow with each request.
func TestAKeptConnectionHoldsNoMoreAfterManyRequests(t *testing.T) {
	server, limits := limitedServer(t, 8<<20, 20, func(w http.ResponseWriter, r *http.Request) {
		RaiseSendBuffer(r, 200<<10)
		w.Write(make([]byte, 200<<10))
	})
	client := server.Client()
	used := int64(0)
	for i := range 200 {
		resp, err := client.Post(server.URL, "text/plain", strings.NewReader("hello"))
		require.NoError(t, err)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if i == 0 {
			used = limits.Memory.Usage().Peak
		}
	}
	require.Equal(t, 1, limits.Connections.Usage().Open)
	require.LessOrEqual(t, limits.Memory.Usage().Peak, 2*used)
}

// Guards against clients that hold all connections although they do nothing with them.
func TestAnIdleConnectionMakesRoomForANewOne(t *testing.T) {
	server, limits := limitedServer(t, 8<<20, 2, func(w http.ResponseWriter, r *http.Request) {})
	var idle []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		idle = append(idle, c)
	}
	eventually(t, "connections are not admitted", func() bool { return limits.Connections.Usage().Open == 2 })
	resp, err := http.Get(server.URL)
	require.NoError(t, err)
	resp.Body.Close()
	_, err = idle[0].Read(make([]byte, 1))
	require.Error(t, err, "the longest idle connection is closed")
	require.Equal(t, uint64(1), limits.Connections.Usage().ClosedIdle)
}

// Guards against a body, or what it decodes to, that is allocated without memory for it.
func TestABodyWithoutRoomIsRefused(t *testing.T) {
	var failed error
	served := make(chan struct{}, 1)
	server, limits := limitedServer(t, 4<<20, 20, func(w http.ResponseWriter, r *http.Request) {
		_, release, err := ReadJSONBody(w, r, 1<<20)
		defer release()
		failed = err
		RefuseUnreadBody(w, err)
		served <- struct{}{}
	})
	for body, status := range map[string]int{
		`{"a":[1,2]}`:                       200,
		strings.Repeat(" ", 300<<10):        200,
		strings.Repeat(" ", 900<<10):        503,
		strings.Repeat(",", 40<<10):         503,
		strings.Repeat(" ", 1<<20) + "more": 200,
	} {
		resp, err := http.Post(server.URL, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		resp.Body.Close()
		<-served
		require.Equal(t, status, resp.StatusCode, "%d bytes: %v", len(body), failed)
	}
	eventually(t, "memory stays claimed", func() bool { return limits.Memory.Usage().Used <= 2*connectionBytes })
}

// Guards against buffers so small that the loopback interface, whose segments are 64 KiB long, stalls bodies
// and answers for a fifth of a second at each segment.
func TestBodiesAndAnswersOfAnySizePassWithoutStalls(t *testing.T) {
	const (
		stall      = 200 * time.Millisecond
		maxStalled = 20
	)
	server, _ := limitedServer(t, 64<<20, 20, func(w http.ResponseWriter, r *http.Request) {
		size, _ := io.Copy(io.Discard, r.Body)
		RaiseSendBuffer(r, size)
		w.Write(make([]byte, size))
	})
	for _, size := range []int{10 << 10, 30 << 10, 60 << 10, 120 << 10, 900 << 10, 20 << 20} {
		start := time.Now()
		resp, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		answered, err := io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		resp.Body.Close()
		require.EqualValues(t, size, answered)
		require.Less(t, time.Since(start), maxStalled*stall, "%d bytes", size)
	}
}

// Guards against a connection that waits for itself for ever: its next head finds no room, and what the
// connection holds of an answer that its client hasn't taken is revoked for it.
func TestAConnectionThatIsRevokedForItsOwnHeadEnds(t *testing.T) {
	server, limits := limitedServer(t, 2<<20, 20, func(w http.ResponseWriter, r *http.Request) {
		RaiseSendBuffer(r, 256<<10)
		w.Write(make([]byte, 200<<10))
	})
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	request := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	io.WriteString(c, request)
	const revocableAfter = time.Second
	time.Sleep(revocableAfter)
	for usage := limits.Memory.Usage(); usage.Used < usage.Limit-100; usage = limits.Memory.Usage() {
		require.True(t, limits.Memory.NewClaim().Grow(min(1000, usage.Limit-usage.Used), 0))
	}
	require.Zero(t, limits.Memory.Usage().Revoked)
	io.WriteString(c, request)
	eventually(t, "nothing is revoked", func() bool { return limits.Memory.Usage().Revoked == 1 })
	ended := make(chan struct{})
	go func() {
		server.Config.Shutdown(t.Context())
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the connection doesn't end")
	}
}

// Guards against long answers and bodies that take the room of new connections.
func TestNewConnectionsFindRoomBesideLongAnswers(t *testing.T) {
	server, limits := limitedServer(t, 4<<20, 20, func(w http.ResponseWriter, r *http.Request) {})
	long := limits.Memory.NewClaim()
	for long.Grow(64<<10, 0) {
	}
	resp, err := http.Get(server.URL)
	require.NoError(t, err)
	resp.Body.Close()
	require.LessOrEqual(t, connectionBytes, quota.SmallClaimBytes)
}

// Guards against unfinished bodies that keep a proper one out for as long as they may take.
func TestAProperBodyFindsRoomBesideUnfinishedOnes(t *testing.T) {
	server, limits := limitedServer(t, 8<<20, 40, func(w http.ResponseWriter, r *http.Request) {
		_, release, err := ReadJSONBody(w, r, 1<<20)
		defer release()
		RefuseUnreadBody(w, err)
	})
	unfinished := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n" + strings.Repeat(" ", 300<<10)
	for range 20 {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		go io.WriteString(c, unfinished)
	}
	eventually(t, "the memory isn't full", func() bool { return limits.Memory.Usage().Refused+limits.Memory.Usage().Revoked > 0 })
	eventually(t, "a proper body is not read", func() bool {
		resp, err := http.Post(server.URL, "application/json", strings.NewReader(strings.Repeat(" ", 200<<10)))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	require.Positive(t, limits.Memory.Usage().Revoked)
}

// Guards against a connection that is closed as idle while a pipelined request is served on it: net/http
// reports no activity for a request that it has read ahead.
func TestAPipelinedRequestIsNoIdleConnection(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	var finishOnce sync.Once
	endSecond := func() { finishOnce.Do(func() { close(finish) }) }
	server, limits := limitedServer(t, 8<<20, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			close(started)
			<-finish
		}
	})
	defer endSecond()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	io.WriteString(c, "GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	<-started
	// The group is full and nobody in it is idle: the other connection is refused, which its dialer may see at
	// once.
	if other, err := net.Dial("tcp", server.Listener.Addr().String()); err == nil {
		defer other.Close()
	} else {
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
	eventually(t, "another connection is not judged", func() bool {
		usage := limits.Connections.Usage()
		return usage.Refused+usage.ClosedIdle > 0
	})
	require.Zero(t, limits.Connections.Usage().ClosedIdle)
	require.Positive(t, limits.Connections.Usage().Refused)
	endSecond()
	answers := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		resp.Body.Close()
	}
}
