package main

import (
	"log/slog"
	"os"

	"dahliaspindle/internal/node"
)

type nodeCmd struct {
	Log slog.Level `help:"Least level of log lines: debug, info, warn or error." default:"info"`
}

func (c *nodeCmd) Run() error { return node.Run(os.Getenv, os.Stderr, c.Log) }

// Help names the variables.
func (*nodeCmd) Help() string {
	return `The platform tells a controller where it is by variables:

  ROUTER_CONFIG   the configuration file, JSON; needed
  ROUTER_LISTEN   where callers connect; else "listen" of that file
  ROUTER_NAME     the controller's name; else "name" of that file

SIGHUP reads the file again and asks the resolver that it names.
SIGTERM answers what was taken and ends.`
}
