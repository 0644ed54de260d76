package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

const (
	// scaleWarmup lets the VMs finish their start before a measurement.
	scaleWarmup = 2 * time.Second
	// scaleDuration is the default length of a measurement.
	scaleDuration = 4 * time.Second
)

// Scale holds the cost of one VM without load, as a mean over the VMs. CPU and
// memory are those of the process minus those of the same fleet without VMs. They
// include the responses of the stand-ins and both ends of each connection, so they
// are upper bounds.
type Scale struct {
	VMs, Groups int
	Status      Traffic // status queries to backend servers
	Exchange    Traffic // messages to other VMs
	CPU         float64 // share of a core
	Memory      uint64  // bytes
}

// Traffic holds the messages and bytes per second of one VM.
type Traffic struct {
	Messages float64 // requests sent
	Bytes    float64 // sent and received, without the headers of lower layers
}

// ScaleReport holds the results of the scale scenario. -json writes it under these
// field names.
type ScaleReport struct {
	Machine Machine // state at the start
	Points  []Scale // one for each pair of a number of groups and a number of VMs
	Slopes  []Slope
}

func runScale(o *options, stdout, stderr io.Writer) error {
	duration := o.duration
	if duration == 0 {
		duration = scaleDuration
	}
	report := &ScaleReport{Machine: currentMachine()}
	for _, groups := range o.groups {
		for _, vms := range o.vms {
			fmt.Fprintf(stderr, "scale, %d VMs, %d groups\n", vms, groups)
			p, err := measureScale(o, vms, groups, duration)
			if err != nil {
				return err
			}
			report.Points = append(report.Points, *p)
		}
	}
	report.Slopes = fitSlopes(report.Points)
	if o.json {
		return writeJSON(stdout, report)
	}
	return report.print(stdout)
}

// scaleProfile returns the named profile with the given numbers of VMs and groups.
func scaleProfile(name string, vms, groups int) (fleet.Profile, error) {
	p, err := profileNamed(name)
	p.VMs = vms
	p.Groups = nil
	for i := range groups {
		p.Groups = append(p.Groups, fmt.Sprintf("group-%d", i+1))
	}
	return p, err
}

// idleUsage is the CPU and memory use of a fleet without load.
type idleUsage struct {
	cpu    float64 // cores
	memory uint64  // bytes
}

func measureScale(o *options, vms, groups int, duration time.Duration) (*Scale, error) {
	p, err := scaleProfile(o.profile, vms, groups)
	if err != nil {
		return nil, err
	}
	withoutVMs := p
	withoutVMs.VMs = 0
	baseline, _, err := measureIdle(withoutVMs, o.seed, duration)
	if err != nil {
		return nil, err
	}
	usage, traffic, err := measureIdle(p, o.seed, duration)
	if err != nil {
		return nil, err
	}
	n := float64(vms)
	return &Scale{
		VMs: vms, Groups: groups,
		Status:   traffic.perSecond(trafficStatus, n, duration),
		Exchange: traffic.perSecond(trafficExchange, n, duration),
		CPU:      max(0, usage.cpu-baseline.cpu) / n,
		Memory:   uint64(float64(max(usage.memory, baseline.memory)-baseline.memory) / n),
	}, nil
}

// measureIdle runs a fleet without load and measures its CPU and memory use and the
// traffic of its VMs.
func measureIdle(p fleet.Profile, seed uint64, duration time.Duration) (idleUsage, *trafficCounter, error) {
	before := processMemory()
	traffic := &trafficCounter{}
	f, err := fleet.Start(p, fleet.Options{
		Seed:   seed,
		Logger: &log.Logger{Handler: discard.Default},
		Adjust: func(o *chestnutdyke.Options) { o.Network = &countingNetwork{Network: o.Network, counter: traffic} },
	})
	if err != nil {
		return idleUsage{}, nil, err
	}
	defer f.Close()
	time.Sleep(scaleWarmup)
	traffic.reset()
	start, cpu := time.Now(), processCPU()
	time.Sleep(duration)
	used := (processCPU() - cpu).Seconds() / time.Since(start).Seconds()
	counted := traffic.snapshot()
	return idleUsage{cpu: used, memory: max(processMemory(), before) - before}, counted, nil
}

