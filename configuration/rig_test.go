package configuration_test

// A platform on a network in memory, with the paused clock of a bubble.

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const rigAddress = "10.0.0.1:9000"

type rig struct {
	t        *testing.T
	network  *standin.Network
	platform *standin.Platform
	store    *platform.Client
}

// bubble runs a test against a stand-in platform on a paused clock.
func bubble(t *testing.T, body func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		quality := func(standin.Path) standin.Quality { return standin.Quality{Delay: 2 * time.Millisecond} }
		r := &rig{t: t, network: standin.NewNetwork(1, quality), platform: standin.NewPlatform()}
		l, err := r.network.VM("10.0.0.1").Listen("tcp", rigAddress)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: r.platform}
		go func() { _ = server.Serve(l) }()
		transport := &http.Transport{DialContext: r.network.VM("10.0.0.2").DialContext}
		r.store = platform.New(platform.Options{Base: "http://" + rigAddress, HTTP: &http.Client{Transport: transport}, Calls: 1000})
		body(r)
		transport.CloseIdleConnections()
		_ = server.Close()
		time.Sleep(time.Minute)
	})
}

// publish tries for ten seconds.
func (r *rig) publish(c configuration.Change) (configuration.Accepted, error) {
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	return configuration.Publish(ctx, r.store, c)
}

func (r *rig) head() configuration.Head {
	r.t.Helper()
	h, _, err := configuration.Read(r.t.Context(), r.store)
	if err != nil {
		r.t.Fatal(err)
	}
	return h
}

// kindOf returns the kind of an error of the package, "" for none.
func kindOf(err error) configuration.Kind {
	var e *configuration.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// text is a small valid inventory that differs for each note.
func text(note string) []byte {
	return []byte("# " + note + `
[[region]]
id = "centro"
[[domain]]
id = "centro-a"
region = "centro"
[[service]]
id = "catalogue"
[[endpoint]]
id = "catalogue-1"
service = "catalogue"
domain = "centro-a"
address = "10.0.1.1:8080"
slots = 3
connections = 330
[[entry]]
id = "c-1"
domain = "centro-a"
caller = "10.0.2.1:7000"
peer = "10.0.2.1:7001"
admin = "10.0.2.1:7002"
`)
}
