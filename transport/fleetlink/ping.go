package fleetlink

import (
	"bytes"
	"context"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

const (
	// tickInterval is how often links are checked.
	tickInterval = 100 * time.Millisecond
	// pingInterval is the interval in a small fleet. It increases with the size
	// of the fleet, so that a VM sends at most pingsPerSecond pings within its
	// data centre, and as many to other data centres.
	pingInterval   = 200 * time.Millisecond
	pingsPerSecond = 60
	// pingsPerSecondLarge is the same in a large fleet. Links on which calls wait are
	// pinged more often.
	pingsPerSecondLarge = 10
	// fastPingPeriod is how long pings are more frequent after their body has
	// changed. A lender grants a share only once it has the same view of the
	// fleet, which it may receive later than this VM.
	fastPingPeriod = 700 * time.Millisecond
	// silenceTimeout spans several ping intervals, because a VM that is short
	// of CPU time responds late and every VM that is declared dead causes
	// connection owners to change. In a large fleet silenceIntervals ping
	// intervals apply if they are longer.
	silenceTimeout   = 800 * time.Millisecond
	silenceIntervals = 3
	// acceptedTimeout closes links on which the VM that dialled them sends nothing. It
	// exceeds the longest ping interval.
	acceptedTimeout = 30 * time.Second
	// suspectPeriod is how long the VMs of a data centre are pinged at the
	// interval of a small fleet after one of them became silent. The whole data
	// centre may be unreachable, and in a large fleet the next regular pings to
	// its other VMs may be seconds away.
	suspectPeriod = 2 * time.Second
)

// runChecks sends due pings and closes silent links until ctx is done.
func (l *Links) runChecks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.checkLinks()
	}
}

func (l *Links) checkLinks() {
	body := l.handler.PingBody()
	pings, silent := l.collectDue(body, clock.Now())
	for _, k := range append(silent, l.silentAccepted(clock.Now())...) {
		k.out.CloseNow()
	}
	for _, d := range pings {
		l.sendPing(d.peer, d.link, body)
	}
}

// silentAccepted returns the links of other VMs that have sent nothing for
// acceptedTimeout.
func (l *Links) silentAccepted(now time.Duration) []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	var silent []*link
	for k := range l.accepted {
		if now-time.Duration(k.lastFrame.Load()) > acceptedTimeout {
			silent = append(silent, k)
		}
	}
	return silent
}

// duePing identifies the receiver of a ping.
type duePing struct {
	peer *peer
	link *link
}

// collectDue returns the pings to send now and the links to close because the
// peer is silent. body is the current body of pings.
func (l *Links) collectDue(body []byte, now time.Duration) (pings []duePing, silent []*link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	near, far := l.pingIntervals()
	if !bytes.Equal(body, l.lastPingBody) {
		l.lastPingBody, l.fastPingUntil = body, now+fastPingPeriod
	}
	for _, p := range l.peers {
		if p.link == nil {
			continue
		}
		interval := far
		if p.status.DataCentre == l.self.DataCentre {
			interval = near
		}
		limit := max(silenceTimeout, silenceIntervals*interval)
		if now < l.fastPingUntil {
			interval = min(interval, pingInterval)
		}
		if since, suspected := l.suspectedSince[p.status.DataCentre]; suspected && now-since < suspectPeriod {
			interval = min(interval, pingInterval)
			if now-max(p.lastHeard, since) > silenceTimeout {
				limit = silenceTimeout
			}
		}
		if since, waiting := p.link.waitingSince(); waiting {
			// Statements are waiting for responses on this link, so a dead VM has
			// to be detected sooner than at the ping interval of a large fleet.
			interval = min(interval, pingInterval)
			if now-max(p.lastHeard, since) > silenceTimeout {
				limit = silenceTimeout
			}
		}
		switch {
		case now-p.lastHeard > limit:
			silent = append(silent, p.link)
			if now-l.suspectedSince[p.status.DataCentre] >= suspectPeriod {
				l.suspectedSince[p.status.DataCentre] = now
			}
		case now-p.lastPing >= interval:
			p.lastPing = now
			pings = append(pings, duePing{p, p.link})
		}
	}
	return pings, silent
}

// pingIntervals returns the intervals between pings to a VM of the same data
// centre and to one of another data centre. The caller holds mu.
func (l *Links) pingIntervals() (near, far time.Duration) {
	nearby := 0
	for _, p := range l.peers {
		if p.status.DataCentre == l.self.DataCentre {
			nearby++
		}
	}
	rate := pingsPerSecond
	if l.large {
		rate = pingsPerSecondLarge
	}
	interval := func(n int) time.Duration {
		return max(pingInterval, time.Duration(n)*time.Second/time.Duration(rate))
	}
	return interval(nearby), interval(len(l.peers) - nearby)
}

// PingInterval returns the longest interval between two pings to the same VM.
func (l *Links) PingInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentView()
	return l.maxPingInterval
}

// sendPing pings the peer and passes the response to the handler.
func (l *Links) sendPing(p *peer, k *link, body []byte) {
	sentAt := clock.Now()
	k.call(fleetwire.Frame{Kind: fleetwire.KindPing, Body: body}, func(f fleetwire.Frame, ok bool) {
		if !ok {
			return
		}
		pong, err := fleetwire.DecodePong(f.Body)
		if err != nil {
			l.logger.WithError(err).Error("fleet: a pong cannot be decoded.")
			return
		}
		if name := l.markAlive(p, k); name != "" {
			l.handler.HandlePong(name, pong, sentAt)
		}
	})
}
