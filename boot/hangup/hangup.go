// Package hangup makes a daemon that imports it ignore SIGHUP from before its first Go instruction on.
// Otherwise the signal, which asks for a reload, ends a process whose runtime and packages still
// initialize. It needs cgo; without it the package does nothing.
package hangup
