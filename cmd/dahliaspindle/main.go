// Command dahliaspindle is a call router: it sets up calls over trunk groups. It also
// contains the tools to simulate, audit, measure and dimension such a network.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"dahliaspindle/scenarios"
)

// cli is the command line as kong parses it.
var cli struct {
	Run       runCmd       `cmd:"" help:"Run one controller in the foreground; on SIGTERM it answers its pending calls and exits."`
	Node      nodeCmd      `cmd:"" help:"Run one controller on the platform, configured by environment variables; see docs/operators/platform.md."`
	Check     checkCmd     `cmd:"" help:"Validate settings or scenario files and print every error with its line."`
	Schema    schemaCmd    `cmd:"" help:"Print the XML schema of the settings and scenario files."`
	Demo      demoCmd      `cmd:"" help:"Run a scenario on loopback with controllers, stand-ins and troubles, and audit it by the five rules."`
	Audit     auditCmd     `cmd:"" help:"Check a capture against the five rules."`
	Trace     traceCmd     `cmd:"" help:"Print the messages and decisions of one call in a capture."`
	Rate      rateCmd      `cmd:"" help:"Measure the calls per second that one controller sustains on this machine, compared with a bare echo of the same lines."`
	Echo      echoCmd      `cmd:"" hidden:"" help:"The echo server that rate compares with."`
	Dimension dimensionCmd `cmd:"" help:"Measure traffic and dimension trunk groups."`
	Flows     flowsCmd     `cmd:"" help:"Collect, show, rank and verify flow records."`
	Load      loadCmd      `cmd:"" help:"Call a controller at a fixed rate, independent of its answers, and show the answer times."`
}

// exitError is an error that sets the exit status of the process.
type exitError struct {
	status int
	err    error
}

// Error returns the text of the error.
func (e exitError) Error() string { return e.err.Error() }

func main() {
	command := kong.Parse(&cli, kong.Name("dahliaspindle"), kong.Description("A call router that sets up calls over trunk groups."),
		kong.UsageOnError(), kong.Vars{"names": strings.Join(scenarios.Names(), ", ")})
	if err := command.Run(); err != nil {
		var exit exitError
		status := 1
		if errors.As(err, &exit) {
			status = exit.status
		}
		fmt.Fprintln(os.Stderr, "dahliaspindle:", err)
		os.Exit(status)
	}
}
