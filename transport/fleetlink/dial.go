package fleetlink

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/quota"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// maintainLink keeps a link to the peer established until ctx is done.
func (l *Links) maintainLink(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		conn, retry := l.dialOnce(ctx, p)
		if conn != nil {
			l.useLink(ctx, p, conn)
		}
		if retry {
			continue
		}
		select {
		case <-ctx.Done():
		case <-p.dialledBack:
		case <-time.After(redialDelay):
		}
	}
}

// dialOnce dials the peer once. If the peer dials this VM in the meantime, it
// gives up and requests a retry, because an attempt that began before the peer
// started may hang.
func (l *Links) dialOnce(ctx context.Context, p *peer) (conn net.Conn, retry bool) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialResult := make(chan net.Conn, 1)
	go func() {
		conn, err := l.net.Dial(ctx, p.address)
		if err != nil {
			conn = nil
		}
		dialResult <- conn
	}()
	select {
	case conn = <-dialResult:
		return conn, false
	case <-p.dialledBack:
		cancel()
		conn = <-dialResult
		return conn, conn == nil
	}
}

// useLink uses a link that this VM dialled until it is lost.
func (l *Links) useLink(ctx context.Context, p *peer, conn net.Conn) {
	k := newLink(conn)
	stop := context.AfterFunc(ctx, k.out.CloseNow)
	defer stop()
	l.mu.Lock()
	p.link, p.lastHeard, p.lastPing = k, clock.Now(), 0
	body := l.self.Encode()
	l.mu.Unlock()
	k.send(fleetwire.Frame{Kind: fleetwire.KindStatus, Body: body})
	l.sendPing(p, k, l.handler.PingBody())
	err := l.readFrames(k, func(f fleetwire.Frame) {
		if f.Kind == fleetwire.KindStatus {
			l.handleStatus(f.Body, k, true)
			return
		}
		k.handleResponse(f)
	})
	k.out.CloseNow()
	l.markLost(p, k, err)
	k.failCalls()
}

// handleStatus handles the status of another VM, which arrived on the link k, and
// returns it, or nil if it cannot be decoded. dialled says whether this VM dialled the
// link.
func (l *Links) handleStatus(body []byte, k *link, dialled bool) *fleetwire.Status {
	s, err := fleetwire.DecodeStatus(body)
	if err != nil {
		l.logger.WithError(err).Error("fleet: a status cannot be decoded.")
		return nil
	}
	l.applyStatus(s, k, dialled)
	l.handler.HandleStatus(&s)
	return &s
}

// errStopping is the reason for which links close when this VM stops.
var errStopping = eris.New("this VM is stopping")

// readFrames calls f for the frames of a link, in order and on pool workers,
// until the link is lost.
func (l *Links) readFrames(k *link, f func(fleetwire.Frame)) error {
	queue := l.pool.NewQueue(queueLimit)
	defer queue.Close()
	queue.HandlePanics(func(err error, stack []byte) {
		l.logger.WithError(err).WithFields(log.Fields{"peer": k.conn.RemoteAddr().String(), "stack": string(stack)}).
			Error("fleet: a message caused a run-time error, the link is closed.")
		k.out.CloseNow()
	})
	r := bufio.NewReader(k.conn)
	for {
		frame, err := fleetwire.ReadFrame(r)
		if err != nil {
			return err
		}
		if !queue.PostBlocking(func() { f(frame) }) {
			// The pool may reject events before ctx is done.
			return errStopping
		}
	}
}

// serveLink handles the calls on a link that another VM dialled.
func (l *Links) serveLink(ctx context.Context, conn net.Conn) {
	k := newLink(conn)
	stop := context.AfterFunc(ctx, k.out.CloseNow)
	defer stop()
	l.mu.Lock()
	body := l.self.Encode()
	l.mu.Unlock()
	k.send(fleetwire.Frame{Kind: fleetwire.KindStatus, Body: body})
	// A VM that reconnects may use its new link before this VM detects that the
	// old one is closed. Transactions therefore belong to a link, not to a VM.
	number := strconv.FormatUint(l.acceptedLinks.Add(1), 10)
	var from fleetwire.Status
	err := l.readFrames(k, func(f fleetwire.Frame) {
		k.lastFrame.Store(int64(clock.Now()))
		if f.Kind == fleetwire.KindStatus {
			if status := l.handleStatus(f.Body, k, false); status != nil {
				from = *status
			}
			return
		}
		l.handleCall(&from, number, k, f)
	})
	k.out.CloseNow()
	l.linkClosed(k)
	l.logger.WithFields(log.Fields{"link": number, "why": err.Error()}).Debug("fleet: VM closed its link.")
	l.handler.LinkClosed(number)
}

// handleCall passes a call of another VM to the handler and sends the response.
// A call that cannot be decoded closes the link.
func (l *Links) handleCall(from *fleetwire.Status, origin string, k *link, f fleetwire.Frame) {
	reply := func(kind fleetwire.Kind, body []byte) {
		k.send(fleetwire.Frame{Kind: kind, ID: f.ID, Body: body})
	}
	var err error
	switch f.Kind {
	case fleetwire.KindPing:
		pong := l.handler.HandlePing(from, origin, f.Body)
		reply(fleetwire.KindPong, pong.Append(nil))
	case fleetwire.KindStatement:
		var w *statement.RemoteStatement
		if w, err = fleetwire.DecodeStatement(f.Body); err == nil {
			l.handler.Execute(origin, w, func(r statement.Result) { reply(fleetwire.KindResult, fleetwire.AppendResult(nil, &r)) })
		}
	case fleetwire.KindAbort:
		var tx uint64
		if tx, err = fleetwire.DecodeNumber(f.Body); err == nil {
			l.handler.AbortTx(origin, tx)
		}
	case fleetwire.KindTokenRequest:
		var partition catalog.LimitPartition
		var wanted quota.Wanted
		if partition, wanted, err = fleetwire.DecodeTokenRequest(f.Body); err == nil {
			reply(fleetwire.KindTokenGrant, fleetwire.AppendNumber(nil, uint64(l.handler.GrantTokens(partition, wanted))))
		}
	case fleetwire.KindConnectionRequest:
		var server string
		var n int
		if server, n, err = fleetwire.DecodeConnectionRequest(f.Body); err == nil {
			l.handler.LendConnections(from.Name, server, n, func(lent int) {
				reply(fleetwire.KindConnectionGrant, fleetwire.AppendNumber(nil, uint64(lent)))
			})
		}
	case fleetwire.KindSnapshot:
		reply(fleetwire.KindSnapshotReply, l.handler.UpdatesSince(f.Body))
	case fleetwire.KindFence, fleetwire.KindRenewal:
		err = l.handler.HandleFencing(f.Kind, f.Body, reply)
	case fleetwire.KindUsageRequest, fleetwire.KindUsageReply:
		err = l.handler.HandleUsage(f.Kind, f.Body, reply)
	}
	if err != nil {
		l.logger.WithError(err).WithField("vm", from.Name).Error("fleet: a call cannot be decoded.")
		k.out.CloseNow()
	}
}
