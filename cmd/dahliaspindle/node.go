package main

import (
	"log/slog"
	"os"

	"dahliaspindle/internal/node"
)

// nodeCmd runs one controller on the platform.
type nodeCmd struct {
	Log slog.Level `help:"Minimum level of log lines: debug, info, warn or error." default:"info"`
}

// Run executes the command.
func (c *nodeCmd) Run() error { return node.Run(os.Getenv, os.Stderr, c.Log) }

// Help describes the environment variables.
func (*nodeCmd) Help() string {
	return `The platform configures a controller by environment variables:

  ROUTER_CONFIG   the configuration file, JSON; required
  ROUTER_LISTEN   the address for callers; default: "listen" of that file
  ROUTER_NAME     the controller's name; default: "name" of that file

On SIGHUP, the controller reads the file again and queries the resolver that it names.
On SIGTERM, it answers the accepted calls and exits.`
}
