// Package testseed fixes the seed of property tests, so that CI reaches the same
// verdict in each run. Other seeds are tried by hand with -rapid.seed.
package testseed

import (
	"flag"
	"testing"
)

const (
	seedFlag = "rapid.seed"
	// drawn is the flag's default, with which each run draws a seed of its own.
	drawn = "0"
	// fixed is the seed unless the command line states one.
	fixed = "1"
)

// Run runs the tests of a package with the fixed seed and returns the exit code.
func Run(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup(seedFlag); f == nil {
		panic("the package has no property tests")
	} else if f.Value.String() == drawn {
		if err := flag.Set(seedFlag, fixed); err != nil {
			panic(err) // the flag takes numbers
		}
	}
	return m.Run()
}
