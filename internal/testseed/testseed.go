// Package testseed sets a fixed seed for property tests, so that every CI run has
// the same result. Use the flag -rapid.seed to test with other seeds.
package testseed

import (
	"flag"
	"testing"
)

const (
	seedFlag   = "rapid.seed"
	checksFlag = "rapid.checks"
	// defaultSeed is used unless the command line contains -rapid.seed.
	defaultSeed = "1"
)

// Run runs the tests of a package with the default seed and returns the exit code.
// Call it from TestMain. It panics if the package does not use rapid.
func Run(m *testing.M) int {
	setDefault(seedFlag, defaultSeed)
	return m.Run()
}

// RunChecks is Run with a default for -rapid.checks, the number of runs of each
// property.
func RunChecks(m *testing.M, checks string) int {
	setDefault(checksFlag, checks)
	return Run(m)
}

// setDefault sets a flag unless the command line contains it.
func setDefault(name, value string) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic("testseed: the package has no property tests: " + err.Error())
	}
}
