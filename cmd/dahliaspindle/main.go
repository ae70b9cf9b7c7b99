// Command dahliaspindle sets calls up over trunk groups, and proves that it does.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"dahliaspindle/scenarios"
)

var cli struct {
	Run       runCmd       `cmd:"" help:"Run one controller in the foreground; SIGTERM lets it answer what it has and leave."`
	Node      nodeCmd      `cmd:"" help:"Run one controller on the platform, as its variables tell; docs/operators/platform.md."`
	Check     checkCmd     `cmd:"" help:"Read a controller's or a scenario's file and say every fault with its line."`
	Schema    schemaCmd    `cmd:"" help:"Print the XSD of the files."`
	Demo      demoCmd      `cmd:"" help:"Play a scenario on loopback: controllers, stand-ins, troubles; judge it by the five rules."`
	Audit     auditCmd     `cmd:"" help:"Judge a capture by the five rules."`
	Trace     traceCmd     `cmd:"" help:"Tell one call's way: its caller, the choice, the exchanges and back."`
	Rate      rateCmd      `cmd:"" help:"Measure the calls a second that one controller bears here, beside a bare echo of the same lines."`
	Echo      echoCmd      `cmd:"" hidden:"" help:"The echo that rate measures beside."`
	Dimension dimensionCmd `cmd:"" help:"Size trunk groups."`
	Flows     flowsCmd     `cmd:"" help:"Flow records: collect, show, top, verify."`
	Load      loadCmd      `cmd:"" help:"Call a controller at a rate that waits for nobody, and show how long answers took."`
}

// exit carries a status that is no failure of the command itself.
type exit struct {
	code int
	what error
}

func (e exit) Error() string { return e.what.Error() }

func main() {
	k := kong.Parse(&cli, kong.Name("dahliaspindle"), kong.Description("A call router that sets up calls over trunk groups."),
		kong.UsageOnError(), kong.Vars{"names": strings.Join(scenarios.Names(), ", ")})
	if err := k.Run(); err != nil {
		var e exit
		code := 1
		if errors.As(err, &e) {
			code = e.code
		}
		fmt.Fprintln(os.Stderr, "dahliaspindle:", err)
		os.Exit(code)
	}
}
