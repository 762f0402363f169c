package daemon

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that is given what was read before it called.
func TestASharedReadBeginsAfterEachOfItsCallers(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	runs := 0
	s := &SharedRead[int]{Read: func() int {
		runs++
		started <- struct{}{}
		<-release
		return runs
	}}
	results := make(chan int, 100)
	get := func() {
		result, ok := s.Get(t.Context())
		require.True(t, ok)
		results <- result
	}
	go get()
	<-started
	var late sync.WaitGroup
	for range 50 {
		late.Go(get)
	}
	require.Eventually(t, func() bool {
		s.lock.Lock()
		defer s.lock.Unlock()
		return s.next != nil
	}, 10*time.Second, time.Millisecond)
	release <- struct{}{}
	require.Equal(t, 1, <-results)
	for runs := 0; runs < 50; {
		select {
		case <-started:
			release <- struct{}{}
		case result := <-results:
			require.Greater(t, result, 1)
			runs++
		}
	}
	late.Wait()
	require.LessOrEqual(t, runs, 51)
}

func TestASharedReadEndsForItsCallerWithTheContext(t *testing.T) {
	release := make(chan struct{})
	s := &SharedRead[int]{Read: func() int { <-release; return 7 }}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	_, ok := s.Get(ctx)
	require.False(t, ok)
	close(release)
	result, ok := s.Get(t.Context())
	require.True(t, ok)
	require.Equal(t, 7, result)
}
