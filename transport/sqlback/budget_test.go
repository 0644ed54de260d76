package sqlback_test

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

const manyConnections = 59

// configureMany gives the executor a configuration with more customers than the server
// accepts connections.
func (s *scriptedServer) configureMany(maxConnections int) {
	config := &catalog.Config{TxIdle: time.Minute, Groups: []catalog.Group{{Name: group, MaxConnections: maxConnections}}}
	for i := range 72 {
		config.Customers = append(config.Customers, catalog.Customer{Name: fmt.Sprintf("customer-%d", i), Rate: 400 / math.Pow(float64(i+1), 1.2)})
	}
	config.Index()
	s.table.Update(func(d catalog.Deployment) catalog.Deployment {
		d.Config = config
		return d
	})
}

// openTransactions opens n transactions of the customer at the same time and returns how
// many are open.
func openTransactions(run func(statement.RemoteStatement) statement.Result, customer string, n int) (open []uint64) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for range n {
		running.Go(func() {
			r := run(statement.RemoteStatement{
				Customer: customer, BeginsTx: true, Wait: 240 * time.Millisecond, Command: statement.Command{Verb: statement.Write},
			})
			mu.Lock()
			defer mu.Unlock()
			if r.Tx != 0 {
				open = append(open, r.Tx)
			}
		})
	}
	running.Wait()
	return open
}

// Guards against a customer that waits for its one connection while the server's other
// connections are idle, and against an owner that opens more than its share.
func TestDemandGetsIdleConnections(t *testing.T) {
	s := &scriptedServer{answer: answerInTx}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		s.configureMany(manyConnections)
		for i := range 56 {
			run(statement.RemoteStatement{Customer: fmt.Sprintf("customer-%d", i), Command: statement.Command{Verb: statement.Read}})
		}
		time.Sleep(time.Second)
		if open := openTransactions(run, "customer-60", 20); len(open) != 20 {
			t.Errorf("%d of 20 transactions are open", len(open))
		}
		openTransactions(run, "customer-61", 64)
		if _, n := s.openCounts(); n > manyConnections {
			t.Errorf("%d connections were open", n)
		}
	})
}

// Guards against small customers that get no connection while one customer has more
// statements waiting than the server has connections.
func TestSmallCustomerIsServedBesideLargeOne(t *testing.T) {
	s := &scriptedServer{answer: func(c statement.Command) statement.Answer {
		time.Sleep(30 * time.Millisecond)
		return statement.Answer{State: statement.Idle}
	}}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		s.configureMany(10)
		var stop atomic.Bool
		var running sync.WaitGroup
		for range 40 {
			running.Go(func() {
				for !stop.Load() {
					run(statement.RemoteStatement{Customer: "customer-0", Command: statement.Command{Verb: statement.Read}})
				}
			})
		}
		time.Sleep(time.Second)
		for i := 30; i < 40; i++ {
			start := time.Now()
			r := run(statement.RemoteStatement{Customer: fmt.Sprintf("customer-%d", i), Command: statement.Command{Verb: statement.Read}})
			if took := time.Since(start); r.Answer.Code != statement.OK || took > 150*time.Millisecond {
				t.Errorf("the statement of customer %d took %v: %s %s", i, took, r.Answer.Code, r.Answer.Text)
			}
		}
		stop.Store(true)
		running.Wait()
		if _, n := s.openCounts(); n > 10 {
			t.Errorf("%d connections were open", n)
		}
	})
}

// Guards against connections that stay open beyond a limit that was lowered.
func TestLoweredLimit(t *testing.T) {
	s := &scriptedServer{answer: answerInTx}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		s.configureMany(manyConnections)
		open := openTransactions(run, "customer-0", 40)
		s.configureMany(20)
		for _, tx := range open {
			run(statement.RemoteStatement{Customer: "customer-0", Tx: tx, Command: statement.Command{Verb: statement.Commit}})
		}
		time.Sleep(time.Second)
		if n, _ := s.openCounts(); n > 17 {
			t.Errorf("%d connections are open, the limit is 20", n)
		}
	})
}
