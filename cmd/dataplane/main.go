package main

import (
	"os"
	"time"

	"net/http"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log/level"

	"sloeturn/boot"
	"sloeturn/data"
	"sloeturn/duty"
	"sloeturn/ident"
)

type args struct {
	boot.Flags
}

func (args) Version() string { return "dataplane " + boot.Build }
func (args) Description() string {
	return "sloeturn's data plane: passes or refuses each visit, and forwards what passed."
}

func main() {
	var a args
	arg.MustParse(&a)
	set, faults := boot.Read(a.Flags, nil)
	if len(faults) > 0 {
		boot.Fail(faults)
	}
	log := boot.NewLogger(os.Stderr, set.LogLevel, set.Name)
	n := data.NewNode(data.Boot{
		Member: ident.Member(set.Name), Addr: ident.Addr(set.Address), HTTP: set.HTTP + "," + set.Operators, Cell: ident.Cell(set.Cell),
		Incarnation: ident.NewIncarnation(), Seeds: boot.Addrs(set.Seeds), Build: boot.Build,
	}, log)
	if err := n.Open(); err != nil {
		level.Error(log).Log("part", "main", "msg", "Cannot start.", "why", err)
		os.Exit(1)
	}
	level.Info(log).Log("part", "main", "msg", "Started.", "build", boot.Build, "address", set.Address, "http", set.HTTP, "operators", set.Operators)
	app := &duty.App{
		Log: log, Name: set.Name, Build: boot.Build, Ended: n.Ended(),
		HTTP: map[string]http.Handler{set.HTTP: n.Handler(), set.Operators: n.Operators()},
		Drain: func() {
			n.Put(data.Drain{})
			time.AfterFunc(set.Drain(), func() {
				level.Warn(log).Log("part", "main", "msg", "The drain took too long; stopped.")
				os.Exit(1)
			})
		},
		Reload: func() { set.Reloaded(a.Flags, nil, log) },
	}
	if err := app.Run(); err != nil {
		level.Error(log).Log("part", "main", "msg", "Stopped.", "why", err)
		os.Exit(1)
	}
	n.Close()
	level.Info(log).Log("part", "main", "msg", "Ended.")
}
