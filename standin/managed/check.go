package managed

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Checker checks the answers that clients receive against the groups' logs. Each
// item has a single writer, which writes ascending numbers. A Checker may be used
// by several goroutines.
type Checker struct {
	mu         sync.Mutex                // guards the fields below
	acked      map[string][]ackedWrite   // by item, in ascending order of values
	unknown    map[string]map[int]string // item to value to id, of writes with an unknown outcome
	rejected   []rejectedWrite
	sessions   map[string]sessionOwner // by name
	violations []string
}

// sessionOwner is whose statements a session sends, and to which group.
type sessionOwner struct{ customer, group string }

// ackedWrite is an acknowledged write of an item.
type ackedWrite struct {
	value int
	at    time.Time
	id    string
	group *Group
}

// rejectedWrite is a write that the client was told was not committed.
type rejectedWrite struct {
	id    string
	group *Group
}

// NewChecker returns a checker without recorded writes.
func NewChecker() *Checker {
	return &Checker{acked: make(map[string][]ackedWrite), unknown: make(map[string]map[int]string), sessions: make(map[string]sessionOwner)}
}

// RecordSession records whose statements a session sends, and to which group. The ID of
// a statement is the name of its session, a slash and a number.
func (c *Checker) RecordSession(name, customer, group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions[name] = sessionOwner{customer, group}
}

// RecordWrite records the code of the answer to a write, or to the commit of its
// transaction. id is that of the write.
func (c *Checker) RecordWrite(g *Group, item string, value int, id string, code statement.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch code {
	case statement.OK:
		c.acked[item] = append(c.acked[item], ackedWrite{value, time.Now(), id, g})
	case statement.Busy, statement.Aborted, statement.ReadOnly, statement.Lagging, statement.ConnectionLimit, statement.WrongServer:
		c.rejected = append(c.rejected, rejectedWrite{id, g})
	default:
		if c.unknown[item] == nil {
			c.unknown[item] = make(map[int]string)
		}
		c.unknown[item][value] = id
	}
}

// CheckRead checks the answer to a read that was sent at sentAt. The read must see
// every commit that was acknowledged more than maxStaleness before, unless a
// promotion dropped the commit. A write with an unknown outcome may be committed
// late, because the network can delay its bytes until after its client got an
// answer; reads then return the older value of that write again.
func (c *Checker) CheckRead(g *Group, item string, maxStaleness time.Duration, sentAt time.Time, a statement.Answer) {
	got := 0
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(a.Rows) == 1 {
		var err error
		if got, err = strconv.Atoi(a.Rows[0]); err != nil {
			c.addViolation("read %q of %s, which is not a number", a.Rows, item)
		}
	}
	acks := c.acked[item]
	for i := len(acks) - 1; i >= 0 && acks[i].value > got; i-- {
		if acks[i].at.Before(sentAt.Add(-maxStaleness)) && g.Commits(acks[i].id) > 0 && !g.isLater(c.unknown[item][got], acks[i].id) {
			c.addViolation("read %d of %s (staleness limit %v), %v after %d was acknowledged", got, item, maxStaleness, sentAt.Sub(acks[i].at), acks[i].value)
			return
		}
	}
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations checks the complete logs for rejected writes, for repeated ones, and for
// lost ones where commits wait for replicas, and returns all violations that were found.
// It is called once, after the last write.
func (c *Checker) Violations(groups map[string]*Group) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.rejected {
		if w.group.Commits(w.id) > 0 {
			c.addViolation("write %s was committed although its client was told that it was not", w.id)
		}
	}
	for item, acks := range c.acked {
		for _, a := range acks {
			if a.group.waitsForReplicas() && a.group.Commits(a.id) == 0 {
				c.addViolation("write %d of %s was acknowledged and then lost", a.value, item)
			}
			for _, g := range groups {
				if g.committedAfterReplacement(a.id) {
					c.addViolation("write %d of %s was committed by a replaced primary and acknowledged", a.value, item)
				}
			}
		}
	}
	for _, g := range groups {
		c.checkRuns(g)
		for _, id := range g.repeatedIDs() {
			c.addViolation("write %s was committed more than once", id)
		}
	}
	return c.violations
}

// checkRuns checks that each transaction on a server has statements of one session only,
// and that statements ran for the customer and in the group of their session. The caller
// holds mu.
func (c *Checker) checkRuns(g *Group) {
	sessions := make(map[int]string) // by transaction
	for _, r := range g.Runs() {
		name, _, isClient := strings.Cut(r.ID, "/")
		if !isClient {
			continue // a statement of a VM
		}
		if owner, known := c.sessions[name]; known && owner.customer != r.Customer {
			c.addViolation("%s of %s ran on a connection of %s", r.ID, owner.customer, r.Customer)
		} else if known && owner.group != g.Name {
			c.addViolation("%s for %s ran in %s", r.ID, owner.group, g.Name)
		}
		if r.Transaction == 0 {
			continue
		}
		if first, known := sessions[r.Transaction]; known && first != name {
			c.addViolation("%s ran in a transaction of the session %s on %s", r.ID, first, r.Server)
		} else {
			sessions[r.Transaction] = name
		}
	}
}

// isLater reports whether the statement with the id later comes after the one with
// the id earlier in the log.
func (g *Group) isLater(later, earlier string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := false
	for _, c := range g.log {
		if c.id == earlier {
			found = true
		}
		if found && later != "" && c.id == later {
			return true
		}
	}
	return false
}

// committedAfterReplacement reports whether a replaced primary committed the write of
// the statement.
func (g *Group) committedAfterReplacement(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.supersededCommits[id]
}

// repeatedIDs returns the ids of the statements that are in the log more than once.
func (g *Group) repeatedIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]int)
	var ids []string
	for _, c := range g.log {
		if seen[c.id]++; seen[c.id] == 2 {
			ids = append(ids, c.id)
		}
	}
	return ids
}
