package node

// The auxiliary listeners: lookups, readiness, other nodes and operators.

import (
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

const (
	auxiliaryHeaderTimeout = 5 * time.Second  // to receive the header of a request
	auxiliaryIdleTimeout   = 30 * time.Second // after which an unused connection is closed
)

// auxiliaryServer is an HTTP server with its listener.
type auxiliaryServer struct {
	http     *http.Server
	listener net.Listener
}

func (n *Node) listen(address string, s *http.Server) (auxiliaryServer, error) {
	l, err := n.network.Listen("tcp", address)
	if err != nil {
		return auxiliaryServer{}, &Error{Op: "listen", Kind: KindNetwork, Err: err}
	}
	s.ErrorLog = klog.NewStandardLogger("INFO")
	out := auxiliaryServer{http: s, listener: l}
	n.background.Go(func() { _ = s.Serve(l) }) // returns when the server is closed
	return out, nil
}

// listenAuxiliary opens the auxiliary listeners.
func (n *Node) listenAuxiliary() ([]auxiliaryServer, error) {
	s := n.settings.Load()
	lookups, ready := http.NewServeMux(), http.NewServeMux()
	if s.Ready == s.Lookup {
		ready = lookups
	}
	n.protocol.Lookup(lookups, n.answerLookup)
	n.protocol.Ready(ready, n.isReady)
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{s.Lookup, lookups},
		{s.Peer, n.peerHandler()},
		{s.Admin, n.adminHandler()},
	}
	if ready != lookups {
		handlers = append(handlers, struct {
			address string
			handler http.Handler
		}{s.Ready, ready})
	}
	var open []auxiliaryServer
	for _, h := range handlers {
		srv, err := n.listen(h.address, &http.Server{Handler: h.handler, ReadHeaderTimeout: auxiliaryHeaderTimeout, IdleTimeout: auxiliaryIdleTimeout})
		if err != nil {
			closeServers(open)
			return nil, err
		}
		open = append(open, srv)
	}
	return open, nil
}

func closeServers(servers []auxiliaryServer) {
	for _, s := range servers {
		_ = s.http.Close()
	}
}
