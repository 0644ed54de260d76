package bench

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log/handlers/text"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1 // a check found violations, or the run failed
	exitUsage  = 2
)

// Scenarios without a load on the whole fleet.
const (
	scenarioOverhead = "overhead"
	scenarioScale    = "scale"
)

// options holds the parsed flags.
type options struct {
	profile         string
	scenario        string
	compare         bool
	duration        time.Duration
	seed            uint64
	json            bool
	verbose         bool
	vms             []int
	groups          []int
	idleConnections []int

	cpuProfile string // file name; empty disables profiling
}

// Defaults of the flags.
const (
	defaultDuration = 20 * time.Second
	defaultSeed     = 1
)

// Main parses the flags in args, runs the scenario and returns the exit status of
// the process. Results go to stdout; progress and errors go to stderr.
func Main(args []string, stdout, stderr io.Writer) int {
	o, err := parseOptions(args, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, "chestnutbench:", err)
		return exitUsage
	}
	stop, err := startCPUProfile(o.cpuProfile)
	if err != nil {
		return exitStatus(stderr, err)
	}
	defer stop()
	switch o.scenario {
	case scenarioOverhead:
		return exitStatus(stderr, runOverhead(o, stdout, stderr))
	case scenarioScale:
		return exitStatus(stderr, runScale(o, stdout, stderr))
	}
	return runScenario(o, stdout, stderr)
}

func exitStatus(stderr io.Writer, err error) int {
	if err != nil {
		fmt.Fprintln(stderr, "chestnutbench:", err)
		return exitFailed
	}
	return exitOK
}

func parseOptions(args []string, stderr io.Writer) (*options, error) {
	o := &options{}
	set := flag.NewFlagSet("chestnutbench", flag.ContinueOnError)
	set.SetOutput(stderr)
	set.StringVar(&o.profile, "profile", "fes", "installation: fes or peachtree")
	set.StringVar(&o.scenario, "scenario", "steady", "load and faults; see the list above")
	set.BoolVar(&o.compare, "compare", false, "also run the baselines, with the same load and seed")
	set.DurationVar(&o.duration, "duration", 0, "length of a run (default 20s; with overhead and scale, of each measurement, default 4s)")
	set.Uint64Var(&o.seed, "seed", defaultSeed, "seed of arrivals, job mix and session moves")
	set.BoolVar(&o.json, "json", false, "print the results as JSON instead of tables")
	set.StringVar(&o.cpuProfile, "cpuprofile", "", "write a CPU profile of the whole command to `file`")
	set.BoolVar(&o.verbose, "v", false, "print the warnings that VMs log")
	vms := set.String("vms", "4,8,16", "with scale: numbers of VMs")
	groups := set.String("groups", "3,10,30", "with scale: numbers of database groups")
	conns := set.String("connections", "1000,5000", "with overhead: numbers of idle connections")
	set.Usage = func() { printUsage(set) }
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	if set.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q", set.Arg(0))
	}
	for _, list := range []struct {
		text string
		into *[]int
	}{{*vms, &o.vms}, {*groups, &o.groups}, {*conns, &o.idleConnections}} {
		numbers, err := parsePositiveNumbers(list.text)
		if err != nil {
			return nil, err
		}
		*list.into = numbers
	}
	return o, o.validate()
}

func parsePositiveNumbers(text string) ([]int, error) {
	var numbers []int
	for field := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is not a comma-separated list of positive integers", text)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}

func (o *options) validate() error {
	if o.duration < 0 {
		return errors.New("-duration must not be negative")
	}
	if _, err := profileNamed(o.profile); err != nil {
		return err
	}
	if o.scenario == scenarioOverhead || o.scenario == scenarioScale {
		return nil
	}
	_, err := findScenario(o.scenario)
	return err
}

func profileNamed(name string) (fleet.Profile, error) {
	switch name {
	case "fes":
		return fleet.Fes(), nil
	case "peachtree":
		return fleet.Peachtree(), nil
	}
	return fleet.Profile{}, fmt.Errorf("profile %q does not exist; use fes or peachtree", name)
}

// Report holds the results of a scenario on each variant of the fleet. -json
// writes it under these field names.
type Report struct {
	Profile  string
	Scenario string
	Seed     uint64
	Duration time.Duration
	Machine  Machine   // state at the start
	Results  []*Result // one per variant
}

// runScenario runs a scenario on the whole fleet and, with -compare, on the
// baselines, and prints the report.
func runScenario(o *options, stdout, stderr io.Writer) int {
	s, err := findScenario(o.scenario)
	if err != nil {
		return exitStatus(stderr, err)
	}
	report, err := runVariants(o, s, stderr)
	if err != nil {
		return exitStatus(stderr, err)
	}
	if o.json {
		err = writeJSON(stdout, report)
	} else {
		err = report.print(stdout)
	}
	if err != nil {
		return exitStatus(stderr, err)
	}
	for _, r := range report.Results {
		if r.Broken() {
			return exitFailed
		}
	}
	return exitOK
}

func runVariants(o *options, s *scenario, stderr io.Writer) (*Report, error) {
	p, err := profileNamed(o.profile)
	if err != nil {
		return nil, err
	}
	report := &Report{
		Profile: o.profile, Scenario: s.name, Seed: o.seed, Duration: o.duration,
		Machine: currentMachine(),
	}
	if report.Duration == 0 {
		report.Duration = defaultDuration
	}
	variants := []variant{unmodified}
	if o.compare {
		variants = append(variants, baselines...)
	}
	for _, v := range variants {
		fmt.Fprintf(stderr, "%s, %s, %s\n", p.Name, s.name, v.name)
		l := steadyLoad(p)
		if s.adjust != nil {
			s.adjust(&l)
		}
		run := newRun(s, p, l, o.seed, report.Duration, stderr)
		if o.verbose {
			run.warnings.forward = text.New(stderr)
		}
		res, err := run.execute(v)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", v.name, err)
		}
		report.Results = append(report.Results, res)
	}
	return report, nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
