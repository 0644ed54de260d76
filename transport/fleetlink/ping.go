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
	// pingInterval in a small fleet. It grows with the fleet so that a VM
	// sends no more than pingsPerSecond pings inside its data centre, and as
	// many to others.
	pingInterval   = 200 * time.Millisecond
	pingsPerSecond = 60
	// eagerTime is how long pings are faster after they say something new. The
	// VMs that it concerns may learn of it in another order.
	eagerTime = 700 * time.Millisecond
	// deadAfter is a few ping intervals: a VM that is short of processor time
	// answers late, and the executor of a statement moves when it is missed.
	deadAfter = 800 * time.Millisecond
	deadPings = 3
	// suspectFor is how long the VMs of a data centre are pinged as in a small
	// fleet after one of them went silent: the data centre may be cut off, and in
	// a large fleet the next pings to the others are seconds away.
	suspectFor = 2 * time.Second
)

// tick pings the other VMs and closes silent links until ctx is done.
func (l *Links) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.check()
	}
}

func (l *Links) check() {
	body := l.handler.Ping()
	pings, silent := l.due(body, clock.Now())
	for _, k := range silent {
		k.out.Abort()
	}
	for _, d := range pings {
		l.ping(d.peer, d.link, body)
	}
}

// duePing is a ping that is to be sent.
type duePing struct {
	peer *peer
	link *link
}

// due returns the pings to send now and the links to give up. body is what the
// pings say.
func (l *Links) due(body []byte, now time.Duration) (pings []duePing, silent []*link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	near, far := l.intervals()
	if !bytes.Equal(body, l.said) {
		l.said, l.eagerUntil = body, now+eagerTime
	}
	for _, p := range l.peers {
		if p.link == nil {
			continue
		}
		interval := far
		if p.status.DataCentre == l.self.DataCentre {
			interval = near
		}
		limit := max(deadAfter, deadPings*interval)
		if now < l.eagerUntil {
			interval = min(interval, pingInterval)
		}
		if since, suspected := l.suspected[p.status.DataCentre]; suspected && now-since < suspectFor {
			interval = min(interval, pingInterval)
			if now-max(p.lastHeard, since) > deadAfter {
				limit = deadAfter
			}
		}
		if since, waiting := p.link.waits(); waiting {
			// Statements wait behind this link, so it matters sooner than the
			// interval of a large fleet tells whether the VM is there.
			interval = min(interval, pingInterval)
			if now-max(p.lastHeard, since) > deadAfter {
				limit = deadAfter
			}
		}
		switch {
		case now-p.lastHeard > limit:
			silent = append(silent, p.link)
			if now-l.suspected[p.status.DataCentre] >= suspectFor {
				l.suspected[p.status.DataCentre] = now
			}
		case now-p.lastPing >= interval:
			p.lastPing = now
			pings = append(pings, duePing{p, p.link})
		}
	}
	return pings, silent
}

// intervals returns the times between pings inside the data centre and to
// others. The caller holds mu.
func (l *Links) intervals() (near, far time.Duration) {
	nearby := 0
	for _, p := range l.peers {
		if p.status.DataCentre == l.self.DataCentre {
			nearby++
		}
	}
	interval := func(n int) time.Duration {
		return max(pingInterval, time.Duration(n)*time.Second/pingsPerSecond)
	}
	return interval(nearby), interval(len(l.peers) - nearby)
}

// PingInterval returns the longest time between two pings to a VM.
func (l *Links) PingInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current()
	return l.longest
}

// ping asks the peer for a pong.
func (l *Links) ping(p *peer, k *link, body []byte) {
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
		if name := l.heard(p, k); name != "" {
			l.handler.PongReceived(name, pong, sentAt)
		}
	})
}
