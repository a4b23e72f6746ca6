package standin

// The registration of an endpoint in the platform's store.

import (
	"context"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// heartbeatInterval is the time between two writes of an endpoint's entry.
const heartbeatInterval = 1500 * time.Millisecond

// Store is the store in which endpoints register.
type Store interface {
	Create(ctx context.Context, kind platform.Collection, name string, spec any) (platform.Written, error)
	Replace(ctx context.Context, kind platform.Collection, name string, spec any, at platform.Revision) (platform.Written, error)
	Delete(ctx context.Context, kind platform.Collection, name string, at platform.Revision) error
}

// Registrar maintains the entry of an endpoint in the store.
type Registrar struct {
	store Store

	mu         sync.Mutex
	endpoint   inventory.Endpoint
	coldFrom   time.Time
	heartbeats uint64
}

// NewRegistrar returns the registrar of an endpoint that starts now. It writes nothing
// until Run or Write.
func NewRegistrar(store Store, e inventory.Endpoint) *Registrar {
	e.Start = time.Now()
	return &Registrar{store: store, endpoint: e, coldFrom: e.Start}
}

// Run writes the entry at intervals until ctx ends. The next write replaces one that
// failed.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = r.Write(ctx)
		pause(ctx, heartbeatInterval)
	}
}

// Write writes the entry once.
func (r *Registrar) Write(ctx context.Context) error {
	r.mu.Lock()
	r.heartbeats++
	e := r.endpoint
	e.ColdRemaining = max(0, e.ColdRemaining-time.Since(r.coldFrom))
	spec := platform.EncodeEndpoint(e, r.heartbeats)
	r.mu.Unlock()
	_, err := r.store.Replace(ctx, platform.Endpoints, string(e.ID), spec, 0)
	if platform.IsKind(err, platform.KindNotFound) {
		_, err = r.store.Create(ctx, platform.Endpoints, string(e.ID), spec)
	}
	return err
}

// Drain writes the entry with the endpoint marked as draining.
func (r *Registrar) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.endpoint.Draining = true
	r.mu.Unlock()
	return r.Write(ctx)
}

// Remove removes the entry from the store.
func (r *Registrar) Remove(ctx context.Context) error {
	return r.store.Delete(ctx, platform.Endpoints, string(r.endpoint.ID), 0)
}
