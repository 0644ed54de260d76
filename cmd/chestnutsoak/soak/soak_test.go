package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// soakRuns are the runs of TestShortSoak: one for each seed that ever failed.
var soakRuns = []Options{
	{Seed: 1, VMs: 4, Time: 8 * time.Second}, // reads of an older value after a newer one
	// Statements ran in other clients' transactions after a VM had been killed. The
	// lengths of faults are random, so a run met the fault only sometimes.
	{Seed: 28002, VMs: 6, Time: 15 * time.Second},
	// The store came back without the members of a group, and the next coordinator promoted
	// a server that lacked an acknowledged write.
	{Seed: 49308, VMs: 6, Time: 20 * time.Second},
}

// Guards against violations of the consistency guarantees by the chestnutdyke
// program when processes get signals and connections fail. The seeds are fixed; use
// chestnutsoak for longer runs.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "chestnutdyke")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/chestnutdyke/chestnutdyke/cmd/chestnutdyke").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, o := range soakRuns {
		o.Binary = binary
		r, err := Run(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(r)
		for _, v := range r.Violations {
			t.Error(v)
		}
		if r.Served == 0 {
			t.Errorf("seed %d: nothing was served", o.Seed)
		}
	}
}
