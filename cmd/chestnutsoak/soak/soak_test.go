package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Guards against violations of the consistency guarantees by the chestnutdyke
// program when processes get signals and connections fail. The seed is fixed; use
// chestnutsoak for longer runs.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "chestnutdyke")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/chestnutdyke/chestnutdyke/cmd/chestnutdyke").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	r, err := Run(Options{Binary: binary, Seed: 1, VMs: 4, Time: 8 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	for _, v := range r.Violations {
		t.Error(v)
	}
	if r.Served == 0 {
		t.Error("nothing was served")
	}
}
