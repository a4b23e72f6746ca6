package node

// Who may speak on the peer and admin addresses: those who know a key of the
// settings. The key itself does not travel; a call carries a code made from the
// key and the address that is called, so that it is of no use elsewhere. With no
// key in the settings only processes of the same VM are let in.

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// HeaderAccess carries the code of a call to a peer or admin address.
const HeaderAccess = "Wasabiwheel-Access"

// Bounds of keys.
const (
	minKey  = 16 // bytes
	maxKeys = 4  // known at the same time, for rotation
)

// Bounds of what a peer may send, beside those of single messages.
const (
	peerHeader     = 64 << 10 // bytes of a request's header
	beatRate       = 20       // heartbeats a second on one connection
	partsRate      = 40       // calls a second for heads and parts of configurations
	spareBeatConns = 32       // heartbeat connections beside two for each entry VM
)

// Code returns the value of HeaderAccess for a call to an address.
func Code(key, address string) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(address))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// checkKeys returns the first fault of the keys.
func checkKeys(keys []string) error {
	if len(keys) > maxKeys {
		return errors.Newf("%d keys, at most %d are taken", len(keys), maxKeys)
	}
	for _, k := range keys {
		if len(k) < minKey {
			return errors.Newf("a key has %d bytes, at least %d are needed", len(k), minKey)
		}
	}
	return nil
}

// guard lets in calls to an own address that carry the code of any known key.
func (n *Node) guard(address string, next http.Handler) http.Handler {
	var codes []string
	for _, k := range n.settings.Keys {
		codes = append(codes, Code(k, address))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !admits(codes, r) {
			n.counters.add("access.refused")
			w.Header().Set(HeaderOutcome, string(OutcomeNotRun))
			w.WriteHeader(http.StatusForbidden)
			return
		}
		r.Header.Del(HeaderAccess)
		next.ServeHTTP(w, r)
	})
}

// admits compares with all codes, in a time that does not depend on them.
func admits(codes []string, r *http.Request) bool {
	if len(codes) == 0 {
		ip := net.ParseIP(hostOnly(r.RemoteAddr))
		return ip != nil && ip.IsLoopback()
	}
	got, admitted := []byte(r.Header.Get(HeaderAccess)), false
	for _, c := range codes {
		admitted = hmac.Equal(got, []byte(c)) || admitted
	}
	return admitted
}

// signer adds the code of the first key to each call.
type signer struct {
	next http.RoundTripper
	key  string
}

// sign returns the transport with the first of the keys, if there is one.
func sign(next http.RoundTripper, keys []string) http.RoundTripper {
	if len(keys) == 0 {
		return next
	}
	return &signer{next: next, key: keys[0]}
}

// RoundTrip makes one call.
func (s *signer) RoundTrip(r *http.Request) (*http.Response, error) {
	signed := r.Clone(r.Context())
	signed.Header.Set(HeaderAccess, Code(s.key, r.URL.Host))
	return s.next.RoundTrip(signed)
}

// CloseIdleConnections passes on what http.Client asks for.
func (s *signer) CloseIdleConnections() {
	if c, ok := s.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// beatRoom takes one of the heartbeat connections that may be open at the same
// time, and reports whether there was one.
func (n *Node) beatRoom() bool {
	limit := int64(spareBeatConns)
	if inv := n.config.Inventory(); inv != nil {
		limit += int64(2 * len(inv.Entries))
	}
	if n.beatConns.Add(1) <= limit {
		return true
	}
	n.beatConns.Add(-1)
	n.counters.add("access.connections")
	return false
}

// paced refuses calls beyond a rate.
func (n *Node) paced(perSecond int, next http.HandlerFunc) http.HandlerFunc {
	limit := rate.NewLimiter(rate.Limit(perSecond), perSecond)
	return func(w http.ResponseWriter, r *http.Request) {
		if !limit.Allow() {
			n.counters.add("access.rate")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}
