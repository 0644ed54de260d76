package balance

import (
	"testing"
	"time"
)

const now = 100 * time.Second

// share returns the part of the reads that the server with the index gets.
func share(servers []Server, index int) float64 {
	const draws = 1000
	n := 0
	for i := range draws {
		if Choose(servers, now, (float64(i)+0.5)/draws) == index {
			n++
		}
	}
	return float64(n) / draws
}

func answered(latency time.Duration) Server {
	return Server{Latency: Latency{latency, 10 * time.Millisecond, now, 1000}}
}

// Guards against reads on a server in another data centre, or on the primary, while the
// replica in the own data centre serves the caller as well.
func TestTiers(t *testing.T) {
	local, primary, remote, remotePrimary := answered(10*time.Millisecond), answered(10*time.Millisecond), answered(13*time.Millisecond), answered(13*time.Millisecond)
	primary.Primary, remote.Remote, remotePrimary.Primary, remotePrimary.Remote = true, true, true, true
	for _, tt := range []struct {
		name    string
		servers []Server
	}{
		{"local replica and remote ones", []Server{local, remote, remotePrimary}},
		{"local replica and local primary", []Server{local, primary}},
		{"remote replica and remote primary", []Server{remote, remotePrimary}},
	} {
		if got := share(tt.servers, 0); got != 1 {
			t.Errorf("%s: the first gets %.2f of the reads", tt.name, got)
		}
	}
	local.Latency.Recent = 90 * time.Millisecond
	if got := share([]Server{local, remote, remotePrimary}, 0); got < 0.1 || got > 0.5 {
		t.Errorf("a slow local replica gets %.2f of the reads", got)
	}
	if got := share([]Server{primary, remote}, 1); got < 0.5 || got > 0.95 {
		t.Errorf("a replica elsewhere gets %.2f of the reads beside the own primary", got)
	}
	if Choose(nil, now, 0.5) != -1 {
		t.Error("a server was chosen from none")
	}
}

// Guards against knowledge of long ago that keeps reads away from a server, against an
// unknown server that looks better than those that answer, and against one that is never
// tried because it is unknown.
func TestOldKnowledgeCountsLess(t *testing.T) {
	fast, slow := answered(10*time.Millisecond), answered(90*time.Millisecond)
	recent := share([]Server{fast, slow}, 1)
	slow.Latency.LearnedAt = now - 20*time.Second
	if old := share([]Server{fast, slow}, 1); recent > 0.15 || old < 0.4 {
		t.Errorf("a slow server gets %.2f, and %.2f 20 s later", recent, old)
	}
	if got := share([]Server{fast, {}}, 1); got < 0.45 || got > 0.55 {
		t.Errorf("an unknown server gets %.2f", got)
	}
	if got := share([]Server{{}, {}}, 1); got != 0.5 {
		t.Errorf("one of two unknown servers gets %.2f", got)
	}
	if got := share([]Server{answered(90 * time.Millisecond), {Remote: true}}, 1); got < 0.5 {
		t.Errorf("an unknown server elsewhere gets %.2f while the own one is slow", got)
	}
}

// Guards against a slow time that counts as usual at once, or never.
func TestUsualLatency(t *testing.T) {
	var l Latency
	at := time.Second
	observe := func(took, period time.Duration) {
		for range int(period / (100 * time.Millisecond)) {
			at += 100 * time.Millisecond
			l.Observe(took, at)
		}
	}
	observe(10*time.Millisecond, time.Minute)
	observe(90*time.Millisecond, 5*time.Second)
	if l.Recent < 80*time.Millisecond || l.Usual > 20*time.Millisecond {
		t.Errorf("after 5 s at 90 ms the latency is %v, usually %v", l.Recent, l.Usual)
	}
	observe(90*time.Millisecond, 5*time.Minute)
	if l.Usual < 80*time.Millisecond {
		t.Errorf("after 5 minutes at 90 ms the usual latency is %v", l.Usual)
	}
}

// Guards against reads on a server that fails statements or does not answer, and against
// its return in one step.
func TestServersReturnInSteps(t *testing.T) {
	good := answered(10 * time.Millisecond)
	previous := 0.0
	for _, rate := range []float64{0.9, 0.3, 0.11, 0.05, 0} {
		failing := good
		failing.FailureRate = rate
		got := share([]Server{good, failing}, 1)
		if rate > 0.2 && got > 0 || got < previous || rate == 0 && got != 0.5 {
			t.Errorf("a server that fails %.2f of the statements gets %.2f, %.2f before", rate, got, previous)
		}
		previous = got
	}
	hanging := good
	hanging.InFlight = 20
	if got := share([]Server{good, hanging}, 1); got > 0 {
		t.Errorf("a server with 20 statements in flight gets %.2f", got)
	}
	overdue := good
	overdue.InFlight, overdue.Overdue = 1, true
	if got := share([]Server{good, overdue}, 1); got > 0 {
		t.Errorf("a server with an overdue read gets %.2f", got)
	}
	primary := good
	primary.Primary, primary.Latency.Recent = true, 40*time.Millisecond
	overdue.Latency.Recent = 80 * time.Millisecond
	if got := share([]Server{overdue, overdue, primary}, 2); got > 0.8 {
		t.Errorf("the primary gets %.2f while reads on all replicas, which are known to be slow, are overdue", got)
	}
	previous = 0
	for _, age := range []time.Duration{10 * time.Millisecond, time.Second, 2 * time.Second} {
		returned := good
		returned.ReturnedAt = now - age
		got := share([]Server{good, returned}, 1)
		if got <= previous || age < time.Second && got > 0.15 || age == 2*time.Second && got != 0.5 {
			t.Errorf("%v after its return a server gets %.2f, %.2f before", age, got, previous)
		}
		previous = got
	}
}
