package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

const (
	// overheadRounds is how often direct and proxied measurements take turns, so
	// that both meet the same load of the machine.
	overheadRounds = 3
	// overheadDuration is the default length of one measurement.
	overheadDuration = 4 * time.Second
	// overheadConnections is the connection limit of the backend server.
	overheadConnections = 256
	// overheadRate is the customer's rate and burst, which must limit nothing.
	overheadRate = 1e7
	// overheadSessions is the session limit of the VM.
	overheadSessions = 16384
	// latencyUnit is the unit of the overhead histograms.
	latencyUnit = 100 * time.Nanosecond
	// highestOverhead is the greatest latency that the histograms hold.
	highestOverhead = 10 * time.Second
)

// overheadClients are the numbers of clients that send at once.
var overheadClients = []int{1, 8, 32, 128}

// overheadKinds are the statements that are measured.
var overheadKinds = []struct{ name, sql string }{
	{"read", "SELECT 1"},
	{"write", "UPSERT kv ('k', 'v')"},
}

// Overhead compares statements through one VM with direct ones.
type Overhead struct {
	Kind    string
	Clients int
	Direct  Speed
	Proxied Speed
}

// Speed is a measurement of one way to the backend server. The process holds
// the clients and the backend server too, so the VM's CPU time is the
// difference between the two ways.
type Speed struct {
	PerSecond       float64
	P50, P99        time.Duration
	CPUPerStatement time.Duration
	Allocations     float64 // for each statement
	AllocatedBytes  float64 // for each statement
}

// OverheadReport is the result of the overhead scenario.
type OverheadReport struct {
	Machine Machine
	Speeds  []Overhead
	Memory  []IdleMemory
}

// overheadProfile is one VM in front of a group of one server without costs.
func overheadProfile() fleet.Profile {
	p := fleet.Fes()
	p.VMs = 1
	p.Groups = p.Groups[:1]
	p.ServersPerGroup = 1
	p.Slots = overheadConnections
	p.Connections = overheadConnections
	p.ConnectCost, p.StatementCost, p.ReplicationDelay = 0, 0, 0
	p.Customers = []fleet.Customer{{Name: "bindery", Rate: overheadRate, Burst: overheadRate}}
	return p
}

func runOverhead(o *options, stdout, stderr io.Writer) error {
	f, err := fleet.Start(overheadProfile(), fleet.Options{
		TCP:    true,
		Seed:   o.seed,
		Logger: &log.Logger{Handler: discard.Default},
		Adjust: func(v *chestnutdyke.Options) { v.MaxSessions = overheadSessions },
	})
	if err != nil {
		return err
	}
	defer f.Close()
	ready, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := f.WaitReady(ready); err != nil {
		return err
	}
	length := o.duration
	if length == 0 {
		length = overheadDuration
	}
	rep := &OverheadReport{Machine: machineNow()}
	for _, k := range overheadKinds {
		for _, n := range overheadClients {
			fmt.Fprintf(stderr, "overhead, %s, %d clients\n", k.name, n)
			m, err := compareWays(f, k.sql, n, length)
			if err != nil {
				return err
			}
			m.Kind = k.name
			rep.Speeds = append(rep.Speeds, *m)
		}
	}
	for _, n := range o.conns {
		fmt.Fprintf(stderr, "overhead, %d idle connections\n", n)
		m, err := idleMemory(f, n)
		if err != nil {
			return err
		}
		rep.Memory = append(rep.Memory, *m)
	}
	if o.json {
		return writeJSON(stdout, rep)
	}
	return rep.print(stdout)
}

// way connects a client to the backend server, directly or through the VM.
type way func(ctx context.Context) (*pgx.Conn, error)

func proxiedWay(f *fleet.Fleet) way {
	return func(ctx context.Context) (*pgx.Conn, error) {
		return f.Connect(ctx, f.Profile.Customers[0].Name, f.Profile.Groups[0], 0, fleet.NewSession)
	}
}

func directWay(f *fleet.Fleet) way {
	server := f.Groups[f.Profile.Groups[0]].Primary()
	return func(ctx context.Context) (*pgx.Conn, error) {
		host, port, err := net.SplitHostPort(server.Address())
		if err != nil {
			return nil, err
		}
		cfg, err := pgx.ParseConfig("sslmode=disable host=" + host + " port=" + port)
		if err != nil {
			return nil, err
		}
		login := fleet.BackendLogin()
		cfg.User, cfg.Password, cfg.Database = login.User, login.Password, f.Profile.Groups[0]
		return pgx.ConnectConfig(ctx, cfg)
	}
}

