// Command chestnutctl changes and shows the configuration of a chestnutdyke
// fleet. chestnutctl -h describes its commands.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"

	"github.com/chestnutdyke/chestnutdyke/cmd/chestnutctl/ctl"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, ctl.Env{
		Network:  network.TCP{},
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		ReadFile: os.ReadFile,
		Random:   rand.Reader,
	}, os.Args[1:])
	stop()
	os.Exit(code)
}
