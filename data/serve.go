package data

import (
	"net/http"

	"github.com/go-kit/log/level"

	"sloeturn/boot"
	"sloeturn/daemon"
	"sloeturn/ident"
)

// ExtraListener is an additional HTTP address of the node. ClientFacing: the configured read timeouts apply.
type ExtraListener struct {
	Addr         string
	ClientFacing bool
	Handler      func(n *Node) http.Handler
}

// Serve runs a data plane process until its planned stop is complete.
func Serve(settings *boot.Settings, log *boot.Logger, reload func(), listeners ...ExtraListener) error {
	settings.ApplyMemoryLimits()
	n := NewNode(Config{
		Member: ident.Member(settings.Name), Addr: ident.Addr(settings.Address), HTTP: settings.HTTP + "," + settings.Operators, Cell: ident.Cell(settings.Cell),
		Incarnation: ident.NewIncarnation(), Seeds: boot.Addrs(settings.Seeds), Build: boot.Build, Decisions: settings.Decisions, LeaseDuration: settings.LeaseDuration(), MaxStaleness: settings.MaxStaleness(),
	}, log)
	if err := daemon.AwaitOpen(log, nil, daemon.AddressMayBecomeFree, n.Open); err != nil {
		return err
	}
	defer n.Close()
	level.Info(log).Log("part", "main", "msg", "Started.", "build", boot.Build, "address", settings.Address, "http", settings.HTTP, "operators", settings.Operators)
	n.ProcessMetrics.LostLogLines = log.DroppedLines
	limits := daemon.NewProcessLimits(settings)
	n.Memory = limits.ClientMemory()
	n.ProcessMetrics.Limits = limits
	app := &daemon.App{
		Log: log, Name: settings.Name, Build: boot.Build, Ended: n.Ended(), FlushLog: log.Flush,
		HTTP: map[string]http.Handler{settings.HTTP: n.LaneHandler(), settings.Operators: n.OperatorHandler()},
		Listeners: map[string]daemon.ListenerOptions{
			settings.HTTP: limits.Clients(), settings.Operators: limits.Operators(), settings.Metrics: limits.Monitoring(),
		},
		Reload: reload,
	}
	app.Drain = func() { app.DrainWithin(func() { n.Put(Drain{}) }, settings.DrainTimeout()) }
	app.MetricsAddr, app.Metrics = settings.Metrics, n.Metrics
	for _, listener := range listeners {
		app.HTTP[listener.Addr] = listener.Handler(n)
		app.Listeners[listener.Addr] = limits.Monitoring()
		if listener.ClientFacing {
			options := limits.Clients()
			options.ReadTimeouts, options.HeadBytes = n.readTimeouts, n.headBytes
			app.Listeners[listener.Addr] = options
		}
	}
	if err := app.Run(); err != nil {
		return err
	}
	level.Info(log).Log("part", "main", "msg", "Ended.")
	log.Flush()
	return nil
}
