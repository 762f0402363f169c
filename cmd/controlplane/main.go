package main

import (
	"os"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log/level"

	"sloeturn/boot"
	"sloeturn/control"
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
	reload := func() {
		n, bad := boot.Read(a.Flags, &a.DiskFlags)
		set.Reloaded(n, bad, log)
	}
	if err := control.Serve(set, log, reload); err != nil {
		level.Error(log).Log("part", "main", "msg", "Stopped.", "why", boot.Why(err))
		os.Exit(1)
	}
}
