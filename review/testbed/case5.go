package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	startGap     = 300 * time.Millisecond
	databases    = 20
	requestsPerS = 30
	freezes      = 22
	freezeTime   = time.Second
	timeAwake    = 1900 * time.Millisecond
	settleTime   = 12 * time.Second // from the last freeze to the final fault
	recoveryTime = 15 * time.Second // recoveryS
	measureTime  = 6 * time.Second
	leastServed  = 0.25
)

// served is a request of a client, and whether it was answered with success.
type served struct {
	sentAt time.Time
	ok     bool
}

// dutyHolder returns the VM that last claimed in the store to be the one that orders
// promotions.
func (tb *testbed) dutyHolder() (*vm, error) {
	tb.store.mu.Lock()
	defer tb.store.mu.Unlock()
	for _, objects := range tb.store.objects {
		for _, object := range objects {
			encoded, ok := object["spec"].(json.RawMessage)
			var spec struct{ Holder string }
			if !ok || json.Unmarshal(encoded, &spec) != nil {
				continue
			}
			for _, v := range tb.vms {
				if v.name == spec.Holder {
					return v, nil
				}
			}
		}
	}
	return nil, errors.New("no VM has claimed the duty")
}

// frozenCoordinator freezes the VM that orders promotions, again and again. Later the
// instances of one zone, all primaries among them, are lost; this is done without the
// trouble too.
func frozenCoordinator(tb *testbed, trouble bool) error {
	zones := []string{"bab-guissa", "chouara", "ain-azliten"}
	var primaries []*server
	var routes []route
	for i := range databases {
		g := tb.addGroup(fmt.Sprintf("huvo11a-%d", i), 60*time.Millisecond, 21)
		for j, zone := range zones {
			s, err := tb.addServer(g, fmt.Sprintf("i-%d-%s", i, zone), zone, j == 0)
			if err != nil {
				return err
			}
			if j == 0 {
				primaries = append(primaries, s)
			}
		}
		routes = append(routes, route{fmt.Sprintf("lepu270-%d", i), "primary", g.name})
	}
	tb.configure(7, routes, testTenants)
	tb.startGap = startGap
	if err := tb.addVMs("chouara", "ain-azliten", "bab-guissa", "bab-guissa", "bab-guissa", "bab-guissa", "bab-guissa"); err != nil {
		return err
	}
	if err := tb.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var load sync.WaitGroup
	var mu sync.Mutex // guards requests
	var requests []served
	stop := make(chan struct{})
	load.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / requestsPerS * float64(time.Second))):
			}
			load.Go(func() {
				r := served{sentAt: time.Now()}
				r.ok = request(tb, tb.vms[rand.IntN(len(tb.vms))], routes[rand.IntN(databases)].Database)
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, r)
			})
		}
	})
	time.Sleep(time.Second)
	for range freezes {
		v, err := tb.dutyHolder()
		if err != nil {
			return err
		}
		if trouble {
			tb.record.add("vm %s: SIGSTOP", v.name)
			_ = v.process.Process.Signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if trouble {
			tb.record.add("vm %s: SIGCONT", v.name)
			_ = v.process.Process.Signal(syscall.SIGCONT)
		}
		time.Sleep(timeAwake)
	}
	time.Sleep(settleTime)
	fault := time.Now()
	for _, s := range primaries {
		s.crash()
	}
	time.Sleep(recoveryTime + measureTime)
	close(stop)
	load.Wait()
	for _, v := range tb.vms {
		tb.record.add("vm %s: runs: %v, ready: %v", v.name, !v.hasEnded(), v.isReady())
	}
	share := func(from, to time.Time) float64 {
		ok, all := 0, 0
		for _, r := range requests {
			if r.sentAt.Before(from) || !r.sentAt.Before(to) {
				continue
			}
			all++
			if r.ok {
				ok++
			}
		}
		tb.record.add("testbed: of %d requests sent from %.1f to %.1f s, %d were served", all, from.Sub(tb.record.start).Seconds(), to.Sub(tb.record.start).Seconds(), ok)
		return float64(ok) / float64(max(all, 1))
	}
	before := share(fault.Add(-settleTime), fault)
	after := share(fault.Add(recoveryTime), fault.Add(recoveryTime+measureTime))
	if before < leastServed {
		return fmt.Errorf("only %.2f of the requests were served before the final fault", before)
	}
	if after < leastServed {
		tb.record.broken("RECOVER: %.2f of the requests that were sent later than %v after the final fault were served, %.2f before it", after, recoveryTime, before)
	}
	return nil
}

// request runs one statement in a session of its own and reports whether it succeeded.
func request(tb *testbed, v *vm, database string) bool {
	id, text := newID(), "READ w1"
	if rand.Float64() < 0.2 {
		text = "WRITE w1 data"
	}
	c, err := dial(tb.record, "", v.front(), database, testTenants[rand.IntN(len(testTenants))].Key)
	if err != nil {
		tb.record.add("client at %s: no session for %s %q: %v", v.name, id, text, err)
		return false
	}
	defer c.close()
	sentAt := time.Now()
	a := c.exchange(id, text)
	tb.record.add("client at %s: %s, answer to %s %q after %d ms: %s", v.name, database, id, text, time.Since(sentAt).Milliseconds(), a)
	return a.ok()
}
