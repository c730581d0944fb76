// Package ingress bounds what the clients of a listener make a node hold: their connections, and the heads and
// bodies of their requests.
package ingress

import "net/http"

// Guard bounds what the clients of one listener make a node hold. It is safe for concurrent use.
type Guard struct{}

// Protect makes a server keep the bounds. The server must serve a listener returned by Listener.
func (g *Guard) Protect(server *http.Server) {
	server.Handler = g.handler(server.Handler)
	server.ConnContext = withConn
}
