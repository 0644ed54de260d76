package managed

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// classOfLoad is a kind of operations of a load. Its index is the priority.
type classOfLoad struct {
	name                      string
	clients                   int
	work, objective, deadline time.Duration
}

var classesOfLoad = []classOfLoad{
	{"trades", 160, 11 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond},
	{"saves", 96, 33 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond},
	{"rankings", 64, 55 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second},
}

// loadDeployment has servers with as many slots and connections as the users' ones.
var loadDeployment = Options{
	Zones: 1, VMs: 4, Groups: 1, Customers: 12, Rate: 10000, Lag: 10 * time.Millisecond, MaxConns: 59,
	Capacity: Capacity{Slots: 6, Queue: 48, Work: func(payload string) time.Duration {
		for _, c := range classesOfLoad {
			if c.name == payload {
				return c.work
			}
		}
		return time.Millisecond
	}},
}

// classResult counts operations of one class.
type classResult struct {
	inTime, late, refused int
	attemptsRefused       int
	refusedAfter          time.Duration // sum over the attempts
}

// runClassLoad lets the clients of each class send reads to the primary for a while,
// about once a second each.
func runClassLoad(t *testing.T, d *Deployment, priorities []int, duration time.Duration) []classResult {
	t.Helper()
	d.Configure(func(c *catalog.Config) {
		for i, l := range classesOfLoad {
			c.Routes = append(c.Routes, catalog.Route{
				Name: l.name, Database: l.name, Group: GroupName(0), Timeout: l.deadline, TargetLatency: l.objective, Priority: priorities[i],
			})
		}
	})
	time.Sleep(2 * time.Second)
	results := make([]classResult, len(classesOfLoad))
	var mu sync.Mutex
	var clients sync.WaitGroup
	until := time.Now().Add(duration)
	for i, l := range classesOfLoad {
		for n := range l.clients {
			clients.Go(func() {
				random := rand.New(rand.NewPCG(uint64(i), uint64(n)))
				name := fmt.Sprintf("%s-%d", l.name, n)
				c := connect(t, d.VM(fmt.Sprintf("vm-0-%d", n%d.Options.VMs)), name, l.name, n%d.Customers)
				defer c.Close()
				for {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second)))
					if !time.Now().Before(until) {
						return
					}
					var r classResult
					runOperation(c, l, &r)
					mu.Lock()
					results[i].inTime += r.inTime
					results[i].late += r.late
					results[i].refused += r.refused
					results[i].attemptsRefused += r.attemptsRefused
					results[i].refusedAfter += r.refusedAfter
					mu.Unlock()
				}
			})
		}
	}
	clients.Wait()
	return results
}

// runOperation runs an operation, with up to two retries before its deadline.
func runOperation(c *Client, l classOfLoad, r *classResult) {
	start := time.Now()
	for range 3 {
		attempt := time.Now()
		_, a := c.Do(statement.Read, l.name)
		switch took := time.Since(start); {
		case a.Code == statement.OK && took <= l.objective:
			r.inTime++
			return
		case a.Code != statement.Busy:
			r.late++
			return
		}
		r.attemptsRefused++
		r.refusedAfter += time.Since(attempt)
		_, after, _ := strings.Cut(strings.TrimSuffix(a.Text, " ms"), "retry after ")
		ms, err := strconv.Atoi(after)
		if pause := time.Duration(ms) * time.Millisecond; err == nil && time.Since(start)+pause < l.deadline {
			time.Sleep(pause)
			continue
		}
		break
	}
	r.refused++
}

func (r classResult) share() float64 { return float64(r.inTime) / float64(r.inTime+r.late+r.refused) }

// Guards against statements of all classes that queue inside a server, so that the most
// urgent ones are late, and against lower classes that starve.
func TestClassesUnderLoad(t *testing.T) {
	var shares [2][]float64
	for i, priorities := range [][]int{{0, 0, 0}, {0, 1, 2}} {
		inDeployment(t, loadDeployment, func(d *Deployment) {
			for n, r := range runClassLoad(t, d, priorities, 8*time.Second) {
				t.Logf("priorities %v: %-8s %4d in time, %3d late, %3d refused; %d attempts refused after %v on average", priorities, classesOfLoad[n].name,
					r.inTime, r.late, r.refused, r.attemptsRefused, r.refusedAfter/time.Duration(max(r.attemptsRefused, 1)))
				shares[i] = append(shares[i], r.share())
			}
		})
	}
	if got := shares[1][0]; got < 0.9 || got < shares[0][0]+0.1 {
		t.Errorf("%.2f of the trades in time with priorities, %.2f without", got, shares[0][0])
	}
	if got := shares[1][2]; got < 0.1 {
		t.Errorf("%.2f of the rankings in time", got)
	}
}

// Guards against a refusal of a statement that has run, and against lost commits, when
// classes compete for servers that are too slow and a connection owner is killed.
func TestClassesWhenOwnerDies(t *testing.T) {
	o := smallDeployment
	o.Capacity = Capacity{Slots: 1, Queue: 10, Work: func(string) time.Duration { return 80 * time.Millisecond }}
	inDeployment(t, o, func(d *Deployment) {
		d.Configure(func(c *catalog.Config) {
			for i := range c.Routes {
				c.Routes[i].Priority = i % 3
			}
			for i := range c.Customers {
				c.Customers[i].Priority = i
			}
		})
		l := startLoad(t, d)
		time.Sleep(4 * time.Second)
		d.VM("vm-0-0").Kill()
		time.Sleep(3 * time.Second)
		d.StartVM("vm-0-0", zoneName(0))
		time.Sleep(4 * time.Second)
		l.finish()
		heldBack := 0
		for reason, n := range l.reasons {
			if strings.Contains(reason, "more urgent") {
				heldBack += n
			}
		}
		t.Logf("%d statements succeeded, %d were held back and refused", l.codes[statement.OK], heldBack)
		if heldBack == 0 || l.codes[statement.OK] == 0 {
			t.Errorf("%d statements were held back and %d succeeded", heldBack, l.codes[statement.OK])
		}
	})
}
