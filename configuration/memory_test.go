package configuration_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// memory is a store without faults that counts.
type memory struct {
	values                       map[string]platform.Object
	reads, writes, read, written int
}

func newMemory() *memory { return &memory{values: map[string]platform.Object{}} }

func (m *memory) Get(_ context.Context, name string) (platform.Object, error) {
	o, ok := m.values[name]
	if !ok {
		return o, platform.ErrMissing
	}
	m.reads++
	m.read += len(o.Value)
	return o, nil
}

func (m *memory) Put(_ context.Context, name string, value []byte, match platform.Version) (platform.Version, error) {
	if m.values[name].Version != match {
		return "", platform.ErrConflict
	}
	m.writes++
	m.written += len(value)
	o := platform.Object{Name: name, Version: platform.Version(strconv.Itoa(m.writes)), Value: value}
	m.values[name] = o
	return o.Version, nil
}

// must publishes a change on top of what is known and returns the version.
func (m *memory) must(t *testing.T, known configuration.Bundle, c configuration.Change) configuration.Bundle {
	t.Helper()
	present, err := configuration.ReadPresent(t.Context(), m, known)
	if err != nil {
		t.Fatal(err)
	}
	plan, err := present.Plan(time.Now(), c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := plan.Publish(t.Context(), m); err != nil {
		t.Fatal(err)
	}
	return m.bundle(t)
}

// bundle returns the version in the store.
func (m *memory) bundle(t *testing.T) configuration.Bundle {
	t.Helper()
	head, _, err := configuration.Read(t.Context(), m)
	if err != nil {
		t.Fatal(err)
	}
	b, err := configuration.Fetch(t.Context(), configuration.StoreSource{Store: m}, head, configuration.Bundle{})
	if err != nil {
		t.Fatal(err)
	}
	return b
}
