package node

// Requests between nodes and their responses, in CBOR over HTTP.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// postPeer sends a request to another node and decodes its response of at most limit bytes
// into out.
func (n *Node) postPeer(ctx context.Context, to inventory.EntryID, path string, in, out any, limit int64) error {
	address, ok := n.members.PeerAddress(to)
	if !ok {
		return errors.New("its address is unknown")
	}
	data, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("User-Agent", "") // omits the default value, which saves bytes
	resp, err := n.peerClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := exchange.CheckHead(resp); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, limit)) // so that the connection can be reused
		return statusError(resp.StatusCode)
	}
	return decodeMessage(resp.Body, limit, out)
}

// statusError is the status of a response that is not 200.
type statusError int

// Error names the status.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// isStatus reports whether another node responded with a status.
func isStatus(err error, status int) bool {
	var e statusError
	return errors.As(err, &e) && int(e) == status
}

// decodeMessage decodes a message of at most limit bytes.
func decodeMessage(body io.Reader, limit int64, out any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, out)
}

// writeReply sends the response to a request of another node.
func writeReply(w http.ResponseWriter, reply any) {
	data, err := cbor.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	_, _ = w.Write(data) // net/http detects a node that has disconnected
}
