// Command chestnutdemo runs a small fleet in one process, with simulated database
// servers and a simulated store, and demonstrates a write, the move of a session to
// another VM, a read from a replica, and a failover.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/text"
	"github.com/jackc/pgx/v5"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// demoTimeout limits the whole demonstration.
const demoTimeout = 30 * time.Second

func main() {
	verbose := flag.Bool("v", false, "print the logs of the VMs")
	standIns := flag.String("stand-ins", "", "run only the stand-ins until stopped, and write the settings of the VMs to this `folder`")
	flag.Usage = func() {
		fmt.Fprintf(flag.CommandLine.Output(), "Usage: chestnutdemo [-v] [-stand-ins FOLDER]\n\nRuns a fleet in one process, with simulated database servers and a simulated\nstore, and demonstrates a failover. With -stand-ins it runs only the simulated\nstore and database groups, on loopback addresses, for VMs that run as separate\nprocesses.\n\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	logger := &log.Logger{Handler: discard.Default}
	if *verbose {
		logger.Handler = text.New(os.Stderr)
	}
	if err := runMode(*standIns, logger); err != nil {
		fmt.Fprintln(os.Stderr, "chestnutdemo:", err)
		os.Exit(1)
	}
}

// runMode runs only the simulated store and database groups if a folder for
// settings is given, and otherwise the demonstration.
func runMode(standIns string, logger log.Interface) error {
	if standIns != "" {
		return serveStandIns(os.Stdout, standIns, logger)
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	return runDemo(ctx, os.Stdout, logger)
}

// demo holds the state of a demonstration, which ends at the first error.
type demo struct {
	ctx   context.Context
	out   io.Writer
	fleet *fleet.Fleet
	step  int
}

func runDemo(ctx context.Context, out io.Writer, logger log.Interface) error {
	f, err := fleet.Start(fleet.Fes(), fleet.Options{Seed: 1, Logger: logger})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintln(out, "Waiting until all VMs are ready.")
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	d := &demo{ctx: ctx, out: out, fleet: f}
	token, err := d.writeRow()
	if err != nil {
		return err
	}
	if err := d.moveSession(token); err != nil {
		return err
	}
	return d.failover()
}

// printStep prints the next step with its number.
func (d *demo) printStep(format string, args ...any) {
	d.step++
	fmt.Fprintf(d.out, "%d. %s\n", d.step, fmt.Sprintf(format, args...))
}

// writeRow inserts a row through the first VM and returns the session token.
func (d *demo) writeRow() (string, error) {
	c, err := d.connect(0, "")
	if err != nil {
		return "", err
	}
	defer c.Close(d.ctx)
	if _, err := c.Exec(d.ctx, "INSERT INTO kv VALUES ('skin-17', 'reserved')"); err != nil {
		return "", fmt.Errorf("insert the row: %w", err)
	}
	server, err := readServer(d.ctx, c)
	if err != nil {
		return "", err
	}
	d.printStep("%s: wrote skin-17 = reserved; a majority of ledger-1 holds it; the session reads from %s", fleet.VMName(0), server)
	return fleet.Token(c), nil
}

// moveSession continues the session on the second VM and reads the row from a
// replica there.
func (d *demo) moveSession(token string) error {
	c, err := d.connect(1, token)
	if err != nil {
		return err
	}
	defer c.Close(d.ctx)
	var value string
	if err := c.QueryRow(d.ctx, "SELECT value FROM kv WHERE key = 'skin-17'").Scan(&value); err != nil {
		return fmt.Errorf("read the row: %w", err)
	}
	server, err := readServer(d.ctx, c)
	if err != nil {
		return err
	}
	d.printStep("%s: the session moved here with its token and reads skin-17 = %s from %s", fleet.VMName(1), value, server)
	return nil
}

// failover stops the primary and writes through the second VM until a write
// succeeds on the new primary.
func (d *demo) failover() error {
	group := d.fleet.Groups["ledger-1"]
	oldPrimary := group.Primary()
	c, err := d.connect(1, "")
	if err != nil {
		return err
	}
	defer c.Close(d.ctx)
	oldPrimary.Stop()
	stopped := time.Now()
	d.printStep("the primary %s fails", oldPrimary.Name())
	for n := 0; ; n++ {
		_, err := c.Exec(d.ctx, fmt.Sprintf("INSERT INTO kv VALUES ('skin-18-%d', 'reserved')", n))
		if err == nil {
			break
		}
		d.printStep("%s: write failed, or its outcome is unknown: %v", fleet.VMName(1), err)
		if d.ctx.Err() != nil {
			return d.ctx.Err()
		}
	}
	outage := time.Since(stopped)
	d.printStep("%s: the next write is acknowledged after %d ms; the primary is now %s", fleet.VMName(1), outage.Milliseconds(), group.Primary().Name())
	var value string
	if err := c.QueryRow(d.ctx, "SELECT value FROM kv WHERE key = 'skin-17'").Scan(&value); err != nil {
		return fmt.Errorf("read after the failover: %w", err)
	}
	server, err := readServer(d.ctx, c)
	if err != nil {
		return err
	}
	d.printStep("%s: skin-17 is still %s, read from %s", fleet.VMName(1), value, server)
	return nil
}

func (d *demo) connect(vm int, token string) (*pgx.Conn, error) {
	c, err := d.fleet.Connect(d.ctx, "bindery", "ledger-1", vm, token)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", fleet.VMName(vm), err)
	}
	return c, nil
}

// readServer returns the name of the backend server that answers the session's reads.
func readServer(ctx context.Context, c *pgx.Conn) (string, error) {
	var server string
	if err := c.QueryRow(ctx, "SELECT server()").Scan(&server); err != nil {
		return "", fmt.Errorf("query the backend server's name: %w", err)
	}
	return server, nil
}
