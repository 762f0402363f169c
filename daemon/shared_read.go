package daemon

import (
	"context"
	"sync"
)

// SharedRead runs a function for many callers at once. A caller gets the result of a run that began after it
// called, so that it sees whatever was true before; those that call during a run share the next one. What
// they make the process hold doesn't grow with their number.
type SharedRead[T any] struct {
	// Read is called by one goroutine at a time.
	Read func() T

	lock    sync.Mutex
	running bool
	// next is the run that has not begun yet, nil if nobody waits for one.
	next *sharedRun[T]
}

// sharedRun is one run of the function.
type sharedRun[T any] struct {
	// result is set before ended is closed.
	result T
	ended  chan struct{}
}

// Get returns the result of a run; false if the context ends before.
func (s *SharedRead[T]) Get(ctx context.Context) (result T, ok bool) {
	run := s.join()
	select {
	case <-run.ended:
		return run.result, true
	case <-ctx.Done():
		return result, false
	}
}

func (s *SharedRead[T]) join() *sharedRun[T] {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.next == nil {
		s.next = &sharedRun[T]{ended: make(chan struct{})}
	}
	if !s.running {
		s.running = true
		go s.runAll()
	}
	return s.next
}

// runAll runs the function until nobody waits.
func (s *SharedRead[T]) runAll() {
	for run := s.begin(); run != nil; run = s.begin() {
		run.result = s.Read()
		close(run.ended)
	}
}

// begin returns the run that begins now, nil if there is none.
func (s *SharedRead[T]) begin() *sharedRun[T] {
	s.lock.Lock()
	defer s.lock.Unlock()
	run := s.next
	s.next, s.running = nil, run != nil
	return run
}
