package accept

import (
	"context"
	"net"
)

type connKey struct{}

// WithConn returns a context that carries a connection of a listener of Limit, which others
// may have wrapped. It is the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	for {
		if own, ok := c.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, own)
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		c = wrapper.NetConn()
	}
}

// SetInUse says whether a complete request is being served on the connection of a context,
// if it carries one. The connection is not closed in favor of others meanwhile.
func SetInUse(ctx context.Context, inUse bool) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.inUse.Store(inUse)
	}
}
