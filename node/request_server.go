package node

// The server for requests, with the limits in force. net/http reads a server's limits
// when it starts, so a change of limits starts a new server for connections that are
// opened afterwards. Connections of a previous server are closed with their next
// response, or after the idle timeout that was in force when they were opened.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/budget"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// defaultMaxHeaderBytes is the largest header if the configuration gives none.
	defaultMaxHeaderBytes = 64 << 10
	// idleDrainTime is how long a connection without a request is kept open during shutdown:
	// a request may be in transit, and TCP retransmits a lost packet of it after about 0.2 s.
	idleDrainTime     = 500 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond // between checks for open connections during shutdown
)

// requestServer accepts callers' connections and serves each of them under the limits
// that were in force when it was opened.
type requestServer struct {
	listener net.Listener
	handler  http.Handler
	limits   *atomic.Pointer[inventory.Limits] // in force

	acceptDone chan struct{} // closed when no more connections are accepted

	mu      sync.Mutex
	servers []*limitedServer // the last one receives new connections
}

// limitedServer serves connections under fixed limits. It is the listener of its own
// http.Server.
type limitedServer struct {
	net.Listener
	server     *http.Server
	limits     inventory.Limits
	conns      chan net.Conn
	closed     chan struct{}
	close      sync.Once
	superseded atomic.Bool  // whether other limits are in force
	openConns  atomic.Int64 // number of connections
	aborting   atomic.Bool  // all connections are closed at once

	mu        sync.Mutex
	idleConns map[*callerConn]bool // connections without a request, and whether their drain deadline is set
}

func newRequestServer(l net.Listener, h http.Handler, limits *atomic.Pointer[inventory.Limits]) *requestServer {
	return &requestServer{listener: l, handler: h, limits: limits, acceptDone: make(chan struct{})}
}

// listenForRequests opens the address for requests.
func (n *Node) listenForRequests() (*requestServer, error) {
	l, err := n.listenFor(budget.Requests, n.settings.Load().Caller)
	if err != nil {
		return nil, err
	}
	srv := newRequestServer(l, http.HandlerFunc(n.serveRequest), &n.limits)
	n.requestServer.Store(srv)
	srv.applyLimits() // after Store, so that no change is missed
	n.background.Go(srv.accept)
	return srv, nil
}

// applyLimits serves connections that are opened from now on under the limits in force.
func (srv *requestServer) applyLimits() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	limits := *srv.limits.Load()
	limits.MaxBodyBytes = 0 // applied by the handler, not by the server
	if len(srv.servers) > 0 {
		last := srv.servers[len(srv.servers)-1]
		if last.limits == limits {
			return
		}
		last.superseded.Store(true)
	}
	srv.servers = slices.DeleteFunc(srv.servers, (*limitedServer).closeIfUnused)
	klog.InfoS("limits in force", "header", limits.MaxHeaderBytes, "receive", limits.HeaderTimeout.Duration, "idle", limits.IdleTimeout.Duration)
	s := newLimitedServer(srv, limits)
	srv.servers = append(srv.servers, s)
	go func() { _ = s.server.Serve(s) }() // returns when the server is closed
}

func newLimitedServer(srv *requestServer, limits inventory.Limits) *limitedServer {
	s := &limitedServer{Listener: srv.listener, limits: limits, conns: make(chan net.Conn), closed: make(chan struct{}), idleConns: map[*callerConn]bool{}}
	s.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.superseded.Load() {
				w.Header().Set("Connection", "close")
			}
			srv.handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: limits.HeaderTimeout.Duration,
		IdleTimeout:       limits.IdleTimeout.Duration,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ErrorLog:          klog.NewStandardLogger("INFO"),
		ConnState:         s.trackState,
		ConnContext:       withConnection,
	}
	if limits.MaxHeaderBytes <= 0 {
		s.server.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	return s
}

// closeIfUnused closes a superseded server that has no connections, and reports whether it did.
func (s *limitedServer) closeIfUnused() bool {
	if !s.superseded.Load() || s.openConns.Load() > 0 {
		return false
	}
	_ = s.server.Close() // it has only its own listener to close
	return true
}

// trackState records the state of a connection. assignConn has counted it when it was accepted.
func (s *limitedServer) trackState(conn net.Conn, state http.ConnState) {
	c := conn.(*callerConn) // Accept returns no other type
	c.setState(state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		s.idleConns[c] = false
	case http.StateActive:
		if s.idleConns[c] {
			c.endDrainDeadline()
		}
		delete(s.idleConns, c)
	case http.StateClosed, http.StateHijacked:
		delete(s.idleConns, c)
		s.openConns.Add(-1)
	}
}

// setDrainDeadlines closes connections on which no request arrives within idleDrainTime.
func (s *limitedServer) setDrainDeadlines() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, draining := range s.idleConns {
		if !draining {
			s.idleConns[c] = true
			c.setDrainDeadline(time.Now().Add(idleDrainTime))
		}
	}
}

// Accept returns the next connection for this server.
func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return &callerConn{Conn: c, aborting: &s.aborting, idle: s.limits.IdleTimeout.Duration, header: s.limits.HeaderTimeout.Duration}, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. The listener of the requestServer stays open.
func (s *limitedServer) Close() error {
	s.close.Do(func() { close(s.closed) })
	return nil
}

// accept assigns each new connection to the server with the limits in force.
func (srv *requestServer) accept() {
	defer close(srv.acceptDone)
	for {
		c, err := srv.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				klog.ErrorS(err, "accepting connections for requests failed")
			}
			return
		}
		s := srv.assignConn()
		select {
		case s.conns <- c:
		case <-s.closed:
			s.openConns.Add(-1)
			_ = c.Close() // the server is closed, and with it all connections
		}
	}
}

// assignConn returns the server for a new connection, and counts that connection.
func (srv *requestServer) assignConn() *limitedServer {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	s := srv.servers[len(srv.servers)-1]
	s.openConns.Add(1)
	return s
}

// shutdown stops accepting connections and waits until the open ones are closed or ctx
// ends. The handler closes them with its responses. net/http's own Shutdown would read a
// request that arrives meanwhile and close its connection.
func (srv *requestServer) shutdown(ctx context.Context) error {
	_ = srv.listener.Close() // fails only if it is already closed
	<-srv.acceptDone         // the last connection has been assigned
	for srv.drainIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
	srv.closeAll()
	return nil
}

// drainIdle closes connections without a request, and reports whether any connections are left.
func (srv *requestServer) drainIdle() (left bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for _, s := range srv.servers {
		s.setDrainDeadlines()
		left = left || s.openConns.Load() > 0
	}
	return left
}

// closeAll closes all connections.
func (srv *requestServer) closeAll() {
	_ = srv.listener.Close() // it may already be closed
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for _, s := range srv.servers {
		s.aborting.Store(true)
		_ = s.server.Close()
	}
}
