package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
)

func (s *shell) post(addr, path string, v any) (int, error) {
	b, _ := json.Marshal(v)
	resp, err := web.Post("http://"+addr+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return failed, merry.Wrap(ErrAsk, merry.WithCause(err))
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	fmt.Fprint(s.out, string(out))
	if resp.StatusCode >= 300 {
		return failed, nil
	}
	return good, nil
}

func free(s *shell, w []string) (int, error) {
	k, err := one(w, "seat")
	if err != nil {
		return wrong, err
	}
	v, from, err := s.head()
	if err != nil {
		return failed, err
	}
	for _, l := range list(v["seats"]) {
		if str(l["seat"]) != k {
			continue
		}
		if !s.gone {
			return wrong, merry.Errorf("seat %s is held by %s; say --yes-its-sockets-are-gone if that machine is off", k, str(l["member"]))
		}
		return s.post(from, "/seats/"+k+"/free", map[string]any{"member": l["member"], "incarnation": l["incarnation"], "proof": "its sockets are gone"})
	}
	return failed, merry.Errorf("seat %s is not held", k)
}

func (s *shell) find(name string) (string, error) {
	v, _, err := s.head()
	if err != nil {
		return "", err
	}
	for _, c := range list(v["cards"]) {
		if c["id"] == name {
			return places(c), nil
		}
	}
	return "", merry.Errorf("no member named %q", name)
}

func drain(s *shell, w []string) (int, error) {
	n, err := one(w, "member")
	if err != nil {
		return wrong, err
	}
	addr, err := s.find(n)
	if err != nil {
		return failed, err
	}
	return s.post(addr, "/drain", nil)
}
