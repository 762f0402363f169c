// Package daemon holds what the control plane and data plane processes share: the event loop, the HTTP
// servers, the stream of decisions, and checks on connections.
package daemon

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"sloeturn/boot"
	"sloeturn/ident"
)

const (
	EventQueueSize = 8192
	MaxEventBatch  = 256
	TickInterval   = 5 * time.Millisecond
)

// ErrServe is returned where an address can't be listened on or served.
var ErrServe = merry.Sentinel("daemon: cannot serve")

// EventLoop runs a reducer in one goroutine. Each round steps up to MaxEventBatch queued events, then
// BeforeEffects and ApplyEffects. TickEvent is stepped every TickDelay, or TickInterval without it.
type EventLoop struct {
	Step          func(now ident.Moment, e any)
	BeforeEffects func(now ident.Moment)
	ApplyEffects  func(now ident.Moment)
	TickEvent     any
	TickDelay     func() time.Duration

	queue        chan any
	stopped      chan struct{}
	stopOnce     sync.Once
	Dropped      atomic.Uint64 // events that Offer found no room for
	SlowestBatch atomic.Int64  // longest round, in nanoseconds
}

// Open makes the queue; it comes before any other call.
func (l *EventLoop) Open() {
	l.queue = make(chan any, EventQueueSize)
	l.stopped = make(chan struct{})
}

func (l *EventLoop) Stop() { l.stopOnce.Do(func() { close(l.stopped) }) }

func (l *EventLoop) Stopped() <-chan struct{} { return l.stopped }

// Put queues an event and waits for room; false if the loop has stopped.
func (l *EventLoop) Put(e any) bool {
	select {
	case l.queue <- e:
		return true
	case <-l.stopped:
		return false
	}
}

// Offer queues an event if there is room, and otherwise counts it as dropped.
func (l *EventLoop) Offer(e any) bool {
	select {
	case l.queue <- e:
		return true
	default:
		l.Dropped.Add(1)
		return false
	}
}

// Run steps events until Stop is called.
func (l *EventLoop) Run() {
	timer := time.NewTimer(TickInterval)
	defer timer.Stop()
	lastTick := ident.Now()
	for {
		var e any
		select {
		case <-l.stopped:
			return
		case e = <-l.queue:
		case <-timer.C:
			e = l.TickEvent
		}
		now := ident.Now()
		l.Step(now, e)
		if e == l.TickEvent {
			lastTick = now
		}
		for n := 0; n < MaxEventBatch; n++ {
			select {
			case e = <-l.queue:
				l.Step(now, e)
				continue
			default:
			}
			break
		}
		l.BeforeEffects(now)
		l.ApplyEffects(now)
		pause := TickInterval
		if l.TickDelay != nil {
			pause = l.TickDelay()
		}
		timer.Reset(max(0, lastTick.Add(pause).Sub(now)))
		if d := int64(ident.Now().Sub(now)); d > l.SlowestBatch.Load() {
			l.SlowestBatch.Store(d)
		}
	}
}

// kratosLogger passes the warnings and errors of the HTTP framework to the process's log.
type kratosLogger struct{ log.Logger }

func (b kratosLogger) Log(severity klog.Level, kv ...any) error {
	if severity < klog.LevelWarn {
		return nil
	}
	return level.Warn(b.Logger).Log(append([]any{"part", "http"}, kv...)...)
}

// httpErrorWriter passes the lines that net/http logs to the process's log.
type httpErrorWriter struct{ log.Logger }

func (w httpErrorWriter) Write(line []byte) (int, error) {
	level.Warn(w.Logger).Log("part", "http", "msg", strings.TrimSpace(string(line)))
	return len(line), nil
}

// App is a daemon: its HTTP handlers by address, and its reactions to signals.
type App struct {
	Log   log.Logger
	Name  string
	Build string
	HTTP  map[string]http.Handler
	// Listeners are the limits on the clients of each address.
	Listeners map[string]ListenerOptions
	Drain     func()
	Reload    func()
	Ended     <-chan struct{}
	// MetricsAddr, if not empty, is where Metrics are served and nothing else.
	MetricsAddr string
	Metrics     http.HandlerFunc
	// FlushLog, if set, writes the last lines of the log before the process exits.
	FlushLog func()
}

