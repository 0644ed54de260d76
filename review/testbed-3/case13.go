package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// refusedBegin: a tenant sends many times its usual. Its clients send the statements of a
// transaction without waiting for the answer to BEGIN.
func refusedBegin(rec *recorder, trouble bool, program string) (bool, error) {
	const (
		sessions  = 12
		usual     = 12.5 // transactions a second of the tenant; its rate is 1.6 times that
		hotFactor = 7.5
		hotFor    = 6500 * time.Millisecond
	)
	t, err := newTestbed(rec, trouble, program, 1)
	if err != nil {
		return false, err
	}
	defer t.close()
	if err := t.addGroups(1, 0, 33); err != nil {
		return false, err
	}
	t.putConfig(7, []tenant{{Name: "tenant1", APIKeys: []string{"key1"}, Priority: 1, RatePerS: 1.6 * usual, Burst: 1.6 * usual}})
	if err := t.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	perSecond := usual
	if trouble {
		perSecond = usual * hotFactor
	}
	pause := time.Duration(sessions / perSecond * float64(time.Second))
	ctx, stop := context.WithTimeout(context.Background(), hotFor)
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := make(map[string]bool) // ids of the writes of transactions whose BEGIN got a promise
	sent := 0
	for i := range sessions {
		wg.Go(func() {
			name := fmt.Sprintf("c%d", i)
			c, err := t.dial(name, t.vms[i%len(t.vms)], "p0", "key1")
			if err != nil {
				return
			}
			defer c.close()
			time.Sleep(time.Duration(rand.Int64N(int64(pause))))
			for ctx.Err() == nil {
				next := time.Now().Add(pause)
				write, promised, ok := c.transaction()
				if !ok {
					return
				}
				mu.Lock()
				sent++
				if promised {
					refused[write] = true
				}
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	g := t.groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := 0
	for _, e := range g.primary().log {
		if refused[e.id] {
			broken++
			rec.add("REFUSED: the write %s is committed, and BEGIN of its transaction was answered with BUSY", e.id)
		}
	}
	rec.add("%d transactions, %d refused at BEGIN, %d of these committed their write", sent, len(refused), broken)
	fmt.Printf("%d transactions, %d refused at BEGIN, %d of these committed their write\n", sent, len(refused), broken)
	if sent < 20 || trouble && len(refused) == 0 {
		return false, errSetup
	}
	return broken == 0, nil
}

// transaction sends BEGIN, a write and COMMIT at once and reads the three answers. It
// returns the id of the write, and whether BEGIN was answered with a promise that nothing of
// the attempt is kept.
func (c *client) transaction() (write string, promised, ok bool) {
	var ids []string
	var message strings.Builder
	for _, text := range []string{"BEGIN", "WRITE " + c.name + " data", "COMMIT"} {
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids = append(ids, id)
		c.t.rec.add("client %s sends %s %s", c.name, id, text)
		fmt.Fprintf(&message, "QUERY %s %s\r\n", id, text)
	}
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	for i, id := range ids {
		text := ""
		if i == 0 {
			text = message.String()
		}
		x := c.read(text)
		c.t.rec.add("client %s gets %s: %s %s %s %s", c.name, id, x.code, x.signature, x.state, x.position)
		if x.code == "" {
			return "", false, false
		}
		if i == 0 {
			promised = x.code == "BUSY"
		}
	}
	return ids[1], promised, true
}
