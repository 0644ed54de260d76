package dbgroup

import "github.com/chestnutdyke/chestnutdyke/state/lockrank"

// changeNotifier wakes goroutines that wait for a change of the log, term or open
// transactions of any server.
type changeNotifier struct {
	mu      lockrank.Mutex // guards the fields below
	changed chan struct{}
	waiting bool // changed has been handed out
}

func newChangeNotifier() *changeNotifier {
	return &changeNotifier{mu: lockrank.New(rankNotifier), changed: make(chan struct{})}
}

// nextChange returns a channel that is closed at the next change.
func (n *changeNotifier) nextChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting = true
	return n.changed
}

func (n *changeNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.waiting {
		return
	}
	close(n.changed)
	n.changed = make(chan struct{})
	n.waiting = false
}
