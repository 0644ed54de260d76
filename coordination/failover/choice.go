package failover

import "github.com/chestnutdyke/chestnutdyke/state"

// indexBits is the number of low bits of a term that hold the promoter's index.
const indexBits = 16

// nextTerm returns a term of the given promoter above the highest known one. It
// reports false if terms are used up, which only a faulty server can cause.
func nextTerm(highest uint64, index uint16) (term uint64, ok bool) {
	round := highest>>indexBits + 1
	if round >= 1<<(64-indexBits) {
		return 0, false
	}
	return round<<indexBits | uint64(index), true
}

// highestTerm is the highest term that this VM knows of.
func (d *decision) highestTerm() uint64 {
	highest := max(d.State.Term, d.f.Term)
	for _, v := range d.State.Servers {
		highest = max(highest, v.Status.AdoptedTerm, v.Status.LogTerm)
	}
	return highest
}

// choose returns the adopter to promote. Acknowledged writes are held by a
// majority, so the highest log of any majority of the servers holds them all.
// The choice is among the adopters in service if they are a majority, else
// among all adopters.
func (d *decision) choose() string {
	eligible := d.adopters(d.inService)
	if len(eligible) < d.Group.Majority() {
		eligible = d.adopters(func(string) bool { return true })
	}
	best := eligible[0]
	for _, name := range eligible[1:] {
		if d.better(name, best) {
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
		if _, ok := d.f.Adopted[name]; ok && filter(name) {
			names = append(names, name)
		}
	}
	return names
}

// better reports whether a is a better candidate than b: first by its log as it
// was when the server adopted the term, then by preference.
func (d *decision) better(a, b string) bool {
	sa, sb := d.f.Adopted[a], d.f.Adopted[b]
	if c := compareLogs(&sa, &sb); c != 0 {
		return c > 0
	}
	return d.preference(a) > d.preference(b)
}

func (d *decision) preference(server string) int {
	switch {
	case server == d.f.Candidate:
		return 3 // the target of a planned switchover
	case server == d.State.Primary && d.inService(server):
		return 2 // its clients need not move
	case d.inService(server):
		return 1
	default:
		return 0
	}
}

// compareLogs returns a positive number if a's log is higher, a negative one if
// b's is.
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
