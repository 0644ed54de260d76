package main

import (
	"fmt"
	"sync"
	"time"
)

// txClient is a client that runs one transaction in steps.
type txClient struct {
	*client
	tenant   string
	attempts *attempts
	sentIDs  []string // of its statements
	writes   []string // IDs of its acknowledged writes
	failure  string   // the first error that the transaction got
}

// step sends a statement and records it. It reports whether it succeeded.
func (c *txClient) step(text string) bool {
	if c.failure != "" {
		return false
	}
	id := newID()
	c.sentIDs = append(c.sentIDs, id)
	c.attempts.add(id, sent{c.name, c.tenant, text})
	c.record.add("client %s: sends %s %q", c.name, id, text)
	a := c.exchange(id, text)
	c.record.add("client %s: answer to %s: %s", c.name, id, a)
	c.failure = a.code
	if a.ok() && len(text) > 5 && text[:5] == "WRITE" {
		c.writes = append(c.writes, id)
	}
	return a.ok()
}

var (
	testRoutes  = []route{{"lepu270", "primary", "huvo11a"}, {"fiti832ti23", "read_own_writes", "huvo11a"}}
	testTenants = []tenant{{"nypu920", "u6wsjnbanfqasnmgkcuy"}, {"fesi113", "j8pjbvk9m68k7b2ex5wa"}}
)

// smallDeployment starts a database whose primary is in the zone chouara, which has one
// VM, and five VMs. It returns the group, the VM of the clients and the VM that holds
// the connections to the primary.
func smallDeployment(tb *testbed) (g *group, front, owner *vm, err error) {
	g = tb.addGroup("huvo11a", 8*time.Millisecond, 21)
	for i, zone := range []string{"chouara", "bab-guissa", "ain-azliten"} {
		if _, err := tb.addServer(g, fmt.Sprintf("i-%s", zone), zone, i == 0); err != nil {
			return nil, nil, nil, err
		}
	}
	tb.configure(7, testRoutes, testTenants)
	if err := tb.addVMs("bab-guissa", "chouara", "ain-azliten", "bab-guissa", "ain-azliten"); err != nil {
		return nil, nil, nil, err
	}
	if err := tb.awaitReady(20 * time.Second); err != nil {
		return nil, nil, nil, err
	}
	return g, tb.vms[0], tb.vms[1], nil
}

// staleTransaction kills the VM that holds the connections of open transactions. Its
// clients continue their transactions after the VM has been started again, while other
// clients have transactions open.
func staleTransaction(tb *testbed, trouble bool) error {
	g, front, owner, err := smallDeployment(tb)
	if err != nil {
		return err
	}
	a := &attempts{byID: make(map[string]sent)}
	open := func(name, tenant, key string) (*txClient, error) {
		c, err := dial(tb.record, name, front.front(), "lepu270", key)
		return &txClient{client: c, tenant: tenant, attempts: a}, err
	}
	time.Sleep(2 * time.Second)

	var early []*txClient
	for i := range 6 {
		c, err := open(fmt.Sprintf("early-%d", i), "nypu920", "u6wsjnbanfqasnmgkcuy")
		if err != nil {
			return err
		}
		defer c.close()
		if c.step("BEGIN") && c.step(fmt.Sprintf("WRITE lot%d first", i)) {
			early = append(early, c)
		}
	}
	if len(early) == 0 {
		return fmt.Errorf("no transaction could be opened")
	}
	if trouble {
		tb.kill(owner)
		time.Sleep(restartDelay)
		if err := tb.start(owner); err != nil {
			return err
		}
	} else {
		time.Sleep(restartDelay)
	}
	time.Sleep(700 * time.Millisecond)

	// Other clients work on.
	var group sync.WaitGroup
	var mu sync.Mutex
	var acknowledged, all []*txClient
	for i := range 8 {
		group.Go(func() {
			c, err := open(fmt.Sprintf("late-%d", i), "fesi113", "j8pjbvk9m68k7b2ex5wa")
			if err != nil {
				tb.record.add("client late-%d: no session: %v", i, err)
				return
			}
			defer c.close()
			if c.step("BEGIN") && c.step(fmt.Sprintf("WRITE skin%d first", i)) {
				time.Sleep(900 * time.Millisecond)
			}
			ok := c.step(fmt.Sprintf("WRITE skin%d second", i)) && c.step("COMMIT")
			mu.Lock()
			defer mu.Unlock()
			all = append(all, c)
			if ok {
				acknowledged = append(acknowledged, c)
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	for i, c := range early {
		ok := c.step(fmt.Sprintf("WRITE lot%d second", i)) && c.step("COMMIT")
		mu.Lock()
		all = append(all, c)
		if ok {
			acknowledged = append(acknowledged, c)
		}
		mu.Unlock()
	}
	group.Wait()
	time.Sleep(100 * time.Millisecond)
	checkTransactions(tb.record, a)
	for _, c := range acknowledged {
		checkCommit(tb.record, g, c.name, c.writes)
	}
	for _, c := range all {
		checkPromise(tb.record, g, c.name, c.failure, c.sentIDs)
	}
	return nil
}
