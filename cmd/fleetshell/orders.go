package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"sloeturn/desired"
)

func (s *shell) put(method, path string, b []byte, gen string) (int, error) {
	id := fmt.Sprintf("shell-%d-%d", os.Getpid(), time.Now().UnixNano())
	last := error(ErrDoors)
	for i := 0; i < 3*len(s.doors); i++ {
		d := s.doors[i%len(s.doors)]
		req, err := http.NewRequest(method, "http://"+d+path, bytes.NewReader(b))
		if err != nil {
			return wrong, err
		}
		req.Header.Set("If-Match", gen)
		req.Header.Set("Sloeturn-Change-Id", id)
		req.Header.Set("Sloeturn-Author", os.Getenv("USER"))
		start := time.Now()
		c := http.Client{Timeout: 20 * time.Second}
		resp, err := c.Do(req)
		if err != nil {
			last = merry.Wrap(ErrAsk, merry.WithCause(err))
			continue
		}
		var v struct {
			Generation uint64
			Edition    uint64
			Trial      string
			Place      uint64
			Until      string
			Regions    []string
			Withdrawn  uint64
			Basis      string
			Error      string
			Faults     []desired.Fault
		}
		json.NewDecoder(resp.Body).Decode(&v)
		resp.Body.Close()
		switch resp.StatusCode {
		case 200:
			if v.Withdrawn > 0 {
				s.note("place %d is withdrawn; a change stands on %s now", v.Withdrawn, v.Basis)
				return good, nil
			}
			if v.Trial != "" {
				s.note("trial %s; generation %d stays in force", v.Trial, v.Generation)
				return good, nil
			}
			s.note("generation %d is in force, after %v", v.Generation, time.Since(start).Round(time.Millisecond))
			return good, nil
		case 202:
			if v.Until == "" {
				s.note("was held in place %d, and is not any more; generation %d stays in force", v.Place, v.Generation)
				return good, nil
			}
			s.note("held in place %d until %s, for %s stands still; generation %d stays in force", v.Place, v.Until, strings.Join(v.Regions, ", "), v.Generation)
			return good, nil
		case 412:
			s.note("another change came first: the fleet stands at generation %d, edition %d", v.Generation, v.Edition)
			if v.Basis != "" {
				s.note("changes are held; the next stands on %s", v.Basis)
			}
			return late, nil
		case 422:
			s.faults(v.Faults)
			return unsound, nil
		}
		last = merry.Wrap(ErrAsk, merry.AppendMessagef("%s answered %d: %s", d, resp.StatusCode, v.Error))
	}
	return failed, last
}

func change(method string) func(s *shell, w []string) (int, error) {
	return func(s *shell, w []string) (int, error) {
		b, err := read(w)
		if err != nil {
			return wrong, err
		}
		_, gen, err := s.end()
		if err != nil {
			return failed, err
		}
		return s.put(method, "/desired", b, gen)
	}
}

func try(s *shell, w []string) (int, error) {
	if len(w) < 2 {
		return wrong, merry.Errorf("name a file and the members that try it")
	}
	b, err := read(w[:1])
	if err != nil {
		return wrong, err
	}
	_, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	return s.put("PUT", "/desired?only="+strings.Join(w[1:], ","), b, gen)
}

func withdraw(s *shell, w []string) (int, error) {
	_, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	return s.put("DELETE", "/desired/trial", nil, gen)
}

func promote(s *shell, w []string) (int, error) {
	v, _, err := s.head()
	if err != nil {
		return failed, err
	}
	t, ok := v["trial"].(map[string]any)
	if !ok {
		return failed, merry.Errorf("no trial is on")
	}
	b, err := json.Marshal(t["desired"])
	if err != nil {
		return failed, merry.Wrap(ErrAsk, merry.WithCause(err))
	}
	now, _, err := s.state("")
	if err != nil {
		return failed, err
	}
	end, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	if !bytes.Equal(now, end) {
		from, _ := desired.ReadTree(now)
		to, _ := desired.ReadTree(b)
		return s.put("PATCH", "/desired", desired.Write(desired.Diff(from, to)), gen)
	}
	return s.put("PUT", "/desired", b, gen)
}

