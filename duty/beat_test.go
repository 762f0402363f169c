package duty

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestABeatStandsOnlyWhileItsSendersConnectionDoes(t *testing.T) {
	heard, look, said := make(chan struct{}), make(chan struct{}), make(chan bool)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		heard <- struct{}{}
		<-look
		said <- Stands(r)
	}))
	srv.Config.ConnContext = WithConn
	srv.Start()
	defer srv.Close()
	for _, gone := range []bool{false, true} {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		io.WriteString(c, "POST /beats HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
		<-heard
		if gone {
			c.Close()
		}
		look <- struct{}{}
		require.Equal(t, !gone, <-said)
		c.Close()
	}
}
