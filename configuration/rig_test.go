package configuration_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const storeAddress = "10.0.0.1:9000"

// rig is a store on a synctest clock, and a client of it.
type rig struct {
	t        *testing.T
	platform *standin.Platform
	store    *platform.Client
}

// bubble runs body with a rig in a synctest bubble.
func bubble(t *testing.T, body func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork(1, nil)
		l, err := network.VM("10.0.0.1").Listen("tcp", storeAddress)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, platform: standin.NewPlatform()}
		server := &http.Server{Handler: r.platform}
		go func() { _ = server.Serve(l) }()
		r.store = platform.New(platform.Options{Address: storeAddress, Dialer: network.VM("10.0.0.2"), CallsPerSecond: 1e6})
		body(r)
		r.store.Close()
		_ = server.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
}

func (r *rig) newManager() *configuration.Manager { return configuration.New(r.store) }

// text returns an inventory that is identified by the id of its only service.
func text(service string) []byte {
	return []byte("[[service]]\nid = \"" + service + "\"\n[[route]]\nid = \"r\"\nprefix = \"/\"\n[[route.part]]\nservice = \"" + service + "\"\nweight = 1\n")
}

func kindOf(err error) configuration.Kind {
	var e *configuration.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
