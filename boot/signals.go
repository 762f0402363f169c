package boot

import (
	"os/signal"
	"syscall"
)

// IgnoreSignals makes the process outlive SIGHUP until the daemon handles it, and a log whose reader
// has gone. It comes first in the main function of a daemon.
func IgnoreSignals() {
	// A write to a closed standard error would end the process; it fails like any other write instead.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
}
