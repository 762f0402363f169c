package data

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/quota"
)

// longBytes is the length of a body or an answer that isn't held whole.
const longBytes = 3 << 20

// longText has no two pieces that are the same.
var longText = sync.OnceValue(func() string {
	var b strings.Builder
	for i := 0; b.Len() < longBytes; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.String()[:longBytes]
})

// limited serves the gateway with a memory for its clients, as the daemon does.
func (g *gateway) limited(t *testing.T, memory int64) *gateway {
	longText() // is made before times are short
	g.Node.Memory = quota.NewMemory(memory)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: g.RoutedHandler(testHeaders)}
	daemon.TrackClients(server)
	go server.Serve(daemon.LimitClients(listener, daemon.ListenerOptions{ReadTimeouts: g.readTimeouts, ClientLimits: daemon.ClientLimits{Memory: g.Node.Memory}}))
	t.Cleanup(func() { server.Close() })
	g.at = listener.Addr().String()
	return g.waitReady()
}

// ask sends a request on a connection of its own.
func (g *gateway) ask(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", g.at)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

func longRequest(path, framing string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nVisit-Name: long\r\nLeft-Ms: 9000\r\n" + framing
}

func inChunks(text string) string {
	var b strings.Builder
	w := httputil.NewChunkedWriter(&b)
	for len(text) > 0 {
		n := min(len(text), 50000)
		io.WriteString(w, text[:n])
		text = text[n:]
	}
	w.Close()
	return b.String() + "\r\n"
}

// serveEach replaces the gateway's only backend by one that serves each connection by a function.
func (g *gateway) serveEach(serve func(c net.Conn, b *bufio.Reader)) {
	g.listeners[0].Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(g.t, err)
	g.t.Cleanup(func() { listener.Close() })
	g.listeners[0] = listener
	go acceptAll(listener, func(c net.Conn) {
		defer c.Close()
		serve(c, bufio.NewReader(c))
	})
}

// Guards against memory that a request takes the more of the longer it is.
func TestLongBodiesAndAnswersPassThroughLittleMemory(t *testing.T) {
	const memory = 1 << 20
	body := longText()
	g := newGatewayWith(t, longDoc, "s")
	g.serveEach(func(c net.Conn, b *bufio.Reader) {
		for {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			got, err := io.ReadAll(r.Body)
			if err != nil || string(got) != body {
				return
			}
			head := "HTTP/1.1 200 OK\r\nVisit-Name: long\r\nSealed: w\r\n"
			if r.ContentLength >= 0 {
				fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			} else {
				io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"+inChunks(body))
			}
		}
	})
	g.limited(t, memory)
	for _, text := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body)} {
		c := g.ask(t, longRequest("/a/x", text))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.True(t, body == string(got), "the answer is another")
		require.False(t, resp.Close, "the connection can't be used again")
	}
	require.LessOrEqual(t, g.Node.Memory.Usage().Peak, int64(memory))
}

// Guards against an answer that breaks off midway and looks complete.
func TestALongAnswerThatBreaksOffDoesNotLookComplete(t *testing.T) {
	body := longText()
	for name, text := range map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", longBytes, body[:longBytes-1]),
		"chunked": "Transfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(inChunks(body), "0\r\n\r\n"),
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			g := newGatewayWith(t, longDoc, "s")
			g.serveEach(func(c net.Conn, b *bufio.Reader) {
				if r, err := http.ReadRequest(b); err == nil {
					io.Copy(io.Discard, r.Body)
					io.WriteString(c, "HTTP/1.1 200 OK\r\nVisit-Name: long\r\nSealed: w\r\n"+text)
				}
			})
			g.limited(t, 8<<20)
			c := g.ask(t, strings.Replace(longRequest("/r/x", "\r\n"), "HTTP/1.1", version, 1))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			require.Error(t, err, "%s to %s", name, version)
		}
	}
}

// Guards against an answer of another request that is passed on because it is long, and one without a seal.
func TestNoByteOfALongAnswerGoesOutBeforeItsHeadIsChecked(t *testing.T) {
	for _, head := range []string{"Visit-Name: other\r\nSealed: w\r\n", "Visit-Name: long\r\n", "Sealed: w\r\n", "Visit-Name: long\r\nSealed: w\r\nContent-Encoding: gzip\r\n", "Visit-Name: long\r\nSealed: w\r\nTurned-Away: full\r\n"} {
		g := newGatewayWith(t, longDoc, "s")
		g.serveEach(func(c net.Conn, b *bufio.Reader) {
			if r, err := http.ReadRequest(b); err == nil {
				io.Copy(io.Discard, r.Body)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, longBytes, longText())
			}
		})
		g.limited(t, 8<<20)
		c := g.ask(t, longRequest("/a/x", "\r\n"))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 502, resp.StatusCode, head)
	}
}

