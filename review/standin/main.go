package main

import (
	"fmt"
	"os"
	"path/filepath"
)

var cases = map[string]func(f *fleet, trouble bool) error{
	"bad-orders":  badOrders,
	"slow-reader": slowReader,
	"wrong-ack":   wrongAck,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	f, err := newFleet(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(f.close(cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")))
}
