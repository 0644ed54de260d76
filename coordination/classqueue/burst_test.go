package classqueue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/classqueue"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

const ms = time.Millisecond

// operationType is one of the three kinds of operations of docs/design/admission.md.
type operationType struct {
	name                      string
	share, worth              float64
	work, objective, deadline time.Duration
}

var operationTypes = []operationType{
	{"trades", 0.50, 3.4, 11 * ms, 200 * ms, 1200 * ms},
	{"saves", 0.30, 1.8, 33 * ms, 400 * ms, 1200 * ms},
	{"rankings", 0.20, 0.45, 55 * ms, 1500 * ms, 5000 * ms},
}

const (
	slots       = 6
	serverQueue = 48
	connections = 60 // of all owners
	usualLoad   = 0.45
	burstFrom   = 3 * time.Second
	burstUntil  = 9 * time.Second
	end         = 12 * time.Second
)

// operation is a client's operation with its current attempt.
type operation struct {
	kind, customer, attempts int
	startedAt, arrivedAt     time.Duration
	held                     bool
}

type event struct {
	at  time.Duration
	run func()
}

type owner struct {
	queue    classqueue.Queue[*operation]
	pressure *classqueue.Pressure
	free     int
}

// tally counts the operations of one type that began during the burst.
type tally struct {
	served, late, refused int
	refusedAfter          []time.Duration // time of an attempt until its refusal
}

// burst plays a burst at one server with many owners.
type burst struct {
	classes  bool // otherwise first come, first served
	random   *rand.Rand
	now      time.Duration
	events   []event // in the order of time
	owners   []owner
	running  int
	inServer []func() // statements that wait for a slot
	types    [3]tally
	others   tally     // operations of customers other than the busiest
	after    tally     // rankings after the burst
	held     []float64 // probability of holding rankings back, every 100 ms
}

func (b *burst) schedule(d time.Duration, run func()) {
	at := b.now + d
	i := sort.Search(len(b.events), func(i int) bool { return b.events[i].at > at })
	b.events = slices.Insert(b.events, i, event{at, run})
}

// play runs the burst, in which factor times the usual load arrives. With one large
// customer, all of the additional load is its own.
func play(classes bool, owners int, factor float64, largeCustomer bool, seed uint64) *burst {
	b := &burst{classes: classes, random: rand.New(rand.NewPCG(seed, 1)), owners: make([]owner, owners)}
	for i := range b.owners {
		b.owners[i] = owner{pressure: classqueue.NewPressure(0), free: connections / owners}
	}
	meanWork := 0.0
	for _, k := range operationTypes {
		meanWork += k.share * k.work.Seconds()
	}
	rate := usualLoad * slots / meanWork
	for at := time.Duration(0); at < end; {
		inBurst := at >= burstFrom && at < burstUntil
		current := rate
		if inBurst {
			current *= factor
		}
		at += time.Duration(b.random.ExpFloat64() / current * float64(time.Second))
		op := &operation{kind: b.pickType(), customer: b.random.IntN(72)}
		if inBurst && largeCustomer && b.random.Float64() < 1-1/factor {
			op.customer = 0
		}
		started := at
		b.schedule(at, func() { op.startedAt = started; b.attempt(op) })
	}
	for t := time.Duration(0); t < end; t += 100 * ms {
		b.schedule(t, func() {
			p := b.owners[0].pressure
			p.Advance(b.now)
			b.held = append(b.held, p.HoldProbability(statement.Class{Route: 2}))
		})
	}
	for len(b.events) > 0 {
		e := b.events[0]
		b.events = b.events[1:]
		b.now = e.at
		e.run()
	}
	return b
}

// playAll plays the burst with several seeds and adds up the results.
func playAll(classes bool, owners int, factor float64, largeCustomer bool) *burst {
	sum := &burst{}
	for seed := range uint64(10) {
		b := play(classes, owners, factor, largeCustomer, seed)
		for i := range b.types {
			sum.types[i].add(&b.types[i])
		}
		sum.others.add(&b.others)
		sum.after.add(&b.after)
		sum.held = append(append(sum.held, 0), b.held...)
	}
	return sum
}

