package exchange

import "github.com/uber-go/tally/v4"

// metrics are the counters and gauges of the exchange.
type metrics struct {
	done      tally.Counter // exchanges with a response
	failed    tally.Counter // exchanges without a valid response
	postponed tally.Counter // exchanges delayed because one with the same VM was running
	overload  tally.Counter // events or exchanges dropped because a limit was reached

	activated   tally.Counter // configurations put in force
	pushed      tally.Counter // configurations sent as a relay
	pushFailed  tally.Counter
	refused     tally.Counter // snapshots that cannot be decoded or do not have the announced ticket
	conflicts   tally.Counter // tickets that conflict with the current one
	storeFailed tally.Counter // failed calls to the store as a relay

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
		activated:   config.Counter("advanced"),
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

func setBoolGauge(g tally.Gauge, on bool) {
	value := 0.0
	if on {
		value = 1
	}
	g.Update(value)
}
