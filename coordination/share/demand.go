package share

import (
	"math"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// demandWindow is the time constant of the average of arrivals.
	demandWindow = 500 * time.Millisecond
	// silentArrivals is the number of arrivals missing after which a customer is
	// taken to have stopped: random arrivals leave a gap of 8 times the mean with a
	// probability of e^-8. It shows within milliseconds that a large customer has
	// moved away.
	silentArrivals = 8
)

// recordArrival counts a request, granted or not.
func recordArrival(d *state.Demand, cost float64, now time.Time) {
	d.Rate = decayed(d, now) + cost/demandWindow.Seconds()
	if now.After(d.Updated) {
		d.Updated = now
	}
	d.LastArrival = d.Updated
}

func decayed(d *state.Demand, now time.Time) float64 {
	if d.Updated.IsZero() || !now.After(d.Updated) {
		return d.Rate
	}
	return d.Rate * math.Exp(-now.Sub(d.Updated).Seconds()/demandWindow.Seconds())
}

// demandNow returns the demand in requests a second.
func demandNow(d *state.Demand, now time.Time) float64 {
	gap := now.Sub(d.LastArrival).Seconds()
	if gap > 0 && gap*d.Rate > silentArrivals {
		return min(d.Rate, 1/gap)
	}
	return decayed(d, now)
}
