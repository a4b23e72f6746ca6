package node

// The auxiliary listeners: lookups, readiness, other nodes and operators.

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/budget"
)

const (
	auxiliaryHeaderTimeout = 5 * time.Second  // to receive the header of a request
	auxiliaryIdleTimeout   = 30 * time.Second // after which an unused connection is closed
	// Lookups and readiness checks are a line and a few fields, and responses a few addresses.
	publicTimeout     = 10 * time.Second // to receive a request, and to send its response
	publicHeaderBytes = 16 << 10         // as configurations allow for requests
	peerHeaderBytes   = 256 << 10        // those of forwarded requests, with what nodes add
)

// auxiliaryServer is an HTTP server with its listener.
type auxiliaryServer struct {
	http     *http.Server
	listener net.Listener
}

func (n *Node) listen(class budget.Class, address string, s *http.Server) (auxiliaryServer, error) {
	l, err := n.listenFor(class, address)
	if err != nil {
		return auxiliaryServer{}, err
	}
	s.ErrorLog = klog.NewStandardLogger("INFO")
	s.MaxHeaderBytes = peerHeaderBytes
	s.ConnState, s.ConnContext = trackPhase, withConnection
	var accepted net.Listener = l
	if class == budget.Lookups || class == budget.Ready {
		s.MaxHeaderBytes = publicHeaderBytes
		s.ReadTimeout, s.WriteTimeout = publicTimeout, publicTimeout
		s.ConnState = func(c net.Conn, state http.ConnState) { c.(*callerConn).setState(state) } // Accept returns no other type
		accepted = &publicListener{Listener: l}
	}
	out := auxiliaryServer{http: s, listener: l}
	n.background.Go(func() { _ = s.Serve(accepted) }) // returns when the server is closed or the listener lost
	return out, nil
}

// publicListener accepts connections of callers for lookups and readiness checks.
type publicListener struct {
	net.Listener
	aborting atomic.Bool
}

// Accept returns the next connection.
func (l *publicListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, aborting: &l.aborting, idle: auxiliaryIdleTimeout, header: auxiliaryHeaderTimeout}, nil
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
	type service struct {
		class   budget.Class
		address string
		handler http.Handler
	}
	handlers := []service{
		{budget.Lookups, s.Lookup, lookups},
		{budget.Peers, s.Peer, n.peerHandler()},
		{budget.Admin, s.Admin, n.adminHandler()},
	}
	if ready != lookups {
		handlers = append(handlers, service{budget.Ready, s.Ready, ready})
	}
	var open []auxiliaryServer
	for _, h := range handlers {
		srv, err := n.listen(h.class, h.address, &http.Server{Handler: h.handler, ReadHeaderTimeout: auxiliaryHeaderTimeout, IdleTimeout: auxiliaryIdleTimeout})
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
