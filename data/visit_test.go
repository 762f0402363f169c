package data

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (g *gateway) open() net.Conn {
	g.beat()
	c, err := net.Dial("tcp", g.at)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

func get(path, id string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nVisit-Name: " + id + "\r\nLeft-Ms: 800\r\n\r\n"
}

func TestARequesterThatClosesItsHalfHearsNoSuccessOfOurOwn(t *testing.T) {
	g := newGateway(t, "s").up()
	for _, say := range []string{"!hang", g.sound("200 OK", "whole")} {
		g.says("/a/half", say)
		c := g.open()
		io.WriteString(c, get("/a/half", "n"))
		c.(*net.TCPConn).CloseWrite()
		b := bufio.NewReader(c)
		resp, err := http.ReadResponse(b, &http.Request{Method: "GET"})
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		if resp.StatusCode < 300 {
			require.Equal(t, "wax", resp.Header.Get("Sealed"))
			require.Equal(t, "whole", string(body))
		}
	}
}
