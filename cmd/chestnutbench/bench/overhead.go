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
	// overheadRounds is how often direct and proxied measurements alternate, so that
	// both run under the same load of the machine.
	overheadRounds = 3
	// overheadDuration is the default length of one measurement. It also limits how
	// long the connections of a measurement may take to open.
	overheadDuration = 4 * time.Second
	// overheadConnectionLimit is the connection limit of the backend server.
	overheadConnectionLimit = 256
	// overheadRate is the customer's rate and burst, high enough to never limit.
	overheadRate = 1e7
	// overheadSessionLimit is the session limit of the VM.
	overheadSessionLimit = 16384
	// overheadLatencyUnit is the unit of the overhead histograms.
	overheadLatencyUnit = 100 * time.Nanosecond
	// maxOverheadLatency is the highest latency that the histograms hold.
	maxOverheadLatency = 10 * time.Second
)

// overheadClients lists the numbers of concurrent clients.
var overheadClients = []int{1, 8, 32, 128}

// overheadKinds lists the measured statements.
var overheadKinds = []struct{ name, sql string }{
	{"read", "SELECT 1"},
	{"write", "UPSERT kv ('k', 'v')"},
}

// Overhead compares statements sent through one VM with statements sent directly to
// the backend server.
type Overhead struct {
	Kind    string // "read" or "write"
	Clients int    // concurrent clients
	Direct  Speed
	Proxied Speed
}

// Speed holds throughput, latency and cost of statements, either direct or proxied.
// The process also contains the clients and the backend server, so the cost of the
// VM is the difference between proxied and direct.
type Speed struct {
	PerSecond       float64 // statements
	P50, P99        time.Duration
	CPUPerStatement time.Duration
	Allocations     float64 // per statement
	AllocatedBytes  float64 // per statement
}

// OverheadReport holds the results of the overhead scenario. -json writes it under
// these field names.
type OverheadReport struct {
	Machine Machine // state at the start
	Speeds  []Overhead
	Memory  []IdleMemory
}

// overheadProfile returns a profile with one VM and one group of one server, whose
// connects, statements and replication take no simulated time.
func overheadProfile() fleet.Profile {
	p := fleet.Fes()
	p.VMs = 1
	p.Groups = p.Groups[:1]
	p.ServersPerGroup = 1
	p.Slots = overheadConnectionLimit
	p.Connections = overheadConnectionLimit
	p.ConnectCost, p.StatementCost, p.ReplicationDelay = 0, 0, 0
	p.Customers = []fleet.Customer{{Name: "bindery", Rate: overheadRate, Burst: overheadRate}}
	return p
}

func runOverhead(o *options, stdout, stderr io.Writer) error {
	f, err := fleet.Start(overheadProfile(), fleet.Options{
		TCP:    true,
		Seed:   o.seed,
		Logger: &log.Logger{Handler: discard.Default},
		Adjust: func(v *chestnutdyke.Options) { v.MaxSessions = overheadSessionLimit },
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
	duration := o.duration
	if duration == 0 {
		duration = overheadDuration
	}
	report := &OverheadReport{Machine: currentMachine()}
	for _, k := range overheadKinds {
		for _, n := range overheadClients {
			fmt.Fprintf(stderr, "overhead, %s, %d clients\n", k.name, n)
			m, err := measureOverhead(f, k.sql, n, duration)
			if err != nil {
				return err
			}
			m.Kind = k.name
			report.Speeds = append(report.Speeds, *m)
		}
	}
	for _, n := range o.idleConnections {
		fmt.Fprintf(stderr, "overhead, %d idle connections\n", n)
		m, err := measureIdleMemory(f, n)
		if err != nil {
			return err
		}
		report.Memory = append(report.Memory, *m)
	}
	if o.json {
		return writeJSON(stdout, report)
	}
	return report.print(stdout)
}

// connectFunc connects a client to the backend server, directly or through the VM.
type connectFunc func(ctx context.Context) (*pgx.Conn, error)

func connectProxied(f *fleet.Fleet) connectFunc {
	return func(ctx context.Context) (*pgx.Conn, error) {
		return f.Connect(ctx, f.Profile.Customers[0].Name, f.Profile.Groups[0], 0, fleet.NewSession)
	}
}

func connectDirect(f *fleet.Fleet) connectFunc {
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

// measureOverhead measures direct and proxied statements in alternating rounds.
func measureOverhead(f *fleet.Fleet, sql string, clients int, duration time.Duration) (*Overhead, error) {
	connectFuncs := []connectFunc{connectDirect(f), connectProxied(f)}
	recorders := []*speedRecorder{newSpeedRecorder(), newSpeedRecorder()}
	for range overheadRounds {
		for i, connect := range connectFuncs {
			if err := recorders[i].measure(connect, sql, clients, duration/overheadRounds); err != nil {
				return nil, err
			}
		}
	}
	return &Overhead{Clients: clients, Direct: recorders[0].speed(), Proxied: recorders[1].speed()}, nil
}

// speedRecorder accumulates the rounds of a direct or proxied measurement.
type speedRecorder struct {
	latency *hdrhistogram.Histogram // in overheadLatencyUnit
	elapsed time.Duration
	cpu     time.Duration
	mallocs uint64
	bytes   uint64
}

func newOverheadHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxOverheadLatency/overheadLatencyUnit), latencyPrecision)
}

