package node

import (
	"io"
	"log/slog"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(io.Discard, nil)))
	os.Exit(m.Run())
}
