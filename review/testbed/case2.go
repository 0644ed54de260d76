package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Requests a second for one database, and the length of the load, like those of the
// site ptbg-pool.
const (
	primaryPerSecond = 18
	boundedPerSecond = 18
	ownPerSecond     = 84
	loadTime         = 10 * time.Second
)

// deafReplica has one replica that is drained for its replacement, and another one that
// receives nothing for a while, during which the primary crashes. Commits are acknowledged
// once one replica has received them.
func deafReplica(tb *testbed, trouble bool) error {
	g := tb.addGroup("huvo11a", 60*time.Millisecond, 33)
	g.sync = true
	var servers []*server
	for i, zone := range []string{"chouara", "bab-guissa", "ain-azliten"} {
		s, err := tb.addServer(g, fmt.Sprintf("i-%s", zone), zone, i == 0)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	routes := []route{{"lepu270", "primary", g.name}, {"xapu221ny95", "bounded_staleness", g.name}, {"fiti832ti23", "read_own_writes", g.name}}
	var tenants []tenant
	for i := range 8 {
		tenants = append(tenants, tenant{fmt.Sprintf("tenant%d", i), fmt.Sprintf("key%d", i)})
	}
	tb.configure(7, routes, tenants)
	if err := tb.addVMs("bab-guissa", "chouara", "ain-azliten", "bab-guissa", "chouara", "ain-azliten", "bab-guissa"); err != nil {
		return err
	}
	if err := tb.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var load sync.WaitGroup
	end := time.Now().Add(loadTime)
	offer := func(database, item string, perSecond, writes, transactions float64) {
		load.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
				o := operation{tb: tb, vm: tb.vms[rand.IntN(len(tb.vms))], database: database, key: tenants[rand.IntN(len(tenants))].Key, item: item, writes: writes}
				if rand.Float64() < transactions {
					load.Go(o.runTransaction)
				} else {
					load.Go(o.runSingle)
				}
			}
		})
	}
	offer("lepu270", "p", primaryPerSecond, 0.2, 0.4)
	offer("xapu221ny95", "b", boundedPerSecond, 0, 0.1)
	offer("fiti832ti23", "o", ownPerSecond, 0.12, 0.12)
	time.Sleep(3 * time.Second)
	servers[1].drain()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		servers[2].setDeaf(6500 * time.Millisecond)
		time.Sleep(time.Second)
		servers[0].crash()
	}
	load.Wait()
	return nil
}

// operation is what a client does in a session of its own.
type operation struct {
	tb        *testbed
	vm        *vm
	database  string
	key, item string
	writes    float64 // fraction of the statements
}

// statement returns the ID and text of a read or write.
func (o *operation) statement() (id, text string, write bool) {
	if rand.Float64() < o.writes {
		return newID(), "WRITE " + o.item + "1 data", true
	}
	return newID(), "READ " + o.item + "1", false
}

// runSingle runs one statement.
func (o *operation) runSingle() {
	c, err := dial(o.tb.record, "", o.vm.front(), o.database, o.key)
	if err != nil {
		return
	}
	defer c.close()
	id, text, write := o.statement()
	a := c.exchange(id, text)
	if !write {
		return
	}
	o.tb.record.add("client at %s: answer to %s %q: %s", o.vm.name, id, text, a)
	if a.ok() {
		o.tb.record.acknowledge(id)
	}
}

// runTransaction runs some statements, with pauses, and commits.
func (o *operation) runTransaction() {
	c, err := dial(o.tb.record, "", o.vm.front(), o.database, o.key)
	if err != nil {
		return
	}
	defer c.close()
	if !c.exchange(newID(), "BEGIN").ok() {
		return
	}
	var writes []string
	for range 2 + rand.IntN(5) {
		id, text, write := o.statement()
		if !c.exchange(id, text).ok() {
			return
		}
		if write {
			writes = append(writes, id)
		}
		time.Sleep(rand.N(100 * time.Millisecond))
	}
	id := newID()
	a := c.exchange(id, "COMMIT")
	o.tb.record.add("client at %s: answer to COMMIT %s of %v: %s", o.vm.name, id, writes, a)
	if a.ok() {
		o.tb.record.acknowledge(writes...)
	}
}
