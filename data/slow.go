package data

import (
	"net/http"
	"sync"
	"time"

	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/quota"
)

const (
	// slowAfter is how long a client may take for a piece of a transfer before it counts as slow.
	slowAfter = 100 * time.Millisecond
	// A client is also slow if, in lagTime of waiting for it, fewer bytes came than lagBytesPerSecond.
	lagTime           = time.Second
	lagBytesPerSecond = 1 << 20
)

// slowWatch reports whether a client holds up the steps of a transfer. It isn't used by several goroutines
// at once.
type slowWatch struct {
	report func(slow bool)
	// claim, if not nil, may be revoked while the client is slow.
	claim *quota.Claim
	// reset closes the client's connection.
	reset func()

	lock sync.Mutex
	// running is set during a step, stalled in one that takes too long, lagging if the last steps together
	// did; slow is what was reported.
	running, stalled, lagging, slow bool
	// waited is the time that the last steps took, and moved the bytes that they brought.
	waited time.Duration
	moved  int64
}

// watchClient returns a watch that tells a client's connection.
func watchClient(r *http.Request) *slowWatch {
	return &slowWatch{report: func(slow bool) { daemon.SetSlow(r, slow) }, reset: func() { daemon.ResetClient(r) }}
}

// watchSlow returns a watch that tells a client's connection and the reducer, by the ID of the request or
// of its hedge.
func (n *Node) watchSlow(pending *call, id ident.RequestID) *slowWatch {
	watch := watchClient(pending.req)
	watch.report = func(slow bool) {
		daemon.SetSlow(pending.req, slow)
		n.Put(TransferSlow{id, slow})
	}
	return watch
}

// during runs a step that waits for the client and returns how many bytes it moved.
func (w *slowWatch) during(step func() (bytes int)) {
	w.begin()
	timer := time.AfterFunc(slowAfter, w.expire)
	started := ident.Now()
	bytes := step()
	timer.Stop()
	w.end(int64(bytes), ident.Now().Sub(started))
}

func (w *slowWatch) begin() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.running = true
}

// expire records that the present step takes too long.
func (w *slowWatch) expire() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.stalled = w.running; w.stalled {
		w.reportChange()
	}
}

func (w *slowWatch) end(bytes int64, took time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.running, w.stalled = false, false
	w.waited, w.moved = w.waited+took, w.moved+bytes
	if w.waited >= lagTime {
		w.lagging = float64(w.moved) < w.waited.Seconds()*lagBytesPerSecond
		w.waited, w.moved = 0, 0
	}
	w.reportChange()
}

// reportChange needs the lock.
func (w *slowWatch) reportChange() {
	slow := w.stalled || w.lagging
	if slow == w.slow {
		return
	}
	if w.slow = slow; slow {
		w.claim.AllowRevocation(w.reset)
	} else {
		w.claim.ForbidRevocation()
	}
	w.report(slow)
}

// finish records that the transfer has ended.
func (w *slowWatch) finish() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.running, w.stalled, w.lagging = false, false, false
	w.reportChange()
}
