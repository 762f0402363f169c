// Command fleetshell queries a fleet through its operators' interface and changes its desired state. It
// answers the query on its command line, or reads queries from standard input without one.
package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"sloeturn/boot"
)

type args struct {
	Addresses   []string `arg:"--doors,separate" help:"operators' address of a control process; may be repeated"`
	JSON        bool     `arg:"--json" help:"print answers as JSON"`
	Filter      string   `arg:"--filter" help:"show only lines that contain this text"`
	SocketsGone bool     `arg:"--yes-its-sockets-are-gone" help:"confirm for 'free' that the machine of the seat's holder has no open connections"`
	Words       []string `arg:"positional" help:"a query with its arguments; without one the shell opens"`
}

func (args) Version() string { return "fleetshell " + boot.Build }
func (args) Description() string {
	return "Queries the state of a fleet and changes its desired state. 'help' lists the queries."
}
func (args) Epilogue() string {
	return "Exit codes: 0 complete answer, 1 failure, 2 wrong usage, 3 partial answer, 4 another change came first, 5 invalid document."
}

func main() {
	var flags args
	arg.MustParse(&flags)
	s := &shell{addresses: flags.Addresses, json: flags.JSON, filter: flags.Filter, socketsGone: flags.SocketsGone, out: os.Stdout}
	if len(flags.Words) > 0 {
		os.Exit(s.run(flags.Words))
	}
	fmt.Println("fleetshell", boot.Build, "- 'help' lists the queries, 'quit' ends.")
	lines := bufio.NewScanner(os.Stdin)
	for {
		fmt.Print("> ")
		if !lines.Scan() {
			return
		}
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		if words[0] == "quit" || words[0] == "exit" {
			return
		}
		if code := s.run(words); code != 0 {
			fmt.Println("code", code)
		}
	}
}
