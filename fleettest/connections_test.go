package fleettest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// checkConnections fails the test if a backend server ever had more connections
// than its limit, or refused one.
func (w *world) checkConnections() {
	w.t.Helper()
	most := 0
	for _, g := range w.fleet.Groups {
		for _, s := range g.Servers() {
			_, highest, refused := s.Connections()
			most = max(most, highest)
			if highest > w.fleet.Profile.Connections || refused > 0 {
				w.t.Errorf("%s: highest number of connections %d, limit %d, refused %d",
					s.Name(), highest, w.fleet.Profile.Connections, refused)
			}
		}
	}
	w.t.Logf("highest number of connections of a server: %d, limit %d", most, w.fleet.Profile.Connections)
}

// hold runs transactions through one VM, each of which holds a connection for
// some time, and returns how many committed and how many were refused.
func (w *world) hold(vm, clients int, during time.Duration) (committed, refused int) {
	var all sync.WaitGroup
	var mu sync.Mutex // guards committed and refused
	until := time.Now().Add(during)
	for i := range clients {
		all.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				err := w.holdOnce(vm, fmt.Sprintf("%d-%d-%d", vm, i, n))
				mu.Lock()
				if err == nil {
					committed++
				} else {
					refused++
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return committed, refused
}

func (w *world) holdOnce(vm int, entry string) error {
	p := w.fleet.Profile
	conn, err := w.fleet.Connect(background, large(p).Name, p.Groups[0], vm, fleet.NewSession)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(background) }()
	ctx, cancel := context.WithTimeout(background, 10*time.Second)
	defer cancel()
	tx, err := conn.Begin(ctx)
	if err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "APPEND log '"+entry+"'"); err != nil {
		return err
	}
	time.Sleep(150 * time.Millisecond)
	return tx.Commit(ctx)
}

// Guards against more connections than a backend server accepts while the load
// moves between VMs, and while a VM is replaced that has lent or borrowed some.
func TestLimitOfConnections(t *testing.T) {
	for _, p := range profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, p, func(w *world) {
				for _, vm := range []int{0, 1, 4, 0, 5} {
					committed, refused := w.hold(vm, 2*p.Connections, 2*time.Second)
					t.Logf("through %s: %d committed, %d refused", fleet.VMName(vm), committed, refused)
				}
				w.replaceUnderLoad(5)
				w.checkConnections()
			})
		})
	}
}

// replaceUnderLoad replaces a VM while other VMs use the connections.
func (w *world) replaceUnderLoad(vm int) {
	w.t.Helper()
	var others sync.WaitGroup
	for _, other := range []int{0, 1, 3} {
		others.Go(func() { w.hold(other, w.fleet.Profile.Connections, 8*time.Second) })
	}
	if err := w.fleet.KillVM(vm); err != nil {
		w.t.Error(err)
	}
	if err := w.fleet.StartVM(vm); err != nil {
		w.t.Fatal(err)
	}
	committed, refused := w.hold(vm, w.fleet.Profile.Connections, 8*time.Second)
	w.t.Logf("through %s after its replacement: %d committed, %d refused", fleet.VMName(vm), committed, refused)
	others.Wait()
}
