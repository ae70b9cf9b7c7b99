// Command wirehost runs the routing module for the bench adapter over standard input
// and standard output.
package main

import (
	"fmt"
	"os"

	"dahliaspindle/internal/host"
)

func main() {
	if err := host.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
