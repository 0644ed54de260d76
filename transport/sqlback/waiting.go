package sqlback

import (
	"slices"
	"time"
)

// enqueue appends a job to those that wait for a connection.
func (p *serverPool) enqueue(j *job) { p.waiting = append(p.waiting, j) }

// next removes and returns the waiting job that runs next, or nil.
func (p *serverPool) next() *job {
	for len(p.waiting) > 0 {
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !j.finished {
			return j
		}
	}
	return nil
}

// removeWaiting removes a job from those that wait.
func (p *serverPool) removeWaiting(j *job) {
	p.waiting = slices.DeleteFunc(p.waiting, func(other *job) bool { return other == j })
}

// removeAllWaiting removes and returns the waiting jobs that match, in order.
func (p *serverPool) removeAllWaiting(match func(*job) bool) []*job {
	var removed []*job
	p.waiting = slices.DeleteFunc(p.waiting, func(j *job) bool {
		if !match(j) {
			return false
		}
		removed = append(removed, j)
		return true
	})
	return removed
}

// waitingCount returns the number of jobs that wait.
func (p *serverPool) waitingCount() int { return len(p.waiting) }

// waitingSince returns the arrival of the job that has waited for the longest time; zero
// if none waits.
func (p *serverPool) waitingSince() time.Time {
	var oldest time.Time
	for _, j := range p.waiting {
		if oldest.IsZero() || j.submittedAt.Before(oldest) {
			oldest = j.submittedAt
		}
	}
	return oldest
}
