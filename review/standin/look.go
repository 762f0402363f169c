package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// view is what a control process tells operators of the fleet.
type view struct {
	Leader string `json:"leader"`
	Role   string `json:"role"`
	Cells  []struct {
		Cell   string `json:"cell"`
		Holder string `json:"holder"`
		Active bool   `json:"activeHere"`
	} `json:"cells"`
}

// looks asks a control process which one leads and which ones hold the cells. It only helps a case to
// choose whom a disruption strikes.
func (f *fleet) looks(machine int) (view, error) {
	var v view
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:7722/fleet", f.address(machine)))
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	return v, json.NewDecoder(resp.Body).Decode(&v)
}
