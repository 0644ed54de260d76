package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// expiredReplicaLost: groups whose commits wait for a replica (syncReplicas 1). In two of them
// a replica receives nothing for a second, and then the primary and the other replica are
// down for 6.9 s. Both come back with their logs.
func expiredReplicaLost(rec *recorder, trouble bool, program string) (bool, error) {
	const (
		groups   = 12
		affected = 2 // four of 36 servers are down
		deafFor  = time.Second
		down     = 6900 * time.Millisecond
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
	if trouble {
		var faults sync.WaitGroup
		for _, g := range t.groups[:affected] {
			faults.Go(func() { t.crashPair(g, deafFor, down) })
		}
		faults.Wait()
	} else {
		time.Sleep(deafFor + down)
	}
	time.Sleep(10 * time.Second)
	stop()
	wg.Wait()
	return t.checkLost("", confirmed)
}

// crashPair makes a replica receive nothing for a while, crashes the primary and the other
// replica at the end of it, and starts both again.
func (t *testbed) crashPair(g *group, deafFor, down time.Duration) {
	g.mu.Lock()
	p := g.primary()
	var replicas []*server
	for _, s := range g.servers {
		if s != p {
			replicas = append(replicas, s)
		}
	}
	deaf, other := replicas[0], replicas[1]
	deaf.deaf = true
	t.rec.add("server %s receives nothing from now on", deaf.id)
	g.mu.Unlock()
	time.Sleep(deafFor)
	p.crash()
	other.crash()
	g.mu.Lock()
	deaf.deaf = false
	t.rec.add("server %s receives again, log %s", deaf.id, deaf.end())
	g.mu.Unlock()
	time.Sleep(down)
	for _, s := range []*server{p, other} {
		if err := s.start(); err != nil {
			t.rec.add("server %s: %v", s.id, err)
		}
		g.mu.Lock()
		t.rec.add("server %s is back after %v, primary %v, log %s", s.id, down, s.primary, s.end())
		g.mu.Unlock()
	}
}
