package daemon

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// MaxRaisedBufferBytes is the largest buffer that the kernel is asked for while a long body or answer is
// read or written.
const MaxRaisedBufferBytes = 256 << 10

// RaisedBuffer returns the size of a buffer of the kernel for so many bytes, and its charge beyond the usual
// size; 0 if the usual size is enough.
func RaisedBuffer(bytes, usual int64) (size int, charge int64) {
	raised := min(bytes, MaxRaisedBufferBytes)
	if raised <= usual {
		return 0, 0
	}
	return int(raised), 2 * (raised - usual)
}

// RaiseReceiveBuffer lets the kernel hold more of a long body while it is read, if there is memory for it,
// and returns the function that undoes it.
func RaiseReceiveBuffer(r *http.Request, bytes int64) (settle func()) {
	c := connectionOf(r)
	if c == nil || c.options.Memory == nil {
		return func() {}
	}
	size, charge := RaisedBuffer(bytes, receiveBufferBytes)
	if charge == 0 || !c.ownClaim.GrowSpare(charge) {
		return func() {}
	}
	SetBuffers(c.Conn, size, 0)
	return func() {
		SetBuffers(c.Conn, receiveBufferBytes, 0)
		// What a client sent far ahead stays charged until the connection ends.
		if c.queued(unix.SIOCINQ) <= 2*receiveBufferBytes {
			c.ownClaim.Shrink(charge)
		}
	}
}

// RaiseSendBuffer lets the kernel hold more of a long answer, if there is memory for it. The buffer stays
// raised until the answer has left it.
func RaiseSendBuffer(r *http.Request, bytes int64) {
	c := connectionOf(r)
	if c == nil || c.options.Memory == nil {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	size, charge := RaisedBuffer(bytes, sendBufferBytes)
	if charge -= c.raisedSend; charge <= 0 || !c.ownClaim.GrowSpare(charge) {
		return
	}
	c.raisedSend += charge
	SetBuffers(c.Conn, 0, size)
}

// settleSendBuffer lowers a raised buffer of an idle connection once its client has taken the answer.
// Until then the connection may be closed for the memory that it holds.
func (c *clientConn) settleSendBuffer() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.raisedSend == 0 {
		return
	}
	if c.queued(unix.SIOCOUTQ) > 2*sendBufferBytes {
		c.ownClaim.AllowRevocation(func() { reset(c) })
		return
	}
	SetBuffers(c.Conn, 0, sendBufferBytes)
	c.ownClaim.Shrink(c.raisedSend)
	c.raisedSend = 0
}

// queued returns how many bytes the kernel holds for the connection, by one of its requests for the size
// of a queue; 0 if it doesn't say.
func (c *clientConn) queued(request uint) (bytes int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { bytes, _ = unix.IoctlGetInt(int(fd), request) })
	return bytes
}
