package daemon

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout is how long a client may go on sending a body that was refused, and lingerStall for how
	// long it may pause meanwhile.
	lingerTimeout = 10 * time.Second
	lingerStall   = time.Second
	// lingerBufferBytes is how much of such a body is read at once.
	lingerBufferBytes = 32 << 10
)

// BodiesDrained counts the bodies that were read and dropped so that their clients could read an answer.
var BodiesDrained atomic.Uint64

// PrepareEarlyAnswer lets a request be answered before all of its body is read. The connection ends with
// the answer.
func PrepareEarlyAnswer(w http.ResponseWriter) {
	http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
}

// DrainBody sends the answer that was written and drops the rest of a request's body for a while. A
// connection that is closed while its client still sends is reset, and the client doesn't see the answer.
// PrepareEarlyAnswer was called before the answer was written.
func DrainBody(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	if controller.Flush() != nil || strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return
	}
	BodiesDrained.Add(1)
	SetSlow(r, true)
	defer SetSlow(r, false)
	end := time.Now().Add(lingerTimeout)
	buffer := make([]byte, lingerBufferBytes)
	for now := time.Now(); now.Before(end); now = time.Now() {
		controller.SetReadDeadline(now.Add(min(lingerStall, end.Sub(now))))
		if _, err := r.Body.Read(buffer); err != nil {
			return
		}
	}
}
