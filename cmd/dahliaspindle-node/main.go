// Command dahliaspindle-node runs one controller on the platform. It does the same as "dahliaspindle node" and
// contains none of the other commands, whose program text would count against the controller's memory limit.
package main

import (
	"flag"
	"fmt"
	"log/slog"
	"os"

	"dahliaspindle/internal/node"
)

func main() {
	var level slog.Level
	flag.TextVar(&level, "log", slog.LevelInfo, "minimum level of log lines: debug, info, warn or error")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "dahliaspindle-node: unexpected argument %q\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := node.Run(os.Getenv, os.Stderr, level); err != nil {
		fmt.Fprintln(os.Stderr, "dahliaspindle-node:", err)
		os.Exit(1)
	}
}
