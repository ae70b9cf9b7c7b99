package virtual

import "flag"

// A fixed seed makes the property tests reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
