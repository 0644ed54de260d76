package sqlback

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// class returns the class of the job's operation. A job of a VM of an earlier build is of
// the highest class.
func (j *job) class() statement.Class {
	if a := j.stmt.Admission; a != nil {
		return a.Class
	}
	return statement.Class{}
}

// enqueue adds a job that waits for a connection.
func (p *serverPool) enqueue(j *job) { p.waiting.Push(j, j.class(), j.startBy) }

// next removes and returns the waiting job whose turn it is, or nil.
func (p *serverPool) next() *job {
	for {
		j, ok := p.waiting.Pop()
		if !ok {
			return nil
		}
		if !j.finished {
			return j
		}
	}
}

// removeWaiting removes a job if it waits.
func (p *serverPool) removeWaiting(j *job) { p.waiting.Remove(j) }

// removeAllWaiting removes and returns the waiting jobs that match.
func (p *serverPool) removeAllWaiting(match func(*job) bool) []*job {
	var removed []*job
	for j := range p.waiting.All() {
		if match(j) {
			removed = append(removed, j)
		}
	}
	for _, j := range removed {
		p.waiting.Remove(j)
	}
	return removed
}

// waitingCount returns the number of jobs that wait for a connection.
func (p *serverPool) waitingCount() int { return p.waiting.Len() }

// waitingSince returns the arrival of the job that has waited for the longest time; zero
// if none waits.
func (p *serverPool) waitingSince() time.Time {
	var oldest time.Time
	for j := range p.waiting.All() {
		if oldest.IsZero() || j.submittedAt.Before(oldest) {
			oldest = j.submittedAt
		}
	}
	return oldest
}
