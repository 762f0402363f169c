package daemon

import (
	"errors"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sloeturn/boot"
)

const (
	// startRetryInterval is the pause between two attempts to open something at the start.
	startRetryInterval = 100 * time.Millisecond
	// startReportInterval is how often the log repeats what the start waits for.
	startReportInterval = 5 * time.Second
)

// passingErrors are the errors of opening an address that end without a change of the settings: a
// predecessor or another program still uses the address, the interface isn't up yet, or the machine
// lacks descriptors or memory.
var passingErrors = []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// AddressMayBecomeFree reports whether an error of opening an address may pass by itself.
func AddressMayBecomeFree(err error) bool {
	for _, passing := range passingErrors {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// AwaitOpen calls open until it succeeds, fails with an error that doesn't pass by itself, or stopped is
// closed. It returns the error of the last call.
func AwaitOpen(logger log.Logger, stopped <-chan struct{}, mayPass func(error) bool, open func() error) error {
	var reportedAt time.Time
	for {
		err := open()
		if err == nil || !mayPass(err) {
			return err
		}
		if time.Since(reportedAt) >= startReportInterval {
			reportedAt = time.Now()
			level.Warn(logger).Log("part", "main", "msg", "The start waits for what is not free yet.", "why", boot.ErrorChain(err))
		}
		select {
		case <-stopped:
			return err
		case <-time.After(startRetryInterval):
		}
	}
}
