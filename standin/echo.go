package standin

// The answer of a target, and the check that a caller received its own answer
// completely.

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/wasabiwheel/wasabiwheel/caller"
)

// Echo is the answer of a target. It repeats the request, so that a caller can
// distinguish its answer from that to another request.
type Echo struct {
	Target  string `json:"target"`
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Early   bool   `json:"early,omitempty"` // sent before the body was read
	Fill    string `json:"fill"`
	// Organisation is the name that the node sent, Key whether credentials arrived.
	Organisation string `json:"organisation,omitempty"`
	Key          bool   `json:"key,omitempty"`
}

// EchoMismatch describes how an answer does not match its operation; "" if it does. It
// accepts every answer with a status of 500 or above.
func EchoMismatch(op caller.Operation, r caller.Reply) string {
	if r.Status >= http.StatusInternalServerError {
		return ""
	}
	if r.Header.Get(caller.Headers.Signature) == "" {
		return "answer below status 500 has no signature"
	}
	var echo Echo
	if err := json.Unmarshal(r.Body, &echo); err != nil {
		return fmt.Sprintf("answer is not an echo: %v", err)
	}
	body := string(op.Body)
	if echo.Early {
		body = ""
	}
	if echo.Request != op.ID || echo.Method != op.Method || echo.Path != op.Path || echo.Body != body {
		return fmt.Sprintf("sent %s %s %q and received %+v", op.Method, op.Path, op.Body, echo)
	}
	return ""
}
