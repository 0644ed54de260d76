package fleetlink

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// dial keeps a link to the peer until ctx is done.
func (l *Links) dial(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		conn, again := l.attempt(ctx, p)
		if conn != nil {
			l.hold(ctx, p, conn)
		}
		if again {
			continue
		}
		select {
		case <-ctx.Done():
		case <-p.seen:
		case <-time.After(redialDelay):
		}
	}
}

// attempt dials the peer once. If the peer dials this VM meanwhile, it gives up
// and reports that another attempt is due: one from before the peer started may
// hang.
func (l *Links) attempt(ctx context.Context, p *peer) (conn net.Conn, again bool) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialled := make(chan net.Conn, 1)
	go func() {
		conn, err := l.net.Dial(ctx, p.address)
		if err != nil {
			conn = nil
		}
		dialled <- conn
	}()
	select {
	case conn = <-dialled:
		return conn, false
	case <-p.seen:
		cancel()
		conn = <-dialled
		return conn, conn == nil
	}
}

// hold uses a link that this VM dialled until it breaks.
func (l *Links) hold(ctx context.Context, p *peer, conn net.Conn) {
	k := newLink(conn)
	stop := context.AfterFunc(ctx, k.out.Abort)
	defer stop()
	l.mu.Lock()
	p.link, p.lastHeard, p.lastPing = k, clock.Now(), 0
	body := l.self.Encode()
	l.mu.Unlock()
	k.send(fleetwire.Frame{Kind: fleetwire.KindStatus, Body: body})
	l.ping(p, k, l.handler.Ping())
	err := l.read(ctx, k, func(f fleetwire.Frame) {
		if f.Kind == fleetwire.KindStatus {
			l.receiveStatus(f.Body, k)
			return
		}
		k.answered(f)
	})
	k.out.Abort()
	l.lost(p, k, err)
	k.fail()
}

// receiveStatus takes a VM's description, see learn, and returns its name.
func (l *Links) receiveStatus(body []byte, k *link) string {
	s, err := fleetwire.DecodeStatus(body)
	if err != nil {
		l.logger.WithError(err).Error("fleet: a status cannot be decoded.")
		return ""
	}
	l.Meet(s.Address)
	l.learn(s, k)
	l.handler.StatusReceived(&s)
	return s.Name
}

// read passes the frames of a link to f on pool workers, in order, until the
// link breaks.
func (l *Links) read(ctx context.Context, k *link, f func(fleetwire.Frame)) error {
	queue := l.pool.NewQueue(queueLimit)
	defer queue.Close()
	r := bufio.NewReader(k.conn)
	for {
		frame, err := fleetwire.ReadFrame(r)
		if err != nil {
			return err
		}
		if !queue.PostWait(func() { f(frame) }) {
			return context.Cause(ctx)
		}
	}
}

// serve answers the calls of a VM that dialled this one.
func (l *Links) serve(ctx context.Context, conn net.Conn) {
	k := newLink(conn)
	stop := context.AfterFunc(ctx, k.out.Abort)
	defer stop()
	l.mu.Lock()
	body := l.self.Encode()
	l.mu.Unlock()
	k.send(fleetwire.Frame{Kind: fleetwire.KindStatus, Body: body})
	// A VM that dials again may use its new link before the old one is seen to
	// be closed, so transactions belong to a link.
	number := strconv.FormatUint(l.accepted.Add(1), 10)
	var from string
	err := l.read(ctx, k, func(f fleetwire.Frame) {
		if f.Kind == fleetwire.KindStatus {
			if name := l.receiveStatus(f.Body, nil); name != "" {
				from = name
			}
			return
		}
		l.answer(from, number, k, f)
	})
	k.out.Abort()
	l.logger.WithFields(log.Fields{"link": number, "why": err.Error()}).Debug("fleet: VM closed its link.")
	l.handler.LinkClosed(number)
}

// answer runs one call.
func (l *Links) answer(from, origin string, k *link, f fleetwire.Frame) {
	reply := func(kind fleetwire.Kind, body []byte) {
		k.send(fleetwire.Frame{Kind: kind, ID: f.ID, Body: body})
	}
	var err error
	switch f.Kind {
	case fleetwire.KindPing:
		pong := l.handler.Pong(from, origin, f.Body)
		reply(fleetwire.KindPong, pong.Append(nil))
	case fleetwire.KindWork:
		var w *statement.Work
		if w, err = fleetwire.DecodeWork(f.Body); err == nil {
			l.handler.Execute(origin, w, func(r statement.Result) { reply(fleetwire.KindResult, fleetwire.AppendResult(nil, &r)) })
		}
	case fleetwire.KindAbort:
		var tx uint64
		if tx, err = fleetwire.DecodeNumber(f.Body); err == nil {
			l.handler.EndTx(origin, tx)
		}
	case fleetwire.KindTokens:
		var h catalog.Half
		var n int
		if h, n, err = fleetwire.DecodeTokens(f.Body); err == nil {
			reply(fleetwire.KindGrant, fleetwire.AppendNumber(nil, uint64(l.handler.Grant(h, n))))
		}
	case fleetwire.KindSnapshot:
		reply(fleetwire.KindDocument, l.handler.Document(f.Body))
	}
	if err != nil {
		l.logger.WithError(err).WithField("vm", from).Error("fleet: a call cannot be decoded.")
		k.out.Abort()
	}
}
