package daemon

import (
	"bytes"
	"net/http"
	"sync"
)

// contentLengthCounter counts the lines that begin like a Content-Length header, wherever they appear,
// because net/http silently drops that header where a body is chunked.
type contentLengthCounter struct {
	lock      sync.Mutex
	lineStart []byte
	count     int
}

var contentLengthName = []byte("content-length")

func (l *contentLengthCounter) scan(b []byte) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for len(b) > 0 {
		newline := bytes.IndexByte(b, '\n')
		line := b
		if newline >= 0 {
			line = b[:newline]
		}
		if room := len(contentLengthName) - len(l.lineStart); room > 0 {
			l.lineStart = append(l.lineStart, line[:min(room, len(line))]...)
			if len(l.lineStart) == len(contentLengthName) && bytes.EqualFold(l.lineStart, contentLengthName) {
				l.count++
			}
		}
		if newline < 0 {
			return
		}
		l.lineStart, b = l.lineStart[:0], b[newline+1:]
	}
}

// FramingCertain reports whether the end of a request is certain. It isn't if a chunked request had a
// Content-Length too, or an HTTP version without chunks, where net/http would read the next request
// from the rest of the body (request smuggling).
func FramingCertain(r *http.Request) bool {
	conn, ok := r.Context().Value(connContextKey{}).(*clientConn)
	if !ok {
		return r.ProtoAtLeast(1, 1)
	}
	conn.lock.Lock()
	defer conn.lock.Unlock()
	unaccounted := conn.count
	if r.Header.Get("Content-Length") != "" {
		unaccounted--
	}
	chunked := len(r.TransferEncoding) > 0
	if !chunked {
		conn.count = max(0, unaccounted)
	}
	return r.ProtoAtLeast(1, 1) && (!chunked || unaccounted == 0)
}
