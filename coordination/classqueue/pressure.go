package classqueue

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

const (
	// adjustInterval is the time between two adjustments of the level of holding back.
	adjustInterval = 100 * time.Millisecond
	// maxAdjustments bounds the adjustments that are made up for after a time without
	// statements. They lower the level to zero.
	maxAdjustments = 200
	// delayFraction is the part of a class's objective that a statement of it may queue
	// at the server before lower classes are held back. The rest is for the statement
	// itself, for further statements of the operation, and for the time until holding back
	// takes effect.
	delayFraction = 0.3
	// calmFraction of the permitted delay is the delay below which the level falls.
	calmFraction = 0.5
	// raiseStep and lowerStep are the greatest changes of the level in an adjustment, and
	// raiseGain the change per multiple of the permitted delay. The delay that a VM observes
	// is the result of the levels of all VMs some tens of milliseconds ago, so larger steps
	// would make them oscillate.
	raiseStep = 0.2
	raiseGain = 0.1
	lowerStep = 0.1
	// maxHold is the greatest probability of holding a statement back. The rest is the
	// share that every class keeps.
	maxHold = 0.9
	// delayMemory is the time after which an observed delay has lost most of its weight.
	delayMemory = 100 * time.Millisecond
	// freshness is the age up to which the latest observation raises the level.
	freshness = 500 * time.Millisecond
	// presenceTTL is how long a class counts as present after its last operation.
	presenceTTL = 5 * time.Second
	// objectiveWeight is the weight of an operation in the average objective of its class.
	objectiveWeight = 0.1
	// baselineRise is the growth per second of the least time that a kind of statement has
	// taken, so that it follows a server that has become slower.
	baselineRise = 0.01
	// maxDelay bounds an observation, so that a suspended VM or a lost answer does not
	// count for more than a queue can cause.
	maxDelay = 2 * time.Second
	// shedDelay is the delay that a refusal by the server for lack of room counts as. It is
	// shorter than time-outs, so that it does not make CheckDeadline refuse statements.
	shedDelay = 300 * time.Millisecond
	// maxClasses and maxKinds bound the memory that statements can take up here.
	maxClasses = 32
	maxKinds   = 256
	// pressureLevel is the level from which a server counts as under pressure. The pressure
	// has ended when the level was zero for calmPeriod, which bounds the number of changes.
	pressureLevel = 0.2
	calmPeriod    = 3 * time.Second
	// minRetryAfter and maxRetryAfter are the time to retry at the lowest and the highest
	// probability of holding back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
)

// Kind identifies statements that take about the same time at an idle server.
type Kind struct {
	Route  uint16
	Verb   statement.Verb
	Writes bool
	InTx   bool
}

// baseline is the least time that statements of a kind have taken.
type baseline struct {
	took time.Duration
	at   time.Duration
}

// presence is a class of which operations arrived lately.
type presence struct {
	class     statement.Class
	objective time.Duration // average of what was left on arrival
	seenAt    time.Duration
}

// Pressure observes one server and adjusts which classes are held back there. Each VM
// has its own; the delays at the server, which all of them observe, keep them together.
type Pressure struct {
	baselines  map[Kind]baseline
	classes    []presence // in the order of the classes
	delay      time.Duration
	statement  time.Duration // average time that a statement takes, including the delay
	observedAt time.Duration // of the latest delay; zero if there is none
	// level is from 0 to the number of present classes less one. Its whole part is the
	// number of classes, from the lowest, that are held back fully.
	level      float64
	adjustedAt time.Duration
	pressed    bool
	heldAt     time.Duration // when the level was last above zero
}

// NewPressure returns the state of a server without pressure.
func NewPressure(now time.Duration) *Pressure {
	return &Pressure{baselines: make(map[Kind]baseline), adjustedAt: now}
}

// Arrived records that an operation of the class arrived with so much of its objective
// left.
func (p *Pressure) Arrived(class statement.Class, objective, now time.Duration) {
	i, found := slices.BinarySearchFunc(p.classes, class, func(c presence, class statement.Class) int { return c.class.Compare(class) })
	if !found {
		if len(p.classes) >= maxClasses {
			return
		}
		p.classes = slices.Insert(p.classes, i, presence{class: class, objective: objective})
	}
	c := &p.classes[i]
	c.seenAt = now
	if objective > 0 {
		c.objective += time.Duration(objectiveWeight * float64(objective-c.objective))
	}
}

// Answered records that a statement of the kind ran at the server and took so long from
// sending to its answer.
func (p *Pressure) Answered(k Kind, took, now time.Duration) {
	least, known := p.baselines[k]
	if !known && len(p.baselines) >= maxKinds {
		return
	}
	if known {
		least.took += time.Duration(baselineRise * (now - least.at).Seconds() * float64(least.took))
	}
	if !known || took < least.took {
		least.took = took
	}
	least.at = now
	p.baselines[k] = least
	p.observe(took-least.took, now)
	p.statement += time.Duration(p.weight(now) * float64(min(took, maxDelay)-p.statement))
}

