//go:build review

package main

import (
	"encoding/json"
	"testing"
)

// maxValue is ValueBytes of the store.
const maxValue = 1 << 20

func TestConfigurationFitsTheStore(t *testing.T) {
	routes := append(routesOf([]kind{kitKind}), manyRoutes(bigConfigs*bigRoutes)...)
	data, err := json.Marshal(configuration(1000, routes, "catalogo", "retiradas", "pedidos"))
	if err != nil || len(data) > maxValue {
		t.Errorf("configuration of %d bytes (%v), want at most %d", len(data), err, maxValue)
	}
	t.Logf("%d bytes", len(data))
}