func (t *tally) add(other *tally) {
	t.served, t.late, t.refused = t.served+other.served, t.late+other.late, t.refused+other.refused
	t.refusedAfter = append(t.refusedAfter, other.refusedAfter...)
}

func (b *burst) pickType() int {
	x := b.random.Float64()
	for i, k := range operationTypes {
		if x -= k.share; x < 0 {
			return i
		}
	}
	return 0
}

func (op *operation) typ() operationType { return operationTypes[op.kind] }

func (op *operation) request(now time.Duration) classqueue.Request {
	k := op.typ()
	return classqueue.Request{
		Admission: statement.Admission{Class: statement.Class{Route: op.kind}, Kind: uint16(op.kind), Objective: max(op.startedAt+k.objective-now, 0)},
		Kind:      classqueue.Kind{Route: uint16(op.kind)}, Timeout: op.startedAt + k.deadline - now, Held: op.held,
		Wait: classqueue.PermittedWait(k.objective, k.deadline, 0),
	}
}

// attempt sends the operation to the owner of its customer.
func (b *burst) attempt(op *operation) {
	op.attempts++
	op.arrivedAt, op.held = b.now, false
	b.arrive(op)
}

func (b *burst) arrive(op *operation) {
	o := &b.owners[op.customer%len(b.owners)]
	r := op.request(b.now)
	if b.classes {
		o.pressure.Advance(b.now)
		o.pressure.Arrived(r.Admission.Class, r.Admission.Objective, b.now)
		v := o.pressure.HoldBack(r, b.random.Float64)
		if v.Hold > 0 {
			op.held = true
			b.schedule(v.Hold, func() { b.arrive(op) })
			return
		}
		if !v.Refuse {
			place := classqueue.Place{}
			if o.free == 0 {
				place = classqueue.Place{Ahead: o.queue.Ahead(r.Admission.Class) + 1, Serving: connections / len(b.owners)}
			}
			v = o.pressure.CheckDeadline(r, place, b.now, b.random.Float64())
		}
		if v.Refuse {
			b.refused(op, v.RetryAfter)
			return
		}
	}
	if o.free > 0 {
		b.send(o, op)
		return
	}
	wait := r.Wait
	if b.classes {
		o.queue.Push(op, r.Admission.Class, o.pressure.StartBy(r, b.now))
	} else {
		wait = op.typ().deadline / 5
		o.queue.Push(op, statement.Class{}, b.now)
	}
	b.schedule(wait, func() {
		if o.queue.Remove(op) {
			b.refused(op, 200*ms)
		}
	})
}

func (b *burst) refused(op *operation, after time.Duration) {
	b.record(op, func(t *tally) { t.refusedAfter = append(t.refusedAfter, b.now-op.arrivedAt) })
	if op.attempts < 3 && b.now+after < op.startedAt+op.typ().deadline {
		b.schedule(after, func() { b.attempt(op) })
		return
	}
	b.record(op, func(t *tally) { t.refused++ })
}

func (b *burst) record(op *operation, f func(*tally)) {
	switch {
	case op.startedAt >= burstUntil+time.Second:
		if op.kind == 2 {
			f(&b.after)
		}
	case op.startedAt >= burstFrom && op.startedAt < burstUntil:
		f(&b.types[op.kind])
		if op.customer != 0 {
			f(&b.others)
		}
	}
}

// send runs the operation on a connection of the owner.
func (b *burst) send(o *owner, op *operation) {
	o.free--
	sentAt := b.now
	if len(b.inServer) >= serverQueue {
		o.pressure.Shed(b.now)
		b.release(o)
		b.refused(op, 200*ms)
		return
	}
	b.inServer = append(b.inServer, func() {
		work := time.Duration(float64(op.typ().work) * (0.7 + 0.6*b.random.Float64()))
		b.schedule(work, func() {
			b.running--
			o.pressure.Answered(classqueue.Kind{Route: uint16(op.kind)}, b.now-sentAt, b.now)
			if took := b.now - op.startedAt; took <= op.typ().objective {
				b.record(op, func(t *tally) { t.served++ })
			} else {
				b.record(op, func(t *tally) { t.late++ })
			}
			b.release(o)
			b.runNext()
		})
	})
	b.runNext()
}

