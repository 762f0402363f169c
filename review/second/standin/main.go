package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldntDo = 2
)

var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"long-body":   longBody,
	"slow-reader": slowReader,
	"pause":       pause,
	"crowd":       crowd,
	"deregister":  deregister,
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE ROOT RECORD TROUBLE; TROUBLE is 0 to leave the disruption out")
		os.Exit(couldntDo)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3], os.Args[4] != "0"))
}

// runCase plays a case on a new fleet, and writes to the record what was sent, answered and run.
func runCase(play func(f *fleet, trouble bool) (int, error), root, record string, trouble bool) int {
	f, err := newFleet(root, record, 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntDo
	}
	defer f.close()
	f.note("trouble: %v", trouble)
	code, err := play(f, trouble)
	if err != nil {
		f.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldntDo
	}
	f.note("%s", map[int]string{held: "the rule held", broken: "the rule is broken"}[code])
	return code
}
