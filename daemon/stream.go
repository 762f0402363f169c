package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"sloeturn/ident"
	"sloeturn/wire"
)

// Decision is one entry of the stream in which a process reports its decisions to operators.
type Decision struct {
	Position   uint64 `json:"position"`
	AtMs       int64  `json:"atMs"`
	Generation uint64 `json:"generation"`
	Decision   string `json:"decision"`
	Index      uint64 `json:"index,omitempty"`
	Visit      string `json:"visit,omitempty"`
	Lane       string `json:"lane,omitempty"`
	From       string `json:"from,omitempty"`
	To         string `json:"to,omitempty"`
	Service    string `json:"service,omitempty"`
	Backend    string `json:"backend,omitempty"`
	Cell       string `json:"cell,omitempty"`
	Member     string `json:"member,omitempty"`
	Seat       *int   `json:"seat,omitempty"`
	Note       string `json:"note,omitempty"`
}

// DeregistrationAnswered is the decision that names the process which answered a drain or deregistration
// that was forwarded to the holder of its cell.
func DeregistrationAnswered(announcement *wire.Announce, by string, reply *wire.AnnounceReply) Decision {
	return Decision{Decision: "goodbye answered", Backend: announcement.Addr, Service: announcement.Service, Cell: announcement.Cell, Member: by, Note: fmt.Sprintf("%d %s", reply.Code, reply.Text)}
}

// DecisionStream keeps the newest decisions in a ring buffer for readers that follow it.
type DecisionStream struct {
	incarnation string
	lock        sync.Mutex
	capacity    uint64
	ring        []Decision
	next        uint64
	added       chan struct{}
}

// NewDecisionStream returns a stream that keeps up to size decisions.
func NewDecisionStream(size int, incarnation ident.Incarnation) *DecisionStream {
	return &DecisionStream{incarnation: strconv.FormatUint(uint64(incarnation), 16), capacity: uint64(max(1, size)), next: 1}
}

// Add appends a decision and wakes the followers.
func (s *DecisionStream) Add(decision Decision, now ident.Moment) {
	decision.AtMs = int64(now) / 1e6
	s.lock.Lock()
	decision.Position = s.next
	if index := (s.next - 1) % s.capacity; index < uint64(len(s.ring)) {
		s.ring[index] = decision
	} else {
		s.ring = append(s.ring, decision)
	}
	s.next++
	if s.added != nil {
		close(s.added)
		s.added = nil
	}
	s.lock.Unlock()
}

// Read returns up to limit decisions from a position, the position after them, the number that were
// already overwritten, and a channel that is closed when more are added.
func (s *DecisionStream) Read(from uint64, limit int) (decisions []Decision, next uint64, lost uint64, added <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	oldest := uint64(1)
	if s.next > s.capacity {
		oldest = s.next - s.capacity
	}
	if from < oldest {
		if from > 0 {
			lost = oldest - from
		}
		from = oldest
	}
	for from < s.next && len(decisions) < limit {
		decisions = append(decisions, s.ring[(from-1)%s.capacity])
		from++
	}
	if s.added == nil {
		s.added = make(chan struct{})
	}
	return decisions, from, lost, s.added
}

// Follow hands decisions to a function as they are added, until the context ends or it fails.
func (s *DecisionStream) Follow(ctx context.Context, from uint64, handle func([]Decision, uint64) error) error {
	for {
		decisions, next, lost, added := s.Read(from, 1024)
		if len(decisions) > 0 || lost > 0 {
			if err := handle(decisions, lost); err != nil {
				return err
			}
		}
		from = next
		if len(decisions) > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-added:
		}
	}
}

// ServeHTTP answers with decisions as JSON lines, filtered by lane, request or decision. A reader that
// names another incarnation starts over, because positions begin anew with each.
func (s *DecisionStream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if query.Get("from") != "" && err != nil {
		WriteError(w, 400, "from must be a position", nil)
		return
	}
	matches := func(d Decision) bool {
		return (query.Get("lane") == "" || query.Get("lane") == d.Lane) && (query.Get("visit") == "" || query.Get("visit") == d.Visit) && (query.Get("decision") == "" || query.Get("decision") == d.Decision)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("Sloeturn-Life", s.incarnation)
	encoder := json.NewEncoder(w)
	if known := query.Get("life"); known != "" && known != s.incarnation {
		encoder.Encode(map[string]any{"restarted": true, "life": s.incarnation})
		from = 0
	}
	write := func(decisions []Decision, lost uint64) error {
		if lost > 0 {
			encoder.Encode(map[string]any{"lost": lost})
		}
		for _, d := range decisions {
			if matches(d) {
				if err := encoder.Encode(d); err != nil {
					return err
				}
			}
		}
		return http.NewResponseController(w).Flush()
	}
	if query.Get("follow") != "" {
		s.Follow(r.Context(), from, write)
		return
	}
	for {
		decisions, next, lost, _ := s.Read(from, 1024)
		if len(decisions) == 0 && lost == 0 || write(decisions, lost) != nil {
			return
		}
		from = next
	}
}
