package control

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"sloeturn/boot"
	"sloeturn/daemon"
	"sloeturn/ident"
)

// ExtraListener is a further HTTP listener, with a handler that is made from the node.
type ExtraListener struct {
	Addr       string
	NewHandler func(n *Node) http.Handler
}

// Serve runs a control process by its settings until it has drained.
func Serve(set *boot.Settings, log *boot.Logger, reload func(), extra ...ExtraListener) error {
	set.ApplyMemoryLimits()
	var n *Node
	config := Config{
		Member: ident.Member(set.Name), Addr: ident.Addr(set.Address), HTTP: set.HTTP + "," + set.Operators, Cell: ident.Cell(set.Cell),
		Incarnation: ident.NewIncarnation(), Seeds: boot.Addrs(set.Seeds), Founders: boot.Addrs(set.Founders), FreshFleet: set.FreshFleet, Build: boot.Build, Seed: int64(ident.NewIncarnation()),
		Decisions: set.Decisions, LeaseDuration: set.LeaseDuration(), MaxStaleness: set.MaxStaleness(), DrainTimeout: set.DrainTimeout(), MaxLosses: set.Losses, VoterReplaceDelay: set.VoterReplaceDelay(), ClockScale: set.ClockScale,
	}
	disk := DiskConfig{Path: set.Data, Files: set.RingFiles, Size: int64(set.RingFileMB) << 20}
	if err := daemon.AwaitOpen(log, nil, DiskMayRecover, func() (err error) {
		n, err = NewNode(config, disk, log)
		return err
	}); err != nil {
		return err
	}
	if n.WallClock = set.WallClock; set.ClockScale != 0 {
		level.Warn(log).Log("part", "calendar", "msg", "The calendar's clock is sped up; this is for trials only.", "times", set.ClockScale, "now", set.WallClock().UTC().Format(time.RFC3339))
	}
	if err := daemon.AwaitOpen(log, nil, daemon.AddressMayBecomeFree, n.Open); err != nil {
		return err
	}
	defer n.Close()
	level.Info(log).Log("part", "main", "msg", "Started.", "build", boot.Build, "address", set.Address, "http", set.HTTP, "operators", set.Operators)
	n.ProcessMetrics.LostLogLines = log.DroppedLines
	limits := daemon.NewProcessLimits(set)
	n.ProcessMetrics.Limits = limits
	app := &daemon.App{
		Log: log, Name: set.Name, Build: boot.Build, Ended: n.Ended(), FlushLog: log.Flush,
		HTTP: map[string]http.Handler{set.HTTP: n.Registry(), set.Operators: n.Operators()},
		Listeners: map[string]daemon.ListenerOptions{
			set.HTTP: limits.Clients(), set.Operators: limits.Operators(), set.Metrics: limits.Monitoring(),
		},
		Reload: reload,
	}
	app.Drain = func() { app.DrainWithin(func() { n.Put(Drain{}) }, set.DrainTimeout()) }
	app.MetricsAddr, app.Metrics = set.Metrics, n.Metrics
	for _, d := range extra {
		app.HTTP[d.Addr] = d.NewHandler(n)
		app.Listeners[d.Addr] = limits.Clients()
	}
	if err := app.Run(); err != nil {
		return err
	}
	level.Info(log).Log("part", "main", "msg", "Ended.")
	log.Flush()
	return nil
}
