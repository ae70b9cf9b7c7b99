package spool

import "flag"

// The property tests use a fixed seed, so that their results are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
