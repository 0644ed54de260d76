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
	// scaleWarmup is left to the start of the VMs before a measurement.
	scaleWarmup = 2 * time.Second
	// scaleDuration is the default length of a measurement.
	scaleDuration = 4 * time.Second
)

// Scale is what a VM without load costs, as a mean over the VMs. CPU and memory
// are those of the process minus those of the same fleet without VMs. They
// include the stand-ins' answers and both ends of each connection, so they are
// upper bounds.
type Scale struct {
	VMs, Groups int
	Status      Traffic // status queries to backend servers
	Exchange    Traffic // messages to other VMs
	CPU         float64 // share of a core
	Memory      uint64  // bytes
}

// Traffic is what one VM sends and receives, a second.
type Traffic struct {
	Messages float64 // sent
	Bytes    float64 // both directions, without the headers of lower layers
}

// ScaleReport is the result of the scale scenario.
type ScaleReport struct {
	Machine Machine
	Points  []Scale
	Slopes  []Slope
}

func runScale(o *options, stdout, stderr io.Writer) error {
	length := o.duration
	if length == 0 {
		length = scaleDuration
	}
	rep := &ScaleReport{Machine: machineNow()}
	for _, groups := range o.groups {
		for _, vms := range o.vms {
			fmt.Fprintf(stderr, "scale, %d VMs, %d groups\n", vms, groups)
			p, err := measureScale(o, vms, groups, length)
			if err != nil {
				return err
			}
			rep.Points = append(rep.Points, *p)
		}
	}
	rep.Slopes = slopes(rep.Points)
	if o.json {
		return writeJSON(stdout, rep)
	}
	return rep.print(stdout)
}

// scaleProfile is the installation with other numbers of VMs and groups.
func scaleProfile(name string, vms, groups int) (fleet.Profile, error) {
	p, err := profileNamed(name)
	p.VMs = vms
	p.Groups = nil
	for i := range groups {
		p.Groups = append(p.Groups, fmt.Sprintf("group-%d", i+1))
	}
	return p, err
}

// idleUse is what a fleet without load uses.
type idleUse struct {
	cpu    float64 // cores
	memory uint64
}

func measureScale(o *options, vms, groups int, length time.Duration) (*Scale, error) {
	p, err := scaleProfile(o.profile, vms, groups)
	if err != nil {
		return nil, err
	}
	empty := p
	empty.VMs = 0
	without, _, err := measureIdle(empty, o.seed, length)
	if err != nil {
		return nil, err
	}
	with, traffic, err := measureIdle(p, o.seed, length)
	if err != nil {
		return nil, err
	}
	n := float64(vms)
	return &Scale{
		VMs: vms, Groups: groups,
		Status:   traffic.perSecond(trafficStatus, n, length),
		Exchange: traffic.perSecond(trafficExchange, n, length),
		CPU:      max(0, with.cpu-without.cpu) / n,
		Memory:   uint64(float64(max(with.memory, without.memory)-without.memory) / n),
	}, nil
}

func measureIdle(p fleet.Profile, seed uint64, length time.Duration) (idleUse, *trafficCounter, error) {
	before := processMemory()
	traffic := &trafficCounter{}
	f, err := fleet.Start(p, fleet.Options{
		Seed:   seed,
		Logger: &log.Logger{Handler: discard.Default},
		Adjust: func(o *chestnutdyke.Options) { o.Network = &countingNetwork{Network: o.Network, counter: traffic} },
	})
	if err != nil {
		return idleUse{}, nil, err
	}
	defer f.Close()
	time.Sleep(scaleWarmup)
	traffic.reset()
	start, cpu := time.Now(), processCPU()
	time.Sleep(length)
	used := (processCPU() - cpu).Seconds() / time.Since(start).Seconds()
	counted := traffic.snapshot()
	return idleUse{cpu: used, memory: max(processMemory(), before) - before}, counted, nil
}

// Slope is how a measure grows along one axis while the other number stays.
type Slope struct {
	Measure string
	Axis    string // VMs or groups
	At      int    // the other number
	PerUnit float64
}

// slopes fits a line through the points of each row and each column.
func slopes(points []Scale) []Slope {
	measures := []struct {
		name string
		of   func(s Scale) float64
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
	var all []Slope
	for _, m := range measures {
		for _, a := range axes {
			for _, at := range distinct(points, a.other) {
				var x, y []float64
				for _, p := range points {
					if a.other(p) == at {
						x, y = append(x, float64(a.axis(p))), append(y, m.of(p))
					}
				}
				if slope, ok := fit(x, y); ok {
					all = append(all, Slope{m.name, a.name, at, slope})
				}
			}
		}
	}
	return all
}

func distinct(points []Scale, of func(s Scale) int) []int {
	var all []int
	seen := make(map[int]bool)
	for _, p := range points {
		if v := of(p); !seen[v] {
			seen[v] = true
			all = append(all, v)
		}
	}
	return all
}

// fit returns the slope of the least-squares line. It reports false with fewer
// than two different values of x.
func fit(x, y []float64) (slope float64, ok bool) {
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
			percent(p.CPU), fmt.Sprintf("%d KiB", p.Memory/1024))
	}
	if err := t.end(); err != nil {
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
	return t.end()
}