func newSpeedRecorder() *speedRecorder { return &speedRecorder{latency: newOverheadHistogram()} }

// measure runs one round: each client sends statements one after the other.
func (s *speedRecorder) measure(connect connectFunc, sql string, clients int, duration time.Duration) error {
	conns, err := connectAll(connect, clients)
	defer closeAll(conns)
	if err != nil {
		return err
	}
	histograms := make([]*hdrhistogram.Histogram, clients)
	errs := make([]error, clients)
	var running sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, cpu := time.Now(), processCPU()
	for i, c := range conns {
		running.Go(func() { histograms[i], errs[i] = sendUntil(c.PgConn(), sql, start.Add(duration)) })
	}
	running.Wait()
	s.elapsed += time.Since(start)
	s.cpu += processCPU() - cpu
	runtime.ReadMemStats(&after)
	s.mallocs += after.Mallocs - before.Mallocs
	s.bytes += after.TotalAlloc - before.TotalAlloc
	for i, h := range histograms {
		if errs[i] != nil {
			return errs[i]
		}
		s.latency.Merge(h)
	}
	return nil
}

func connectAll(connect connectFunc, n int) ([]*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), overheadDuration)
	defer cancel()
	var conns []*pgx.Conn
	for range n {
		c, err := connect(ctx)
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

// sendUntil sends the statement repeatedly until end and returns the latencies.
func sendUntil(conn *pgconn.PgConn, sql string, end time.Time) (*hdrhistogram.Histogram, error) {
	h := newOverheadHistogram()
	for {
		sent := time.Now()
		if !sent.Before(end) {
			return h, nil
		}
		if _, err := conn.Exec(context.Background(), sql).ReadAll(); err != nil {
			return h, err
		}
		_ = h.RecordValue(min(int64(time.Since(sent)/overheadLatencyUnit), int64(maxOverheadLatency/overheadLatencyUnit)))
	}
}

func (s *speedRecorder) speed() Speed {
	n := s.latency.TotalCount()
	if n == 0 {
		return Speed{}
	}
	return Speed{
		PerSecond:       float64(n) / s.elapsed.Seconds(),
		P50:             time.Duration(s.latency.ValueAtPercentile(50)) * overheadLatencyUnit,
		P99:             time.Duration(s.latency.ValueAtPercentile(99)) * overheadLatencyUnit,
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
			formatMicros(o.Direct.P50), formatMicros(o.Proxied.P50), formatMicros(o.Proxied.P50-o.Direct.P50),
			formatMicros(o.Direct.P99), formatMicros(o.Proxied.P99), formatMicros(o.Proxied.P99-o.Direct.P99),
			formatMicros(o.Proxied.CPUPerStatement-o.Direct.CPUPerStatement),
			fmt.Sprintf("%.0f", o.Proxied.Allocations-o.Direct.Allocations),
			fmt.Sprintf("%.0f", o.Proxied.AllocatedBytes-o.Direct.AllocatedBytes))
	}
	if err := t.flush(); err != nil {
		return err
	}
	t = newTable(w)
	t.row("idle connections", "heap and stacks for each", "goroutines for each")
	for _, m := range rep.Memory {
		t.row(fmt.Sprint(m.Connections), fmt.Sprintf("%.1f KiB", float64(m.BytesEach)/1024), fmt.Sprintf("%.2f", m.GoroutinesEach))
	}
	return t.flush()
}
