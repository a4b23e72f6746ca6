package node

// The native protocol with callers and endpoints, described in docs/CALLERS.md.

import (
	"encoding/json"
	"net/http"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
)

// NativeProtocol implements Protocol with the headers and paths of package caller.
type NativeProtocol struct{}

// HeaderNames returns the names of the protocol's headers.
func (NativeProtocol) HeaderNames() exchange.HeaderNames { return caller.Headers }

// Lookup registers the handler that returns the entry VMs for a caller.
func (NativeProtocol) Lookup(mux *http.ServeMux, answer func(lookup.Query) lookup.Answer) {
	mux.HandleFunc("GET "+caller.PathLookup, func(w http.ResponseWriter, r *http.Request) {
		a := answer(lookup.Query{
			Domain: inventory.DomainID(r.URL.Query().Get("domain")),
			Region: inventory.RegionID(r.URL.Query().Get("region")),
		})
		if len(a.Addresses) == 0 {
			http.Error(w, "no entry VM is known to be alive", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(caller.LookupResponse{Entries: a.Addresses, TTL: a.TTL.Seconds()}) // fails only if the client has disconnected
	})
}

// Ready registers the handler that reports whether the node is ready.
func (NativeProtocol) Ready(mux *http.ServeMux, ready func() bool) {
	mux.HandleFunc("GET "+caller.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
