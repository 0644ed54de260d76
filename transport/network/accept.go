package network

import (
	"context"
	"net"
	"sync"
	"time"
)

// Serve calls serve for each connection, each in its own goroutine, until ctx
// is done. It then closes the listener and returns after all calls of serve have
// returned. If a connection cannot be accepted, it calls onError and tries again
// after retryDelay.
func Serve(ctx context.Context, l net.Listener, retryDelay time.Duration, serve func(net.Conn), onError func(error)) {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			onError(err)
			time.Sleep(retryDelay)
			continue
		}
		handlers.Go(func() { serve(conn) })
	}
}
