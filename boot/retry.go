package boot

import (
	"fmt"
	"os"
	"strings"
	"time"

	"sloeturn/desired"
)

const (
	// settingsWait is how long the start waits for settings without faults: whoever writes the file may
	// not have finished yet.
	settingsWait = 2 * time.Second
	// settingsRetryInterval is the pause between two attempts to read the settings.
	settingsRetryInterval = 50 * time.Millisecond
)

// ReadWithRetries reads settings from a file until they have no faults, for at most settingsWait, and
// returns the faults of the last attempt. The first faults are printed at once. Without a file there is
// nothing to wait for.
func ReadWithRetries(file string, read func() []desired.Fault) []desired.Fault {
	faults := read()
	if len(faults) == 0 || file == "" {
		return faults
	}
	printLines(append(faultLines(faults), fmt.Sprintf("boot: waits for settings without faults, at most %v", settingsWait)))
	for deadline := time.Now().Add(settingsWait); len(faults) > 0 && time.Now().Before(deadline); {
		time.Sleep(settingsRetryInterval)
		faults = read()
	}
	return faults
}

func faultLines(faults []desired.Fault) (lines []string) {
	for _, fault := range faults {
		lines = append(lines, fmt.Sprintf("boot: %s %s", fault.Path, fault.Text))
	}
	return lines
}

// printLines writes lines to standard error, unless nobody reads it.
func printLines(lines []string) {
	queue := newLineQueue(os.Stderr)
	queue.Write([]byte(strings.Join(lines, "\n") + "\n"))
	queue.flush(flushTimeout)
}

// ExitWithFaults prints the faults and exits with status 2.
func ExitWithFaults(faults []desired.Fault) {
	printLines(faultLines(faults))
	os.Exit(2)
}