// Slope is the growth of a measure per additional VM or group, while the number of
// the other is fixed.
type Slope struct {
	Measure string
	Axis    string // "VMs" or "groups"
	At      int    // fixed number of the other axis
	PerUnit float64
}

// fitSlopes fits a line through the points with the same number of groups and
// through those with the same number of VMs, for each measure.
func fitSlopes(points []Scale) []Slope {
	measures := []struct {
		name  string
		value func(s Scale) float64
	}{
		{"status queries/s", func(s Scale) float64 { return s.Status.Messages }},
		{"status bytes/s", func(s Scale) float64 { return s.Status.Bytes }},
		{"exchange messages/s", func(s Scale) float64 { return s.Exchange.Messages }},
		{"exchange bytes/s", func(s Scale) float64 { return s.Exchange.Bytes }},
		{"CPU, % of a core", func(s Scale) float64 { return 100 * s.CPU }},
		{"memory, KiB", func(s Scale) float64 { return float64(s.Memory) / 1024 }},
	}
	axes := []struct {
		name        string
		axis, other func(s Scale) int
	}{
		{"VMs", func(s Scale) int { return s.VMs }, func(s Scale) int { return s.Groups }},
		{"groups", func(s Scale) int { return s.Groups }, func(s Scale) int { return s.VMs }},
	}
	var fitted []Slope
	for _, m := range measures {
		for _, a := range axes {
			for _, fixed := range distinct(points, a.other) {
				var x, y []float64
				for _, p := range points {
					if a.other(p) == fixed {
						x, y = append(x, float64(a.axis(p))), append(y, m.value(p))
					}
				}
				if slope, ok := leastSquaresSlope(x, y); ok {
					fitted = append(fitted, Slope{m.name, a.name, fixed, slope})
				}
			}
		}
	}
	return fitted
}

// distinct returns the distinct values of a number, in the order of the points.
func distinct(points []Scale, value func(s Scale) int) []int {
	var values []int
	seen := make(map[int]bool)
	for _, p := range points {
		if v := value(p); !seen[v] {
			seen[v] = true
			values = append(values, v)
		}
	}
	return values
}

// leastSquaresSlope returns the slope of the least-squares line. It reports false
// with fewer than two distinct values of x.
func leastSquaresSlope(x, y []float64) (slope float64, ok bool) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy = sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, false
	}
	return (n*sxy - sx*sy) / d, true
}

func (rep *ScaleReport) print(w io.Writer) error {
	fmt.Fprintf(w, "one VM without load, machine load %s on %d CPUs\n\n", rep.Machine.Load, rep.Machine.CPUs)
	t := newTable(w)
	t.row("VMs", "groups", "status queries/s", "status bytes/s", "exchange messages/s", "exchange bytes/s", "CPU (of a core)", "memory")
	for _, p := range rep.Points {
		t.row(fmt.Sprint(p.VMs), fmt.Sprint(p.Groups),
			fmt.Sprintf("%.1f", p.Status.Messages), fmt.Sprintf("%.0f", p.Status.Bytes),
			fmt.Sprintf("%.1f", p.Exchange.Messages), fmt.Sprintf("%.0f", p.Exchange.Bytes),
			formatPercent(p.CPU), fmt.Sprintf("%d KiB", p.Memory/1024))
	}
	if err := t.flush(); err != nil {
		return err
	}
	t = newTable(w)
	t.row("slope of", "for each of", "at", "is")
	for _, s := range rep.Slopes {
		other := "groups"
		if s.Axis == other {
			other = "VMs"
		}
		t.row(s.Measure, s.Axis, fmt.Sprintf("%d %s", s.At, other), fmt.Sprintf("%.3g", s.PerUnit))
	}
	return t.flush()
}
