package failover

import "github.com/chestnutdyke/chestnutdyke/state"

// indexBits is the number of low-order bits of a term that hold the index of the
// VM that created it, which makes terms of different VMs distinct.
const indexBits = 16

// nextTerm returns a term above the highest known one for the VM with the given
// index. It reports false if the terms are exhausted, which only a faulty server
// can cause.
func nextTerm(highest uint64, index uint16) (term uint64, ok bool) {
	round := highest>>indexBits + 1
	if round >= 1<<(64-indexBits) {
		return 0, false
	}
	return round<<indexBits | uint64(index), true
}

// highestTerm returns the highest term known to this VM.
func (d *decision) highestTerm() uint64 {
	highest := max(d.State.Term, d.failover.Term)
	for _, v := range d.State.Servers {
		highest = max(highest, v.Status.AdoptedTerm, v.Status.LogTerm)
	}
	return highest
}

// chooseCandidate returns the server to promote among those that adopted the
// term. A majority holds each acknowledged write, so the most advanced log of
// any majority holds all of them. Servers that are not in service are
// considered only if the adopters in service are no majority.
func (d *decision) chooseCandidate() string {
	eligible := d.adopters(d.inService)
	if len(eligible) < d.Group.Majority() {
		eligible = d.adopters(func(string) bool { return true })
	}
	best := eligible[0]
	for _, name := range eligible[1:] {
		if d.isBetterCandidate(name, best) {
			best = name
		}
	}
	return best
}

// adopters returns the servers that have adopted the term and pass the filter,
// in the order of the configuration.
func (d *decision) adopters(filter func(string) bool) []string {
	var names []string
	for i := range d.Group.Servers {
		name := d.Group.Servers[i].Name
		if _, ok := d.failover.Adopted[name]; ok && filter(name) {
			names = append(names, name)
		}
	}
	return names
}

// isBetterCandidate reports whether a is a better candidate than b. It compares
// their logs as of the adoption of the term, then their preference.
func (d *decision) isBetterCandidate(a, b string) bool {
	sa, sb := d.failover.Adopted[a], d.failover.Adopted[b]
	if c := compareLogs(&sa, &sb); c != 0 {
		return c > 0
	}
	return d.candidatePreference(a) > d.candidatePreference(b)
}

// candidatePreference ranks candidates with equal logs; higher is better.
func (d *decision) candidatePreference(server string) int {
	switch {
	case server == d.failover.Candidate:
		return 3 // the target of a planned switchover
	case server == d.State.Primary && d.inService(server):
		return 2 // avoids moving its clients
	case d.inService(server):
		return 1
	default:
		return 0
	}
}

// compareLogs returns a positive number if a's log is more advanced, a negative
// one if b's is, and 0 if they are equal.
func compareLogs(a, b *state.ServerStatus) int {
	switch {
	case a.LogTerm != b.LogTerm:
		return sign(a.LogTerm > b.LogTerm)
	case a.Position != b.Position:
		return sign(a.Position > b.Position)
	default:
		return 0
	}
}

func sign(positive bool) int {
	if positive {
		return 1
	}
	return -1
}
