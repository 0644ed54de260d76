package main

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// serveStandIns runs only the simulated store and database groups, on loopback
// addresses, and writes settings files with which the VMs run as separate
// processes. It returns on SIGTERM or SIGINT.
func serveStandIns(out io.Writer, folder string, logger log.Interface) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f, err := fleet.Start(fleet.Fes(), fleet.Options{TCP: true, NoVMs: true, Logger: logger})
	if err != nil {
		return err
	}
	defer f.Close()
	paths, err := f.WriteSettings(folder)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "The store listens on %s. Start the VMs, each as a separate process:\n\n", fleet.StoreAddress())
	for _, p := range paths {
		fmt.Fprintf(out, "    go run ./cmd/chestnutdyke -config %s\n", p)
	}
	fmt.Fprintf(out, "\nThen ask for their status, and connect as a customer:\n\n")
	fmt.Fprintf(out, "    go run ./cmd/chestnutctl ticket status -store %s\n", fleet.StoreAddress())
	fmt.Fprintf(out, "    psql 'host=127.1.0.1 user=bindery dbname=ledger-1 password=%s'\n\n", fleet.Key("bindery"))
	<-ctx.Done()
	return nil
}
