package main

import (
	"os"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log/level"

	"sloeturn/boot"
	"sloeturn/data"
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
	reload := func() {
		n, bad := boot.Read(a.Flags, nil)
		set.Reloaded(n, bad, log)
	}
	if err := data.Serve(set, log, reload); err != nil {
		level.Error(log).Log("part", "main", "msg", "Stopped.", "why", boot.Why(err))
		os.Exit(1)
	}
}
