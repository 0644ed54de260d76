package network

import (
	"context"
	"net"
	"sync"
	"time"
)

// Accept calls serve on a goroutine of its own for each connection, until ctx is
// done. Then it closes the listener and returns once all calls have. failed is
// told of connections that could not be accepted; the next attempt is after
// pause.
func Accept(ctx context.Context, l net.Listener, pause time.Duration, serve func(net.Conn), failed func(error)) {
	var serving sync.WaitGroup
	defer serving.Wait()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			failed(err)
			time.Sleep(pause)
			continue
		}
		serving.Go(func() { serve(conn) })
	}
}
