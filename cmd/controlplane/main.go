package main

import (
	"os"
	"time"

	"net/http"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log/level"

	"sloeturn/boot"
	"sloeturn/control"
	"sloeturn/duty"
	"sloeturn/ident"
)

type args struct {
	boot.Flags
	boot.DiskFlags
}

func (args) Version() string { return "controlplane " + boot.Build }
func (args) Description() string {
	return "sloeturn's control plane: agrees on the desired state, holds cells, keeps the ledger."
}

func main() {
	var a args
	arg.MustParse(&a)
	set, faults := boot.Read(a.Flags, &a.DiskFlags)
	if len(faults) > 0 {
		boot.Fail(faults)
	}
	log := boot.NewLogger(os.Stderr, set.LogLevel, set.Name)
	n, err := control.NewNode(control.Boot{
		Member: ident.Member(set.Name), Addr: ident.Addr(set.Address), HTTP: set.HTTP + "," + set.Operators, Cell: ident.Cell(set.Cell),
		Incarnation: ident.NewIncarnation(), Seeds: boot.Addrs(set.Seeds), Founders: boot.Addrs(set.Founders), Build: boot.Build, Seed: int64(ident.NewIncarnation()),
	}, control.Disks{Path: set.Data, Files: set.Files, Size: int64(set.FileMB) << 20}, log)
	if err != nil {
		level.Error(log).Log("part", "main", "msg", "Cannot start.", "why", err)
		os.Exit(1)
	}
	if err := n.Open(); err != nil {
		level.Error(log).Log("part", "main", "msg", "Cannot start.", "why", err)
		os.Exit(1)
	}
	level.Info(log).Log("part", "main", "msg", "Started.", "build", boot.Build, "address", set.Address, "http", set.HTTP, "operators", set.Operators)
	app := &duty.App{
		Log: log, Name: set.Name, Build: boot.Build, Ended: n.Ended(),
		HTTP: map[string]http.Handler{set.HTTP: n.Registry(), set.Operators: n.Operators()},
		Drain: func() {
			n.Put(control.Drain{})
			time.AfterFunc(set.Drain(), func() {
				level.Warn(log).Log("part", "main", "msg", "The drain took too long; stopped.")
				os.Exit(1)
			})
		},
		Reload: func() { set.Reloaded(a.Flags, &a.DiskFlags, log) },
	}
	if err := app.Run(); err != nil {
		level.Error(log).Log("part", "main", "msg", "Stopped.", "why", err)
		os.Exit(1)
	}
	n.Close()
	level.Info(log).Log("part", "main", "msg", "Ended.")
}