// Shed records that the server refused a statement for lack of room, or did not answer it
// in time. A server that hangs is not assumed to be slow for longer: its next answers tell.
func (p *Pressure) Shed(now time.Duration) { p.observe(max(shedDelay, p.delay), now) }

func (p *Pressure) observe(delay, now time.Duration) {
	p.delay += time.Duration(p.weight(now) * float64(min(delay, maxDelay)-p.delay))
	p.observedAt = now
}

// weight returns the weight of an observation in averages. It is greater the longer the
// previous one is ago, so that VMs with few statements follow as fast as others.
func (p *Pressure) weight(now time.Duration) float64 {
	if p.observedAt == 0 {
		return 1
	}
	return min(max(1-math.Exp(-float64(now-p.observedAt)/float64(delayMemory)), 0.1), 1)
}

// Delay returns how long statements queue at the server. An old observation counts less
// and less, so that the server is tried again.
func (p *Pressure) Delay(now time.Duration) time.Duration {
	age := now - p.observedAt
	if p.observedAt == 0 || age <= freshness {
		return p.delay
	}
	return time.Duration(float64(p.delay) * math.Exp2(-float64(age-freshness)/float64(freshness)))
}

// Service returns the time that a statement of the kind takes at the idle server, or zero
// if that is not known.
func (p *Pressure) Service(k Kind) time.Duration { return p.baselines[k].took }

// StatementTime returns the average time that a statement takes at the server, or zero
// if that is not known.
func (p *Pressure) StatementTime() time.Duration { return p.statement }

// Change says whether the server came under pressure or the pressure ended.
type Change uint8

// Values of Change.
const (
	Unchanged Change = iota
	Began
	Ended
)

// Advance makes the adjustments that are due at now.
func (p *Pressure) Advance(now time.Duration) Change {
	steps := int((now - p.adjustedAt) / adjustInterval)
	if steps <= 0 {
		return Unchanged
	}
	p.classes = slices.DeleteFunc(p.classes, func(c presence) bool { return now-c.seenAt > presenceTTL })
	p.level = min(p.level, p.maxLevel())
	for i := range min(steps, maxAdjustments) {
		p.adjust(p.adjustedAt + time.Duration(i+1)*adjustInterval)
	}
	p.adjustedAt += time.Duration(steps) * adjustInterval
	if p.level > 0 {
		p.heldAt = now
	}
	switch {
	case !p.pressed && p.level >= pressureLevel:
		p.pressed = true
		return Began
	case p.pressed && now-p.heldAt >= calmPeriod:
		p.pressed = false
		return Ended
	}
	return Unchanged
}

func (p *Pressure) maxLevel() float64 { return float64(max(len(p.classes)-1, 0)) }

// adjust changes the level by a step: up if the delay exceeds what a class above the next
// one to hold back tolerates, down if it is well below that. Classes are held back from
// the lowest on.
func (p *Pressure) adjust(now time.Duration) {
	highest := p.maxLevel()
	if highest == 0 {
		p.level = 0
		return
	}
	// With more classes, each is a smaller part of the load.
	scale := max(highest/2, 1)
	delay := float64(p.Delay(now))
	permitted := float64(p.permittedDelay(min(int(p.level), int(highest)-1)))
	if delay > permitted && now-p.observedAt <= freshness {
		p.level = min(p.level+scale*min(raiseGain*(delay/permitted-calmFraction), raiseStep), highest)
		return
	}
	calm := calmFraction * float64(p.permittedDelay(max(int(math.Ceil(p.level))-1, 0)))
	if delay < calm {
		p.level = max(p.level-scale*lowerStep*(1-delay/calm), 0)
		if p.level < 1e-3 {
			p.level = 0
		}
	}
}

// permittedDelay returns the delay at the server that the classes above the held-th one
// from below tolerate. It is at least a millisecond.
func (p *Pressure) permittedDelay(held int) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, c := range p.classes[:len(p.classes)-1-held] {
		if c.objective > 0 {
			least = min(least, c.objective)
		}
	}
	return max(time.Duration(delayFraction*float64(least)), time.Millisecond)
}

// Pressed reports whether the server is under pressure; see Change.
func (p *Pressure) Pressed() bool { return p.pressed }

// IsHighest reports whether no higher class than the given one is present.
func (p *Pressure) IsHighest(class statement.Class) bool {
	return len(p.classes) == 0 || p.classes[0].class.Compare(class) >= 0
}

// HoldProbability returns the probability with which statements of the class are held
// back. It is zero for the highest class present.
func (p *Pressure) HoldProbability(class statement.Class) float64 {
	if p.IsHighest(class) {
		return 0
	}
	below := 0 // present classes below this one
	for _, c := range p.classes {
		if c.class.Compare(class) > 0 {
			below++
		}
	}
	return maxHold * min(max(p.level-float64(below), 0), 1)
}

// RetryAfter returns when a caller whose statement of the class was held back should try
// again. random is from 0 to 1; it spreads the callers.
func (p *Pressure) RetryAfter(class statement.Class, random float64) time.Duration {
	mean := float64(minRetryAfter) + p.HoldProbability(class)*float64(maxRetryAfter-minRetryAfter)
	return time.Duration(mean * (0.5 + random))
}
