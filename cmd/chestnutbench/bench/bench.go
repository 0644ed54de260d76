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
	exitBroken = 1 // a check is broken, or the run failed
	exitUsage  = 2
)

// Names of the scenarios that do not load a whole fleet.
const (
	scenarioOverhead = "overhead"
	scenarioScale    = "scale"
)

// options are the command line.
type options struct {
	profile  string
	scenario string
	compare  bool
	duration time.Duration
	seed     uint64
	json     bool
	verbose  bool
	vms      []int
	groups   []int
	conns    []int

	cpuProfile string // file; empty for none
}

// Default durations.
const (
	defaultDuration = 20 * time.Second
	defaultSeed     = 1
)

// Main runs the tool and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	o, err := parse(args, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, "chestnutbench:", err)
		return exitUsage
	}
	stop, err := startProfile(o.cpuProfile)
	if err != nil {
		return finish(stderr, err)
	}
	defer stop()
	switch o.scenario {
	case scenarioOverhead:
		return finish(stderr, runOverhead(o, stdout, stderr))
	case scenarioScale:
		return finish(stderr, runScale(o, stdout, stderr))
	}
	return loadFleet(o, stdout, stderr)
}

func finish(stderr io.Writer, err error) int {
	if err != nil {
		fmt.Fprintln(stderr, "chestnutbench:", err)
		return exitBroken
	}
	return exitOK
}

func parse(args []string, stderr io.Writer) (*options, error) {
	o := &options{}
	set := flag.NewFlagSet("chestnutbench", flag.ContinueOnError)
	set.SetOutput(stderr)
	set.StringVar(&o.profile, "profile", "fes", "installation: fes or peachtree")
	set.StringVar(&o.scenario, "scenario", "steady", "what happens; see the list above")
	set.BoolVar(&o.compare, "compare", false, "also run the baselines, with the same load and seed")
	set.DurationVar(&o.duration, "duration", 0, "length of a run (default 20s; with overhead and scale, of each measurement, default 4s)")
	set.Uint64Var(&o.seed, "seed", defaultSeed, "seed of arrivals, mix and moves")
	set.BoolVar(&o.json, "json", false, "print the results as JSON instead of tables")
	set.StringVar(&o.cpuProfile, "cpuprofile", "", "write a CPU profile of the whole command to `file`")
	set.BoolVar(&o.verbose, "v", false, "show the VMs' warnings")
	vms := set.String("vms", "4,8,16", "with scale: numbers of VMs")
	groups := set.String("groups", "3,10,30", "with scale: numbers of database groups")
	conns := set.String("connections", "1000,5000", "with overhead: numbers of idle connections")
	set.Usage = func() { usage(set) }
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	if set.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q", set.Arg(0))
	}
	for _, list := range []struct {
		text string
		into *[]int
	}{{*vms, &o.vms}, {*groups, &o.groups}, {*conns, &o.conns}} {
		numbers, err := parseNumbers(list.text)
		if err != nil {
			return nil, err
		}
		*list.into = numbers
	}
	return o, o.check()
}

func parseNumbers(text string) ([]int, error) {
	var all []int
	for field := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is not a list of positive numbers", text)
		}
		all = append(all, n)
	}
	return all, nil
}

func (o *options) check() error {
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
	return fleet.Profile{}, fmt.Errorf("there is no profile %q", name)
}

// Report is the result of all runs of a command.
type Report struct {
	Profile  string
	Scenario string
	Seed     uint64
	Duration time.Duration
	Machine  Machine // at the start
	Results  []*Result
}

// loadFleet runs a scenario on the whole fleet, and on the baselines.
func loadFleet(o *options, stdout, stderr io.Writer) int {
	s, err := findScenario(o.scenario)
	if err != nil {
		return finish(stderr, err)
	}
	rep, err := runVariants(o, s, stderr)
	if err != nil {
		return finish(stderr, err)
	}
	if o.json {
		err = writeJSON(stdout, rep)
	} else {
		err = rep.print(stdout)
	}
	if err != nil {
		return finish(stderr, err)
	}
	for _, r := range rep.Results {
		if r.Broken() {
			return exitBroken
		}
	}
	return exitOK
}

func runVariants(o *options, s *scenario, stderr io.Writer) (*Report, error) {
	p, err := profileNamed(o.profile)
	if err != nil {
		return nil, err
	}
	rep := &Report{
		Profile: o.profile, Scenario: s.name, Seed: o.seed, Duration: o.duration,
		Machine: machineNow(),
	}
	if rep.Duration == 0 {
		rep.Duration = defaultDuration
	}
	variants := []variant{asIs}
	if o.compare {
		variants = append(variants, baselines...)
	}
	for _, v := range variants {
		fmt.Fprintf(stderr, "%s, %s, %s\n", p.Name, s.name, v.name)
		l := loadOf(p)
		if s.adjust != nil {
			s.adjust(&l)
		}
		run := newRun(s, p, l, o.seed, rep.Duration, stderr)
		if o.verbose {
			run.warnings.show = text.New(stderr)
		}
		res, err := run.execute(v)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", v.name, err)
		}
		rep.Results = append(rep.Results, res)
	}
	return rep, nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
