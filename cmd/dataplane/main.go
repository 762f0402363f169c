// Command dataplane runs one data plane node.
package main

import (
	"os"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log/level"

	"sloeturn/boot"
	_ "sloeturn/boot/hangup"
	"sloeturn/data"
	"sloeturn/desired"
)

type args struct {
	boot.Flags
}

func (args) Version() string { return "dataplane " + boot.Build }
func (args) Description() string {
	return "sloeturn's data plane: admits or refuses each request, and forwards the admitted ones to a backend."
}

func main() {
	boot.IgnoreSignals()
	var flags args
	arg.MustParse(&flags)
	var settings *boot.Settings
	faults := boot.ReadWithRetries(flags.Boot, func() (faults []desired.Fault) {
		settings, faults = boot.Read(flags.Flags, nil)
		return faults
	})
	if len(faults) > 0 {
		boot.ExitWithFaults(faults)
	}
	log := boot.NewLogger(os.Stderr, settings.LogLevel, settings.Name)
	// reload reads the settings again; only those that can change at run time take effect.
	reload := func() {
		updated, updateFaults := boot.Read(flags.Flags, nil)
		settings.ApplyAndLog(updated, updateFaults, log)
	}
	if err := data.Serve(settings, log, reload); err != nil {
		level.Error(log).Log("part", "main", "msg", "Stopped.", "why", boot.ErrorChain(err))
		log.Flush()
		os.Exit(1)
	}
}
