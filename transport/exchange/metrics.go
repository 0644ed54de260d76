package exchange

import "github.com/uber-go/tally/v4"

// metrics are the counters and gauges of the exchange.
type metrics struct {
	done      tally.Counter // exchanges with an answer
	failed    tally.Counter // exchanges without one
	postponed tally.Counter // the previous exchange with the VM was still running
	overload  tally.Counter // events or exchanges dropped because a limit was reached

	advanced    tally.Counter // configurations put in force
	pushed      tally.Counter // configurations sent as a relay
	pushFailed  tally.Counter
	refused     tally.Counter // snapshots that could not be decoded or have the wrong digest
	conflicts   tally.Counter // other tickets with the number of the current one
	storeFailed tally.Counter // calls of the store as a relay

	relay     tally.Gauge // 1 while this VM is a relay
	ticket    tally.Gauge // number of the ticket in force
	age       tally.Gauge // seconds since the configuration was confirmed
	storeDown tally.Gauge // 1 while the store is down for all VMs
}

func newMetrics(scope tally.Scope) *metrics {
	exchange, config := scope.SubScope("exchange"), scope.SubScope("config")
	return &metrics{
		done:        exchange.Counter("done"),
		failed:      exchange.Counter("failed"),
		postponed:   exchange.Counter("postponed"),
		overload:    exchange.Counter("overload"),
		advanced:    config.Counter("advanced"),
		pushed:      config.Counter("pushed"),
		pushFailed:  config.Counter("push_failed"),
		refused:     config.Counter("refused"),
		conflicts:   config.Counter("conflicts"),
		storeFailed: config.Counter("store_failed"),
		relay:       config.Gauge("relay"),
		ticket:      config.Gauge("ticket"),
		age:         config.Gauge("age_seconds"),
		storeDown:   config.Gauge("store_down"),
	}
}

func setFlag(g tally.Gauge, on bool) {
	value := 0.0
	if on {
		value = 1
	}
	g.Update(value)
}