// exit ends the process at once.
func (a *App) exit(code int) {
	if a.FlushLog != nil {
		a.FlushLog()
	}
	os.Exit(code)
}

// DrainWithin starts a planned stop, and ends the process if it takes longer than the limit.
func (a *App) DrainWithin(begin func(), limit time.Duration) {
	begin()
	time.AfterFunc(limit, func() {
		level.Warn(a.Log).Log("part", "main", "msg", "The drain took too long; stopped.")
		a.exit(1)
	})
}

// serveMetrics serves the metrics at a separate address. A process serves its callers without them while
// that address is held.
func (a *App) serveMetrics() {
	listener, err := a.listen(a.MetricsAddr)
	if err != nil {
		level.Error(a.Log).Log("part", "main", "msg", "The metrics are not served.", "why", boot.ErrorChain(err))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", a.Metrics)
	listener = LimitClients(listener, a.Listeners[a.MetricsAddr])
	server := a.newServer(listener, a.MetricsAddr, mux)
	server.Serve(listener)
}

// ended reports whether the planned stop is complete.
func (a *App) ended() bool {
	select {
	case <-a.Ended:
		return true
	default:
		return false
	}
}

// listen waits until an address is free, because a predecessor or another program may still hold it.
func (a *App) listen(addr string) (listener net.Listener, err error) {
	err = AwaitOpen(a.Log, a.Ended, AddressMayBecomeFree, func() (err error) {
		listener, err = net.Listen("tcp", addr)
		return err
	})
	if err != nil {
		return nil, merry.Wrap(ErrServe, merry.WithCause(err))
	}
	return listener, nil
}

// handleSignals reacts to signals. The first SIGTERM or SIGINT starts the planned stop. A further SIGTERM
// changes nothing, because supervisors repeat it and requests are still in progress; the stop has a
// time limit, and SIGKILL remains. A SIGINT during the stop, a person's second Ctrl-C, ends the process.
func (a *App) handleSignals(signals <-chan os.Signal, exit func(code int)) {
	stopping := false
	for received := range signals {
		switch {
		case received == syscall.SIGHUP:
			a.Reload()
		case !stopping:
			stopping = true
			level.Info(a.Log).Log("part", "main", "msg", "Received a signal; the planned stop begins.", "signal", received)
			a.Drain()
		case received == syscall.SIGINT:
			level.Warn(a.Log).Log("part", "main", "msg", "Stopped at the second signal.")
			exit(1)
		default:
			level.Info(a.Log).Log("part", "main", "msg", "Stopping already.")
		}
	}
}

// newServer returns a server of one address.
func (a *App) newServer(listener net.Listener, addr string, handler http.Handler) *khttp.Server {
	replaceRouter := func(http.Handler) http.Handler { return handler }
	server := khttp.NewServer(khttp.Listener(listener), khttp.Endpoint(&url.URL{Scheme: "http", Host: addr}), khttp.Timeout(0), khttp.Filter(replaceRouter))
	TrackClients(server.Server)
	server.ErrorLog = stdlog.New(httpErrorWriter{a.Log}, "", 0)
	server.ReadHeaderTimeout = HeaderTimeout
	server.IdleTimeout = IdleTimeout
	return server
}

// Run serves until the planned stop is complete. It fails with ErrServe if an address can't be listened
// on or served.
func (a *App) Run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go a.handleSignals(signals, a.exit)
	klog.SetLogger(kratosLogger{a.Log})
	opts := []kratos.Option{kratos.Name(a.Name), kratos.Version(a.Build), kratos.Logger(kratosLogger{a.Log}), kratos.Signal(syscall.SIGUSR2), kratos.StopTimeout(2 * time.Second)}
	var servers []transport.Server
	for addr, h := range a.HTTP {
		listener, err := a.listen(addr)
		if a.ended() {
			return nil
		}
		if err != nil {
			return err
		}
		servers = append(servers, a.newServer(LimitClients(listener, a.Listeners[addr]), addr, h))
	}
	if a.MetricsAddr != "" {
		go a.serveMetrics()
	}
	opts = append(opts, kratos.Server(servers...))
	app := kratos.New(opts...)
	go func() {
		<-a.Ended
		app.Stop()
	}()
	if err := app.Run(); err != nil && err != context.Canceled {
		return merry.Wrap(ErrServe, merry.WithCause(err))
	}
	return nil
}
