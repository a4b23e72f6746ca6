package standin

// What a target answers, and how a caller sees that it got its own answer whole.

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/wasabiwheel/wasabiwheel/caller"
)

// Echo is the answer of a target: what it was asked, so that a caller can tell
// its own answer from another's.
type Echo struct {
	Target  string `json:"target"`
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Early   bool   `json:"early,omitempty"` // made before the body was read
	Fill    string `json:"fill"`
}

// WrongWith tells what is wrong with a target's answer to an operation; "" if nothing is. It
// knows nothing of failures that the target gives.
func WrongWith(op caller.Operation, r caller.Reply) string {
	if r.Status >= http.StatusInternalServerError {
		return ""
	}
	if r.Header.Get(caller.Dialect.Signature) == "" {
		return "a success without a signature"
	}
	var echo Echo
	if err := json.Unmarshal(r.Body, &echo); err != nil {
		return fmt.Sprintf("its answer is no echo: %v", err)
	}
	body := string(op.Body)
	if echo.Early {
		body = ""
	}
	if echo.Request != op.ID || echo.Method != op.Method || echo.Path != op.Path || echo.Body != body {
		return fmt.Sprintf("it asked %s %s %q and was answered %+v", op.Method, op.Path, op.Body, echo)
	}
	return ""
}
