package sqlback

import "github.com/chestnutdyke/chestnutdyke/state/statement"

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

// waitingCount returns the number of jobs that wait for a connection.
func (p *serverPool) waitingCount() int { return p.waiting.Len() }

// removeWaitingIf removes the waiting jobs for which remove returns true.
func (p *serverPool) removeWaitingIf(remove func(*job) bool) {
	var removed []*job
	for j := range p.waiting.All() {
		if remove(j) {
			removed = append(removed, j)
		}
	}
	for _, j := range removed {
		p.waiting.Remove(j)
	}
}
