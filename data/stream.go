package data

import (
	"context"
	"sync"

	"sloeturn/forward"
	"sloeturn/ident"
)

type Decision struct {
	Position   uint64 `json:"position"`
	AtMs       int64  `json:"atMs"`
	Generation uint64 `json:"generation"`
	Visit      string `json:"visit"`
	Lane       string `json:"lane"`
	From       string `json:"from"`
	To         string `json:"to"`
	Backend    string `json:"backend,omitempty"`
	Note       string `json:"note,omitempty"`
}

type Stream struct {
	lock  sync.Mutex
	ring  []Decision
	next  uint64
	woken chan struct{}
}

func NewStream(size int) *Stream {
	return &Stream{ring: make([]Decision, size), next: 1, woken: make(chan struct{})}
}

func (s *Stream) Push(g ident.Generation, t forward.Trace, now ident.Moment) {
	s.Add(Decision{AtMs: int64(now) / 1e6, Generation: uint64(g), Visit: string(t.Visit), Lane: string(t.Lane), From: t.From.String(), To: t.To.String(), Backend: string(t.Addr), Note: t.Note})
}

func (s *Stream) Add(d Decision) {
	s.lock.Lock()
	d.Position = s.next
	s.ring[s.next%uint64(len(s.ring))] = d
	s.next++
	close(s.woken)
	s.woken = make(chan struct{})
	s.lock.Unlock()
}

func (s *Stream) Read(from uint64, most int) (list []Decision, next uint64, lost uint64, woken <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	oldest := uint64(1)
	if s.next > uint64(len(s.ring)) {
		oldest = s.next - uint64(len(s.ring))
	}
	if from < oldest {
		if from > 0 {
			lost = oldest - from
		}
		from = oldest
	}
	for from < s.next && len(list) < most {
		list = append(list, s.ring[from%uint64(len(s.ring))])
		from++
	}
	return list, from, lost, s.woken
}

func (s *Stream) Follow(done context.Context, from uint64, f func([]Decision, uint64) error) error {
	for {
		list, next, lost, woken := s.Read(from, 1024)
		if len(list) > 0 || lost > 0 {
			if err := f(list, lost); err != nil {
				return err
			}
		}
		from = next
		if len(list) > 0 {
			continue
		}
		select {
		case <-done.Done():
			return nil
		case <-woken:
		}
	}
}