// Guards against a long body that is sent to a second backend without its beginning, and against a promise
// that it has not run.
func TestALongBodyIsSentToOneBackendOnly(t *testing.T) {
	attempts := make(chan string, 10)
	g := newGatewayWith(t, longDoc, "s")
	g.serveEach(func(c net.Conn, b *bufio.Reader) {
		if r, err := http.ReadRequest(b); err == nil {
			io.Copy(io.Discard, r.Body)
			attempts <- r.URL.Path
		}
	})
	g.limited(t, 8<<20)
	c := g.ask(t, longRequest("/r/x", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", longBytes, longText())))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, 502, resp.StatusCode)
	require.Len(t, attempts, 1)
}

// Guards against a backend that answers before it has read a body, and gets other bytes where the rest is
// due, and against a client that never sees that answer.
func TestAnEarlyAnswerToALongBodyIsHeard(t *testing.T) {
	after := make(chan int64, 10)
	g := newGatewayWith(t, longDoc, "s")
	g.serveEach(func(c net.Conn, b *bufio.Reader) {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 403 No\r\nVisit-Name: long\r\nContent-Length: 2\r\n\r\nno")
		read, _ := io.Copy(io.Discard, r.Body)
		more, _ := io.Copy(io.Discard, b)
		after <- more
		require.LessOrEqual(t, read, int64(longBytes))
	})
	g.limited(t, 8<<20)
	c := g.ask(t, longRequest("/a/x", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", longBytes, longText())))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, 403, resp.StatusCode)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "no", string(text))
	require.Zero(t, <-after)
}

// Guards against a body in chunks that turns out to be too long, whose client isn't told.
func TestALongBodyThatTurnsOutTooLongIsRefused(t *testing.T) {
	g := newGatewayWith(t, strings.ReplaceAll(longDoc, `"bodyBytes":16777216`, `"bodyBytes":1000000`), "s")
	g.serveEach(func(c net.Conn, b *bufio.Reader) {
		if r, err := http.ReadRequest(b); err == nil {
			io.Copy(io.Discard, r.Body)
		}
	})
	g.limited(t, 8<<20)
	c := g.ask(t, longRequest("/a/x", "Transfer-Encoding: chunked\r\n\r\n"+inChunks(longText())))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, 413, resp.StatusCode)
}

// Guards against the answer to a canceled attempt that is claimed and read to its end, with its slot held
// meanwhile.
func TestAnAnswerThatNobodyWaitsForIsNotReadToItsEnd(t *testing.T) {
	const endless = 1 << 30
	written, ended := make(chan int64, 1), make(chan struct{})
	g := newGatewayWith(t, strings.ReplaceAll(longDoc, `"answerBytes":33554432`, `"answerBytes":67108864`), "s")
	g.serveEach(func(c net.Conn, b *bufio.Reader) {
		defer close(ended)
		if _, err := http.ReadRequest(b); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nVisit-Name: long\r\nSealed: w\r\nTransfer-Encoding: chunked\r\n\r\n")
		total, piece := int64(0), []byte("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n")
		for total < endless {
			n, err := c.Write(piece)
			if total += int64(n); err != nil {
				break
			}
		}
		written <- total
	})
	g.limited(t, 8<<20)
	c := g.ask(t, longRequest("/r/x", "\r\n"))
	_, err := io.ReadFull(c, make([]byte, 100<<10))
	require.NoError(t, err)
	c.Close()
	require.Less(t, receive(t, written, 5*time.Second, "the backend goes on"), int64(16<<20))
	<-ended
	require.Eventually(t, func() bool { return g.held() == 0 && g.openRequests() == 0 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return g.Node.Memory.Usage().Used == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against an answer whose client has left and that is claimed although nobody waits for it. Work
// that must not be repeated is waited for.
func TestTheAnswerToWorkWhoseClientHasLeftTakesNoMemory(t *testing.T) {
	started, answer := make(chan struct{}), make(chan struct{})
	g := newGatewayWith(t, longDoc, "s")
	g.serveEach(func(c net.Conn, b *bufio.Reader) {
		if _, err := http.ReadRequest(b); err != nil {
			return
		}
		close(started)
		<-answer
		fmt.Fprintf(c, "HTTP/1.1 500 No\r\nVisit-Name: long\r\nContent-Length: %d\r\n\r\n%s", longBytes, longText())
		io.Copy(io.Discard, b)
	})
	g.limited(t, 8<<20)
	c := g.ask(t, longRequest("/a/x", "\r\n"))
	<-started
	c.Close()
	require.Eventually(t, func() bool {
		return g.query(func(s *State, now ident.Moment) any { return s.Counters["client left"] }).(uint64) == 1
	}, 5*time.Second, time.Millisecond)
	close(answer)
	require.Eventually(t, func() bool { return g.openRequests() == 0 }, 5*time.Second, time.Millisecond)
	require.Less(t, g.Node.Memory.Usage().Peak, int64(1<<20))
}
