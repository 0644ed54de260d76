package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lateOrderLost: groups whose commits wait for a replica (syncReplicas 1). The primaries of
// five are down for a moment, and one of their replicas receives nothing for a while. The
// platform leaves one of the orders without an answer and carries it out 4 s later. The
// process that gave the orders is restarted as planned, and the primaries are back.
func lateOrderLost(rec *recorder, trouble bool, program string) (bool, error) {
	const (
		groups    = 12
		crashing  = 5 // of 36 servers
		down      = 1300 * time.Millisecond
		lateAfter = 4 * time.Second
	)
	t, err := newTestbed(rec, trouble, program, 1)
	if err != nil {
		return false, err
	}
	defer t.close()
	if err := t.addGroups(groups, 1, 33); err != nil {
		return false, err
	}
	t.putConfig(7)
	late := make(chan [2]string, 1) // holder and group of the order that gets no answer
	if trouble {
		var once sync.Once
		t.cloud.arrived = func(holder, service, id string, token uint64, carryOut func()) bool {
			answered := true
			if t.server(id).isDeaf() {
				once.Do(func() {
					answered = false
					rec.add("platform: that order gets no answer and is carried out %v later", lateAfter)
					time.AfterFunc(lateAfter, carryOut)
					late <- [2]string{holder, service}
				})
			}
			return answered
		}
	}
	if err := t.startAll(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	confirmed := make(map[string]bool) // ids of the writes for which a client got a success
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range groups {
		for k := range 2 {
			wg.Go(func() {
				t.writeAll(ctx, fmt.Sprintf("c%d-%d", i, k), t.vms[(i+k)%len(t.vms)], fmt.Sprintf("p%d", i), &mu, confirmed)
			})
		}
	}
	time.Sleep(4 * time.Second)
	checked := "" // group of the late order
	if trouble {
		for round := 0; checked == "" && round < 3; round++ { // which replica an order names is a matter of luck
			var faults sync.WaitGroup
			for i, g := range t.groups[:crashing] {
				faults.Go(func() { t.restartPrimary(g, (i+round)%2 == 0, down) })
			}
			select {
			case order := <-late:
				checked = order[1]
				time.Sleep(100 * time.Millisecond) // the orders for the other groups
				for _, v := range t.vms {
					if v.name == order[0] {
						t.stopVM(v, syscall.SIGTERM)
						if err := t.startVM(v, false); err != nil {
							return false, err
						}
					}
				}
			case <-time.After(3 * time.Second):
			}
			faults.Wait()
			if checked == "" {
				time.Sleep(4 * time.Second)
			}
		}
		if checked == "" {
			return false, fmt.Errorf("%w: no order names a server that receives nothing", errSetup)
		}
	}
	time.Sleep(8 * time.Second)
	stop()
	wg.Wait()
	return t.checkLost(checked, confirmed)
}

func (t *testbed) server(id string) *server {
	for _, g := range t.groups {
		for _, s := range g.servers {
			if s.id == id {
				return s
			}
		}
	}
	return nil
}

func (s *server) isDeaf() bool {
	if s == nil {
		return false
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.deaf
}
