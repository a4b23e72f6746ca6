package standin

import (
	"io"
	"net"
	"net/http"
)

// Serve serves a stand-in on an address until the result is closed.
func Serve(address string, h http.Handler) (io.Closer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.Serve(l) }() // returns when the server is closed
	return s, nil
}
