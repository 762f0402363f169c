package boot

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writesMost is what writing a few thousand lines may take at most.
const writesMost = time.Second

// Guards against a daemon that stands still while its log isn't read: the event loop logs.
func TestALogThatIsNotReadHoldsNothingUp(t *testing.T) {
	unread, log, err := os.Pipe()
	require.NoError(t, err)
	defer unread.Close()
	defer log.Close()
	written := make(chan struct{})
	go func() {
		l := NewLogger(log, "info", "node")
		for range 4096 {
			l.Log("level", "info", "part", "node", "msg", "The newest word of cell a is 1500 ms old.")
		}
		close(written)
	}()
	require.Eventually(t, func() bool {
		select {
		case <-written:
			return true
		default:
			return false
		}
	}, writesMost, writesMost/100, "a line waits for the log's reader")
}
