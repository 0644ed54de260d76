package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// syncCommitLost: groups whose commits wait for a replica (syncReplicas 1). In each group a
// replica receives nothing for a while and the primary crashes meanwhile; it is back with its
// log about as fast as a supervisor restarts a process.
func syncCommitLost(rec *recorder, trouble bool, program string) (bool, error) {
	const groups = 12
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
	for round := range 3 { // without a loss, the same again
		if trouble {
			var faults sync.WaitGroup
			for i, g := range t.groups {
				down := 900*time.Millisecond + time.Duration(i/2)*50*time.Millisecond
				faults.Go(func() { t.restartPrimary(g, (i+round)%2 == 0, down) })
				time.Sleep(300 * time.Millisecond) // at most four primaries of 36 servers are down at once
			}
			faults.Wait()
		} else {
			time.Sleep(groups*300*time.Millisecond + 6*time.Second)
		}
		time.Sleep(8 * time.Second)
		mu.Lock()
		lost := t.lost("", confirmed)
		mu.Unlock()
		rec.add("round %d: %d acknowledged writes are lost", round+1, len(lost))
		if len(lost) > 0 {
			break
		}
	}
	stop()
	wg.Wait()
	return t.checkLost("", confirmed)
}

// checkLost reports whether each write for which a client got a success is in the log of the
// servers that were promoted later, in the named group or in all.
func (t *testbed) checkLost(only string, confirmed map[string]bool) (bool, error) {
	lost := t.lost(only, confirmed)
	for _, l := range lost {
		t.rec.add("LOST: %s, and the server that was promoted lacks it", l)
	}
	t.rec.add("%d writes were acknowledged, %d of them were lost", len(confirmed), len(lost))
	fmt.Printf("%d writes were acknowledged, %d of them were lost\n", len(confirmed), len(lost))
	if len(confirmed) < 100 {
		return false, errSetup
	}
	return len(lost) == 0, nil
}

// lost names the writes for which a client got a success and which a later promotion dropped.
func (t *testbed) lost(only string, confirmed map[string]bool) (lost []string) {
	for _, g := range t.groups {
		g.mu.Lock()
		for _, id := range g.lost {
			if confirmed[id] && (only == "" || only == g.name) {
				lost = append(lost, fmt.Sprintf("the write %s of group %s was acknowledged to its client", id, g.name))
			}
		}
		g.mu.Unlock()
	}
	return lost
}

// restartPrimary makes one of the replicas receive nothing for 6 s, crashes the primary and
// starts it again after the given time.
func (t *testbed) restartPrimary(g *group, first bool, down time.Duration) {
	g.mu.Lock()
	p := g.primary()
	var replicas []*server
	for _, s := range g.servers {
		if s != p {
			replicas = append(replicas, s)
		}
	}
	deaf := replicas[0]
	if !first {
		deaf = replicas[1]
	}
	deaf.deaf = true
	t.rec.add("server %s receives nothing from now on", deaf.id)
	g.mu.Unlock()
	p.crash()
	time.Sleep(down)
	if err := p.start(); err != nil {
		t.rec.add("server %s: %v", p.id, err)
	}
	g.mu.Lock()
	t.rec.add("server %s is back after %v, primary %v, log %s", p.id, down, p.primary, p.end())
	g.mu.Unlock()
	time.Sleep(6*time.Second - down)
	g.mu.Lock()
	deaf.deaf = false
	t.rec.add("server %s receives again", deaf.id)
	g.mu.Unlock()
}

// writePause is the time between an answer and the next write of a session.
const writePause = 70 * time.Millisecond

// writeAll writes with a session until ctx is done. It connects again after a failure.
func (t *testbed) writeAll(ctx context.Context, name string, v *vm, database string, mu *sync.Mutex, confirmed map[string]bool) {
	var c *client
	for ctx.Err() == nil {
		var err error
		if c == nil {
			if c, err = t.dial(name, v, database, "key1"); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		x := c.query(ctx, id, "WRITE "+name+" "+id, 2*time.Second)
		switch {
		case x.code == "OK":
			mu.Lock()
			confirmed[id] = true
			mu.Unlock()
		case x.code == "":
			c.close()
			c = nil
		}
		time.Sleep(writePause)
	}
	if c != nil {
		c.close()
	}
}
