package directory

import "time"

// Bounds are the times that operators allow from the store's acknowledgement of a change
// until it is in force on all VMs. A bound of zero has a default.
type Bounds struct {
	Configuration time.Duration // a configuration; default 3 s
	OutOfService  time.Duration // servers of a data centre that is taken out of service get nothing more; default 5 s
	Draining      time.Duration // a server that is draining gets no new work; default 7 s
}

const (
	defaultConfigurationBound = 3 * time.Second
	defaultOutOfServiceBound  = 5 * time.Second
	defaultDrainingBound      = 7 * time.Second
	// sendMargin is the part of a bound that is left for statements which are on their
	// way to a server when the VM stops sending.
	sendMargin = 500 * time.Millisecond
)

func (b Bounds) withDefaults() Bounds {
	if b.Configuration <= 0 {
		b.Configuration = defaultConfigurationBound
	}
	if b.OutOfService <= 0 {
		b.OutOfService = defaultOutOfServiceBound
	}
	if b.Draining <= 0 {
		b.Draining = defaultDrainingBound
	}
	return b
}

// Times for which the store may hold a watch open.
const (
	minConfigWatchWait       = 1500 * time.Millisecond
	minServersWatchWait      = time.Second
	minOutOfServiceWatchWait = 500 * time.Millisecond
	maxWatchWait             = 3 * time.Second
)

// watchWait returns how long the store may hold a watch of the kind open. The store may
// drop a watch without a response, which is detected watchMargin later, and the time of a
// change is known to within two watches. Each watch is billed.
func (b Bounds) watchWait(kind Kind) time.Duration {
	config := min(max(b.Configuration/2, minConfigWatchWait), maxWatchWait)
	switch kind {
	case OutOfService:
		return min(max(b.OutOfService/8, minOutOfServiceWatchWait), maxWatchWait)
	case Servers:
		return min(max(b.Draining/4, minServersWatchWait), config)
	}
	return config
}
