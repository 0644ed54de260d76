package dbgroup

import "github.com/chestnutdyke/chestnutdyke/state/lockrank"

// changeNotifier wakes goroutines that wait for a change of the log, term or open
// transactions of any server.
type changeNotifier struct {
	mu      lockrank.Mutex // guards changed
	changed chan struct{}
	waiting bool // changed has been handed out
}

func newChangeNotifier() *changeNotifier {
	return &changeNotifier{mu: lockrank.New(rankNotifier), changed: make(chan struct{})}
}

// nextChange returns a channel that is closed at the next change.
func (p *changeNotifier) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = true
	return p.changed
}

func (p *changeNotifier) notify() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiting {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.waiting = false
}
