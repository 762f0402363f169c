package data

import (
	"net/http"
	"sync"
	"time"

	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/quota"
)

// slowAfter is how long a client may take for a piece of a transfer before it counts as slow.
const slowAfter = 100 * time.Millisecond

// slowWatch reports whether a client holds up the steps of a transfer. It isn't used by several goroutines
// at once.
type slowWatch struct {
	report func(slow bool)
	// claim, if not nil, may be revoked while the client is slow.
	claim *quota.Claim
	// reset closes the client's connection.
	reset func()

	lock sync.Mutex
	// running is set during a step, slow while one is reported as slow.
	running, slow bool
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

// during runs a step that waits for the client.
func (w *slowWatch) during(step func()) {
	w.setRunning(true)
	timer := time.AfterFunc(slowAfter, w.expire)
	step()
	timer.Stop()
	w.setRunning(false)
}

func (w *slowWatch) expire() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.running && !w.slow {
		w.slow = true
		w.claim.AllowRevocation(w.reset)
		w.report(true)
	}
}

func (w *slowWatch) setRunning(running bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.running = running
	if w.slow && !running {
		w.slow = false
		w.claim.ForbidRevocation()
		w.report(false)
	}
}
