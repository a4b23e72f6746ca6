package standin

// Answers that bypass the HTTP server: without a length, with more bytes than it would send, or without
// an end.

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answerRaw bypasses the HTTP server to answer without a length, or with additional
// bytes.
func (t *Target) answerRaw(w http.ResponseWriter, b Behaviour, id string, data []byte) {
	head := "HTTP/1.1 200 OK\r\n" + t.headerNames.Request + ": " + id + "\r\n" + t.headerNames.Signature + ": " + t.name + "." + id + "\r\n"
	if text := t.leavingText(b); text != "" {
		head += t.headerNames.Leaving + ": " + text + "\r\n"
	}
	if !b.NoLength {
		head += "Content-Length: " + strconv.Itoa(len(data)) + "\r\n"
	}
	writeRaw(w, head+"\r\n"+string(data)+strings.ReplaceAll(b.Trailing, "{id}", id))
}

// trickleInterval is the time between the bytes of a body that is sent one at a time.
const trickleInterval = 100 * time.Millisecond

// trickle bypasses the HTTP server to answer with a head of distinct short fields and a body that
// does not end.
func (t *Target) trickle(w http.ResponseWriter, id string, fields int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := []byte("HTTP/1.1 200 OK\r\n" + t.headerNames.Request + ": " + id + "\r\n" + t.headerNames.Signature + ": " + t.name + "." + id + "\r\n")
	for i := range fields {
		head = append(strconv.AppendInt(head, int64(i), 36), ":\r\n"...)
	}
	_, err = conn.Write(append(head, "\r\n"...))
	for err == nil {
		time.Sleep(trickleInterval)
		_, err = conn.Write([]byte("x"))
	}
}

// writeRaw bypasses the HTTP server to send bytes, and closes the connection.
func writeRaw(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, raw)
	_ = conn.Close()
}
