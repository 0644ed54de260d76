package share

import (
	"math"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// demandTimeConstant is the time constant of the exponential average of arrivals.
	demandTimeConstant = 500 * time.Millisecond
	// maxMissedArrivals is the number of missing arrivals after which the average no
	// longer counts and the demand is derived from the gap. Random arrivals leave a
	// gap of 8 times the mean with a probability of e^-8. This detects within
	// milliseconds that a large customer has moved away.
	maxMissedArrivals = 8
)

// recordArrival adds a request to the demand, whether it is granted or not.
func recordArrival(d *state.Demand, cost float64, now time.Time) {
	d.Rate = decayedRate(d, now) + cost/demandTimeConstant.Seconds()
	if now.After(d.Updated) {
		d.Updated = now
	}
	d.LastArrival = d.Updated
}

// decayedRate returns the average at the given time, without further arrivals.
func decayedRate(d *state.Demand, now time.Time) float64 {
	if d.Updated.IsZero() || !now.After(d.Updated) {
		return d.Rate
	}
	return d.Rate * math.Exp(-now.Sub(d.Updated).Seconds()/demandTimeConstant.Seconds())
}

// currentDemand returns the demand in requests per second.
func currentDemand(d *state.Demand, now time.Time) float64 {
	gap := now.Sub(d.LastArrival).Seconds()
	if gap > 0 && gap*d.Rate > maxMissedArrivals {
		return min(d.Rate, 1/gap)
	}
	return decayedRate(d, now)
}
