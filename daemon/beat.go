package daemon

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sloeturn/cell"
	"sloeturn/wire"
)

const (
	maxAnnouncementBytes = 64 << 10
	announcementTimeout  = 2500 * time.Millisecond
)

// AnnounceFunc handles a backend's announcement and returns the HTTP answer. connectionOpen reports whether
// the backend's connection is still open.
type AnnounceFunc func(ctx context.Context, a *wire.Announce, connectionOpen func() bool) (code uint32, text string)

// SetConnectionOpen records whether the sender's connection is still open. If it isn't, the heartbeat
// doesn't prove that the backend is alive now, and its number is dropped.
func SetConnectionOpen(announcement *wire.Announce, open bool) {
	if announcement.Stands = open; !open {
		announcement.Pulse = 0
	}
}

type connContextKey struct{}

// ContextWithConn is the ConnContext of a server whose handlers inspect connections.
func ContextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// ConnectionOpen reports whether the client's connection is still open.
func ConnectionOpen(r *http.Request) bool {
	c, ok := r.Context().Value(connContextKey{}).(syscall.Conn)
	if !ok || r.Context().Err() != nil {
		return false
	}
	n, err := peek(c)
	return n > 0 || err == unix.EAGAIN
}

// ClientGone reports whether a request's client has closed or reset its connection, even if bytes of a
// pipelined request are still unread. Where the connection isn't known, only the request's context is
// checked.
func ClientGone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(connContextKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(c)
	if n > 0 {
		return peerClosed(c)
	}
	return err != unix.EAGAIN && err != unix.EINTR
}

// peerClosed reports whether a peer has closed its half of a connection, whatever is still unread.
func peerClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	poll := []unix.PollFd{{Events: unix.POLLRDHUP}}
	controlErr := raw.Control(func(fd uintptr) {
		poll[0].Fd = int32(fd)
		_, err = unix.Poll(poll, 0)
	})
	return controlErr != nil || err == nil && poll[0].Revents&(unix.POLLRDHUP|unix.POLLERR) != 0
}

// ConnectionSilent reports whether a connection is open and has no unread data.
func ConnectionSilent(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := peek(s)
	return err == unix.EAGAIN
}

// peek looks for a byte to read without waiting and without consuming it.
func peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// HandleAnnouncements registers the handlers of backend announcements.
func HandleAnnouncements(mux *http.ServeMux, announce AnnounceFunc) {
	for event, state := range cell.AnnounceStates {
		mux.HandleFunc("POST /"+event+"s", func(w http.ResponseWriter, r *http.Request) { serveAnnouncement(w, r, state, announce) })
	}
}

func serveAnnouncement(w http.ResponseWriter, r *http.Request, state int, announce AnnounceFunc) {
	body, release, err := ReadJSONBody(w, r, maxAnnouncementBytes)
	defer release()
	if RefuseUnreadBody(w, err) {
		return
	}
	if err != nil {
		WriteError(w, 413, "beat too large or broken off", nil)
		return
	}
	announcement, faults := cell.ParseAnnounce(body, state)
	if len(faults) > 0 {
		WriteError(w, 422, "beat is not sound", faults)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), announcementTimeout)
	defer stop()
	code, text := announce(ctx, announcement, func() bool { return ConnectionOpen(r) })
	if code != 200 {
		w.Header().Set("Retry-After", "1")
		WriteError(w, int(code), text, nil)
		return
	}
	WriteJSON(w, 200, map[string]any{"heard": true})
}