func (b *burst) runNext() {
	for b.running < slots && len(b.inServer) > 0 {
		run := b.inServer[0]
		b.inServer = b.inServer[1:]
		b.running++
		run()
	}
}

func (b *burst) release(o *owner) {
	o.free++
	if next, ok := o.queue.Pop(); ok {
		b.send(o, next)
	}
}

func (t *tally) inTime() float64 {
	return float64(t.served) / float64(max(t.served+t.late+t.refused, 1))
}

func (t *tally) String() string {
	slices.Sort(t.refusedAfter)
	median := time.Duration(0)
	if n := len(t.refusedAfter); n > 0 {
		median = t.refusedAfter[n/2].Round(ms)
	}
	return fmt.Sprintf("%4d in time, %4d late, %4d refused, %4d attempts refused after %v (median)", t.served, t.late, t.refused, len(t.refusedAfter), median)
}

func (b *burst) worth() float64 {
	sum, all := 0.0, 0.0
	for i, t := range b.types {
		sum += operationTypes[i].worth * float64(t.served)
		all += operationTypes[i].worth * float64(t.served+t.late+t.refused)
	}
	return sum / all
}

func (b *burst) log(t *testing.T, name string) {
	t.Helper()
	for i := range b.types {
		t.Logf("%s: %-8s %v", name, operationTypes[i].name, &b.types[i])
	}
	t.Logf("%s: %-8s %v", name, "others'", &b.others)
	t.Logf("%s: %-8s %v", name, "after", &b.after)
	t.Logf("%s: worth %.2f", name, b.worth())
}

// Guards against a burst in which the most urgent operations miss their objective behind
// less urgent ones, against lower classes that starve or do not return after it, against
// VMs that all send or all hold back at once, and against holding back while there is
// room.
func TestBurst(t *testing.T) {
	for _, factor := range []float64{1.7, 2.2, 2.6} {
		first := playAll(false, 12, factor, false)
		first.log(t, fmt.Sprintf("%.1f times, in order of arrival", factor))
		for _, owners := range []int{4, 12, 30} {
			b := playAll(true, owners, factor, false)
			name := fmt.Sprintf("%.1f times, by class, %d owners", factor, owners)
			b.log(t, name)
			if got := b.types[0].inTime(); got < 0.95 {
				t.Errorf("%s: %.2f of the trades in time", name, got)
			}
			if got := b.types[2].inTime(); got < 0.1 {
				t.Errorf("%s: %.2f of the rankings in time, which is below their share", name, got)
			}
			if got := b.after.inTime(); got < 0.9 {
				t.Errorf("%s: %.2f of the rankings in time from a second after the burst", name, got)
			}
			if b.worth() < first.worth()-0.02 {
				t.Errorf("%s: worth %.2f, in order of arrival %.2f", name, b.worth(), first.worth())
			}
			for i := 1; i < len(b.held); i++ {
				// Between two seeds there is a zero.
				if step := b.held[i] - b.held[i-1]; step > 0.2 || step < -0.1 && b.held[i] > 0 {
					t.Errorf("%s: the probability of holding back changes by %.2f at once", name, step)
				}
			}
		}
	}
	if b := playAll(true, 12, 1, false); slices.Max(b.held) > 0 || len(b.types[2].refusedAfter) > 0 {
		t.Errorf("statements are held back at the usual load: probability %.2f", slices.Max(b.held))
	}
}

// Guards against a customer with many times its usual load that costs the others their
// objectives.
func TestBurstOfOneCustomer(t *testing.T) {
	for _, factor := range []float64{1.7, 2.2, 2.6} {
		playAll(false, 12, factor, true).log(t, fmt.Sprintf("one customer, %.1f times, in order of arrival", factor))
		b := playAll(true, 12, factor, true)
		b.log(t, fmt.Sprintf("one customer, %.1f times, by class", factor))
		if got := b.others.inTime(); got < 0.98 {
			t.Errorf("%.1f times the load: %.2f of the other customers' operations in time", factor, got)
		}
	}
}