// compareWays measures both ways in turns.
func compareWays(f *fleet.Fleet, sql string, clients int, length time.Duration) (*Overhead, error) {
	ways := []way{directWay(f), proxiedWay(f)}
	speeds := []*speedometer{newSpeedometer(), newSpeedometer()}
	for range overheadRounds {
		for i, w := range ways {
			if err := speeds[i].measure(w, sql, clients, length/overheadRounds); err != nil {
				return nil, err
			}
		}
	}
	return &Overhead{Clients: clients, Direct: speeds[0].speed(), Proxied: speeds[1].speed()}, nil
}

// speedometer adds up the rounds of one way.
type speedometer struct {
	latency *hdrhistogram.Histogram // in latencyUnit
	elapsed time.Duration
	cpu     time.Duration
	mallocs uint64
	bytes   uint64
}

func newOverheadHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(highestOverhead/latencyUnit), latencyDigits)
}

func newSpeedometer() *speedometer { return &speedometer{latency: newOverheadHistogram()} }

// measure lets the clients send one statement after the other.
func (s *speedometer) measure(w way, sql string, clients int, length time.Duration) error {
	conns, err := connectAll(w, clients)
	defer closeAll(conns)
	if err != nil {
		return err
	}
	parts := make([]*hdrhistogram.Histogram, clients)
	errs := make([]error, clients)
	var running sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, cpu := time.Now(), processCPU()
	for i, c := range conns {
		running.Go(func() { parts[i], errs[i] = sendUntil(c.PgConn(), sql, start.Add(length)) })
	}
	running.Wait()
	s.elapsed += time.Since(start)
	s.cpu += processCPU() - cpu
	runtime.ReadMemStats(&after)
	s.mallocs += after.Mallocs - before.Mallocs
	s.bytes += after.TotalAlloc - before.TotalAlloc
	for i, p := range parts {
		if errs[i] != nil {
			return errs[i]
		}
		s.latency.Merge(p)
	}
	return nil
}

func connectAll(w way, n int) ([]*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), overheadDuration)
	defer cancel()
	var conns []*pgx.Conn
	for range n {
		c, err := w(ctx)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
	}
	return conns, nil
}

func closeAll(conns []*pgx.Conn) {
	for _, c := range conns {
		_ = c.Close(context.Background())
	}
}

func sendUntil(c *pgconn.PgConn, sql string, end time.Time) (*hdrhistogram.Histogram, error) {
	h := newOverheadHistogram()
	for {
		sent := time.Now()
		if !sent.Before(end) {
			return h, nil
		}
		if _, err := c.Exec(context.Background(), sql).ReadAll(); err != nil {
			return h, err
		}
		_ = h.RecordValue(min(int64(time.Since(sent)/latencyUnit), int64(highestOverhead/latencyUnit)))
	}
}

func (s *speedometer) speed() Speed {
	n := s.latency.TotalCount()
	if n == 0 {
		return Speed{}
	}
	return Speed{
		PerSecond:       float64(n) / s.elapsed.Seconds(),
		P50:             time.Duration(s.latency.ValueAtPercentile(50)) * latencyUnit,
		P99:             time.Duration(s.latency.ValueAtPercentile(99)) * latencyUnit,
		CPUPerStatement: s.cpu / time.Duration(n),
		Allocations:     float64(s.mallocs) / float64(n),
		AllocatedBytes:  float64(s.bytes) / float64(n),
	}
}

func (rep *OverheadReport) print(w io.Writer) error {
	fmt.Fprintf(w, "overhead of one VM over loopback TCP, machine load %s on %d CPUs\n\n", rep.Machine.Load, rep.Machine.CPUs)
	t := newTable(w)
	t.row("statement", "clients", "direct/s", "VM/s", "direct p50", "VM p50", "added p50", "direct p99", "VM p99", "added p99", "VM CPU", "VM allocations", "VM bytes")
	for _, o := range rep.Speeds {
		t.row(o.Kind, fmt.Sprint(o.Clients), fmt.Sprintf("%.0f", o.Direct.PerSecond), fmt.Sprintf("%.0f", o.Proxied.PerSecond),
			micros(o.Direct.P50), micros(o.Proxied.P50), micros(o.Proxied.P50-o.Direct.P50),
			micros(o.Direct.P99), micros(o.Proxied.P99), micros(o.Proxied.P99-o.Direct.P99),
			micros(o.Proxied.CPUPerStatement-o.Direct.CPUPerStatement),
			fmt.Sprintf("%.0f", o.Proxied.Allocations-o.Direct.Allocations),
			fmt.Sprintf("%.0f", o.Proxied.AllocatedBytes-o.Direct.AllocatedBytes))
	}
	if err := t.end(); err != nil {
		return err
	}
	t = newTable(w)
	t.row("idle connections", "heap and stacks for each", "goroutines for each")
	for _, m := range rep.Memory {
		t.row(fmt.Sprint(m.Connections), fmt.Sprintf("%.1f KiB", float64(m.BytesEach)/1024), fmt.Sprintf("%.2f", m.GoroutinesEach))
	}
	return t.end()
}