func rollback(s *shell, w []string) (int, error) {
	g, err := one(w, "generation")
	if err != nil {
		return wrong, err
	}
	b, _, err := s.state(g)
	if err != nil {
		return failed, err
	}
	now, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	h, err := s.holdings()
	if err != nil {
		h.Edition = 0
	}
	if e := max(desired.EditionOf(now), h.Edition); e > 0 {
		tree, _ := desired.ReadTree(b)
		next := strconv.FormatUint(e+1, 10)
		b = desired.Write(desired.Merge(tree, map[string]any{"edition": json.Number(next)}))
		s.note("as edition %s, for editions rise", next)
	}
	return s.put("PUT", "/desired", b, gen)
}

// holdings reads the queue of held changes; a fleet too old to have one has nothing held.
func (s *shell) holdings() (holdings, error) {
	var h holdings
	last := error(ErrDoors)
	end := time.Now().Add(leaderWait)
	for i := 0; time.Now().Before(end); i++ {
		if i > 0 && i%len(s.doors) == 0 {
			time.Sleep(200 * time.Millisecond)
		}
		d := s.doors[i%len(s.doors)]
		resp, err := web.Get("http://" + d + "/desired/held")
		if err != nil {
			last = merry.Wrap(ErrAsk, merry.WithCause(err))
			continue
		}
		err = json.NewDecoder(resp.Body).Decode(&h)
		resp.Body.Close()
		if err == nil && resp.StatusCode == 200 {
			return h, nil
		}
		last = merry.Wrap(ErrAsk, merry.AppendMessagef("%s answered %d", d, resp.StatusCode))
		if resp.StatusCode != 503 {
			break
		}
	}
	return h, last
}

// end is the state that the next change stands on, and its name.
func (s *shell) end() ([]byte, string, error) {
	b, gen, err := s.state("")
	if err != nil {
		return nil, "", err
	}
	h, err := s.holdings()
	if err != nil || len(h.Held) == 0 {
		return b, gen, nil
	}
	s.note("%d changes are held; this stands on the last of them", len(h.Held))
	return h.End, h.Basis, nil
}

func held(s *shell, w []string) (int, error) {
	if len(w) > 0 {
		return wrong, merry.Errorf("held takes no words; --filter TEXT picks rows")
	}
	h, err := s.holdings()
	if err != nil {
		return failed, err
	}
	for _, r := range h.Held {
		b, _ := json.Marshal(r["patch"])
		if r["patch"] = string(b); r["inForce"] == true {
			r["until"] = "in force"
		}
	}
	s.table(h.Held, "place", "until", "regions", "edition", "changeId", "author", "patch")
	s.note("in force: generation %d; a change stands on %s", h.Generation, h.Basis)
	return good, nil
}

func withdrawHeld(s *shell, w []string) (int, error) {
	place, err := one(w, "place")
	if err != nil {
		return wrong, err
	}
	if n, err := strconv.ParseUint(place, 10, 64); err != nil || n == 0 {
		return wrong, merry.Errorf("%q is not a place", place)
	}
	h, err := s.holdings()
	if err != nil {
		return failed, err
	}
	return s.put("DELETE", "/desired/held/"+place, nil, h.Basis)
}

func calendars(s *shell, w []string) (int, error) {
	if len(w) > 0 {
		return wrong, merry.Errorf("calendar takes no words; --filter TEXT picks rows")
	}
	h, err := s.holdings()
	if err != nil {
		return failed, err
	}
	s.table(h.Calendar, "region", "state", "from", "until", "number", "zone", "cells")
	switch {
	case len(h.Calendar) == 0:
		s.note("no calendar is given")
	case h.Clock == "":
		s.note("the leader has no clock to judge by just now")
	default:
		s.note("%d changes held; the leader's clock says %s", len(h.Held), h.Clock)
	}
	return good, nil
}
