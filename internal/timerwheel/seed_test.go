package timerwheel

import "flag"

// init fixes the seed of the property tests, so that every run gives the same result.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
