// Command chestnutdyke runs one VM of the fleet.
package main

import (
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/platform"
	"github.com/chestnutdyke/chestnutdyke/protocol/settings"
	"github.com/chestnutdyke/chestnutdyke/transport/pgbackend"
	"github.com/chestnutdyke/chestnutdyke/transport/telemetry"
)

// exportTimeout limits the export of the remaining spans on exit.
const exportTimeout = 5 * time.Second

const usage = `Usage: chestnutdyke -config FILE [-check-config] [-drain-timeout DURATION]
       chestnutdyke platform [-trace none|stdout|otlp] [-trace-endpoint HOST:PORT]

Runs one VM of the fleet. The settings file defines the VM's name, the addresses
on which it listens, and how it reaches the platform's store and other VMs.
Customers, keys, database groups and data centres come from tickets (see
chestnutctl).

SIGTERM and SIGINT stop the VM without interrupting requests: it refuses new
sessions, finishes running requests and transactions, lends its shares to other
VMs and exits. A second signal stops it at once.

Exit status: 0 after a planned stop, 1 on a failure, 2 on wrong usage or settings.

`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("chestnutdyke", flag.ContinueOnError)
	flags.SetOutput(stderr)
	if len(args) > 0 && args[0] == "platform" {
		return runPlatform(args[1:], stdout, stderr)
	}
	path := flags.String("config", "", "settings `file` in YAML")
	check := flags.Bool("check-config", false, "check the settings and exit; prints every error with its line")
	drainTimeout := flags.Duration("drain-timeout", time.Minute, "longest time for running transactions to end on a planned stop")
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if *path == "" && flags.NArg() == 1 {
		*path = flags.Arg(0)
	}
	if *path == "" {
		flags.Usage()
		return 2
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	if *check {
		fmt.Fprintf(stdout, "%s: settings of VM %s are valid\n", *path, s.VM)
		return 0
	}
	if err := serve(s, *drainTimeout, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "chestnutdyke:", err)
		return 1
	}
	return 0
}

// runPlatform runs a VM on the platform, which passes the path of the settings file
// in an environment variable.
func runPlatform(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("chestnutdyke platform", flag.ContinueOnError)
	flags.SetOutput(stderr)
	var tracing platform.Tracing
	flags.StringVar(&tracing.Exporter, "trace", "none", "exporter of spans: none, stdout or otlp")
	flags.StringVar(&tracing.Endpoint, "trace-endpoint", "", "`HOST:PORT` of the OTLP collector")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if err := platform.Run(stdout, tracing); err != nil {
		fmt.Fprintln(stderr, "chestnutdyke:", err)
		return 1
	}
	return 0
}

// serve runs the VM until it has stopped after a signal, and then exports the
// remaining spans.
func serve(s *settings.Settings, drainTimeout time.Duration, stdout, stderr io.Writer) error {
	logger, err := telemetry.NewLogger(s.Log.Level, s.Log.Format, stderr)
	if err != nil {
		return err
	}
	metrics := telemetry.NewMetrics(logger)
	defer metrics.Close()
	tracer, export, err := telemetry.NewTracer(context.Background(), s.Trace.Exporter, s.Trace.Endpoint, s.VM, stdout)
	if err != nil {
		return err
	}
	o := vmOptions(s)
	o.Logger, o.Scope, o.Metrics, o.Tracer = logger, metrics.Scope, metrics.Handler, tracer
	vm, err := chestnutdyke.New(o)
	if err != nil {
		return err
	}
	err = runUntilSignal(vm, drainTimeout, logger)
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if exportErr := export(ctx); exportErr != nil {
		logger.WithError(exportErr).Warn("trace: export failed.")
	}
	return err
}

// runUntilSignal runs the VM until SIGTERM or SIGINT and then drains it for at most
// drainTimeout. A second signal ends the drain at once.
func runUntilSignal(vm *chestnutdyke.VM, drainTimeout time.Duration, logger log.Interface) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return vm.Run(ctx) })
	g.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		logger.Info("session: planned stop.")
		drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		go func() {
			select {
			case <-signals:
				cancel()
			case <-drainCtx.Done():
			}
		}()
		if err := vm.Drain(drainCtx); err != nil {
			logger.WithError(err).Warn("session: transactions were still running.")
		}
		return nil
	})
	return g.Wait()
}

// vmOptions returns the VM's options for the settings.
func vmOptions(s *settings.Settings) chestnutdyke.Options {
	o := chestnutdyke.Options{
		Name:            s.VM,
		DataCentre:      s.DataCentre,
		ClientAddress:   s.Addresses.Clients,
		PeerAddress:     s.Addresses.Peers,
		AdminAddress:    s.Addresses.Admin,
		Advertise:       s.Advertise,
		Store:           s.Store,
		Secret:          s.FleetSecret.Value.Bytes(),
		Backend:         pgbackend.Credentials{User: s.Backend.User, Password: string(s.Backend.Password.Bytes())},
		Workers:         s.Workers,
		MaxSessions:     s.Limits.Sessions,
		SessionQueue:    s.Limits.SessionQueue,
		DefaultDeadline: s.Limits.DefaultDeadline,
		Session:         session.Options{ReadsOnPrimary: s.Baselines.ReadsOnPrimary, NoGroupCommit: s.Baselines.NoGroupCommit},
		Queueing:        queueing.Options{FIFO: s.Baselines.NoFairQueueing, MaxWaiters: s.Limits.ServerWaiters},
		StaticShares:    s.Baselines.StaticShares,
	}
	for _, seed := range s.Seeds {
		o.Seeds = append(o.Seeds, membership.Peer{Name: seed.VM, Address: seed.Address})
	}
	if c := s.TLS.Certificate; c != nil {
		o.TLS = &tls.Config{Certificates: []tls.Certificate{*c}, MinVersion: tls.VersionTLS12}
	}
	return o
}
