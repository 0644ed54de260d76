// Package loadstats reports the load of the backend servers, as this VM sees it, in
// metrics and in the log.
package loadstats

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/balance"
	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

const (
	reportInterval = 5 * time.Second
	// maxServers bounds the servers with gauges, each of which takes about 1 KB.
	maxServers = 300
	// maxLines bounds the log lines of one report.
	maxLines = 10
	// leavingShare and returnedShare are the shares of a group's reads in other data
	// centres at which the log says that reads leave the data centre, and that they stay
	// again. They differ, so that a share between them writes no lines.
	leavingShare  = 0.25
	returnedShare = 0.1
	// minReads is the number of a group's reads in a report that tell a share.
	minReads = 20
)

// tierNames are the values of the metric label "tier".
var tierNames = [balance.NumTiers]string{"local_replica", "local_primary", "remote_replica", "remote_primary"}

// serverGauges shows one server.
type serverGauges struct{ latency, inFlight, age tally.Gauge }

// groupReport is the state of a group at the previous report.
type groupReport struct {
	choices [balance.NumTiers]uint64
	leaving bool
}

// Reporter reports the load. Create it with New.
type Reporter struct {
	table   *leadership.Table
	logger  log.Interface
	scope   tally.Scope
	choices [balance.NumTiers]tally.Counter
	servers map[string]serverGauges
	groups  map[string]groupReport
}

// New returns a reporter of the table.
func New(table *leadership.Table, logger log.Interface, scope tally.Scope) *Reporter {
	r := &Reporter{table: table, logger: logger, scope: scope, servers: make(map[string]serverGauges), groups: make(map[string]groupReport)}
	for tier, name := range tierNames {
		r.choices[tier] = scope.Tagged(map[string]string{"tier": name}).Counter("read_choices")
	}
	return r
}

// Run reports until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.report(clock.Now())
		}
	}
}

func (r *Reporter) report(now time.Duration) {
	lines := 0
	for _, load := range r.table.Load(now) {
		for _, s := range load.Servers {
			r.showServer(s)
		}
		if r.countChoices(load, lines < maxLines) {
			lines++
		}
	}
}

func (r *Reporter) showServer(s leadership.ServerLoad) {
	gauges, known := r.servers[s.Server]
	if !known {
		if len(r.servers) >= maxServers {
			return
		}
		scope := r.scope.Tagged(map[string]string{"server": s.Server})
		gauges = serverGauges{scope.Gauge("server_latency_seconds"), scope.Gauge("server_in_flight"), scope.Gauge("server_knowledge_age_seconds")}
		r.servers[s.Server] = gauges
	}
	gauges.latency.Update(s.Latency.Seconds())
	gauges.inFlight.Update(float64(s.InFlight))
	gauges.age.Update(s.Age.Seconds())
}

// countChoices counts the reads since the previous report. It reports whether it wrote a
// log line because reads began or ceased to leave the data centre.
func (r *Reporter) countChoices(load leadership.GroupLoad, mayLog bool) bool {
	before := r.groups[load.Group]
	var total, remote uint64
	for tier, n := range load.Choices {
		n -= before.choices[tier]
		r.choices[tier].Inc(int64(n))
		total += n
		if balance.Tier(tier) >= balance.RemoteReplica {
			remote += n
		}
	}
	after := groupReport{choices: load.Choices, leaving: before.leaving}
	share := float64(remote) / float64(max(total, 1))
	logged := false
	if mayLog && total >= minReads {
		fields := log.Fields{"group": load.Group, "share": share, "reads": total}
		switch {
		case !before.leaving && share >= leavingShare:
			r.logger.WithFields(fields).Info("balance: many reads leave the data centre.")
			after.leaving, logged = true, true
		case before.leaving && share <= returnedShare:
			r.logger.WithFields(fields).Info("balance: reads stay in the data centre again.")
			after.leaving, logged = false, true
		}
	}
	r.groups[load.Group] = after
	return logged
}
