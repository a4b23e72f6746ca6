package standin

// An endpoint: a target with a listener and an entry in the platform's store. It can
// be stopped and started again like a separate process.

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// headerTimeout is how long a target waits for a request's header. It exceeds the
// duration of any test.
const headerTimeout = time.Minute

// Endpoint serves a Target and registers it in the store. The fields are set before the
// first Start.
type Endpoint struct {
	inventory.Endpoint
	ListenAddress string // address to listen on; "": the registered one
	HeaderNames   exchange.HeaderNames
	Store         Store                                               // where it registers; nil: it does not
	Listen        func(network, address string) (net.Listener, error) // nil: net.Listen
	OnArrival     func(id string)                                     // called for each request addressed to it; may be nil
	OnRun         func(id string)                                     // called for each request that starts to run; may be nil
	OnSender      func(id, address string)                            // called before OnArrival with the address that sent it; may be nil
	OnLeaving     func(id string)                                     // called for each response that says that it leaves; may be nil
	OnPause       func(id string)                                     // called for each rejection that asks for a pause; may be nil
	OnCrash       func()                                              // called after a request has crashed the endpoint; may be nil

	mu             sync.Mutex
	target         *Target
	server         *http.Server
	registrar      *Registrar
	stopHeartbeats func()
}

// Start serves and registers the endpoint. cold is how long it stays cold.
func (e *Endpoint) Start(b Behaviour, cold time.Duration) error {
	listen, address := e.Listen, e.ListenAddress
	if listen == nil {
		listen = net.Listen
	}
	if address == "" {
		address = e.Address
	}
	l, err := listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.target = NewTarget(string(e.ID), e.HeaderNames, b)
	e.target.OnArrival, e.target.OnRun, e.target.OnCrash = e.OnArrival, e.OnRun, e.Crash
	e.target.OnSender, e.target.OnLeaving, e.target.OnPause = e.OnSender, e.OnLeaving, e.OnPause
	server := &http.Server{Handler: e.target, ReadHeaderTimeout: headerTimeout}
	e.server, e.stopHeartbeats = server, func() {}
	go func() { _ = server.Serve(l) }() // returns after End
	if e.Store != nil {
		e.register(cold)
	}
	return nil
}

// register starts the heartbeats. The caller holds the lock.
func (e *Endpoint) register(cold time.Duration) {
	entry := e.Endpoint
	entry.ColdRemaining = cold
	registrar := NewRegistrar(e.Store, entry)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { registrar.Run(ctx) })
	e.registrar = registrar
	e.stopHeartbeats = func() {
		stop()
		running.Wait()
	}
}

// Target returns the target of the last start.
func (e *Endpoint) Target() *Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.target
}

// Drain registers the endpoint as draining. It continues to serve.
func (e *Endpoint) Drain(ctx context.Context) error { return e.currentRegistrar().Drain(ctx) }

// Remove stops the heartbeats and removes the entry from the store. The endpoint
// continues to serve.
func (e *Endpoint) Remove(ctx context.Context) error {
	e.StopHeartbeats()
	return e.currentRegistrar().Remove(ctx)
}

func (e *Endpoint) currentRegistrar() *Registrar {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registrar
}

// StopHeartbeats stops the heartbeats.
func (e *Endpoint) StopHeartbeats() {
	e.mu.Lock()
	stop := e.stopHeartbeats
	e.mu.Unlock()
	stop()
}

// Crash ends the process, which a request of it has crashed.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	_ = server.Close() // does not wait for the request
	if e.OnCrash != nil {
		go e.OnCrash()
	}
}

// End stops the endpoint at once and closes its connections. Its entry stays in the
// store.
func (e *Endpoint) End() {
	e.StopHeartbeats()
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}
