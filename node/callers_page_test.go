package node

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
)

// example is one block of the page: a request, and lines that the answer has.
type example struct {
	method, path string
	header       map[string]string
	body         string
	want         []string
}

// readExamples takes the http blocks out of a page.
func readExamples(page string) []example {
	var found []example
	for _, part := range strings.Split(page, "```http\n")[1:] {
		block, _, _ := strings.Cut(part, "\n```")
		request, want, _ := strings.Cut(block, "\n=> ")
		found = append(found, readExample(strings.Split(request, "\n"), strings.Split(want, "\n")))
	}
	return found
}

func readExample(request, want []string) example {
	method, path, _ := strings.Cut(request[0], " ")
	e := example{method: method, path: path, header: map[string]string{}, want: want}
	for _, line := range request[1:] {
		name, value, ok := strings.Cut(line, ": ")
		if !ok || strings.HasPrefix(line, "{") {
			e.body = line
			continue
		}
		e.header[name] = value
	}
	return e
}

// run sends the request and returns the answer as text.
func (e example) run(r *rig, token string) string {
	entry, _ := r.inv.Entry("lumbre-1")
	req, err := http.NewRequestWithContext(r.t.Context(), e.method, "http://"+entry.Caller+e.path, strings.NewReader(e.body))
	if err != nil {
		r.t.Fatal(err)
	}
	for name, value := range e.header {
		req.Header.Set(name, strings.ReplaceAll(value, "{token}", token))
	}
	resp, err := r.caller.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	var text strings.Builder
	text.WriteString(resp.Status + "\n")
	_ = resp.Header.Write(&text)
	text.Write(body)
	return text.String()
}

func TestCallersPage(t *testing.T) {
	page, err := os.ReadFile("../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("Each example of the page gets what the page says", r.t, func() {
			token := r.token("lumbre-1", "lumbre-1")
			found := readExamples(string(page))
			convey.So(len(found), convey.ShouldBeGreaterThan, 5)
			for _, e := range found {
				got := e.run(r, token)
				for _, line := range e.want {
					convey.So(got, convey.ShouldContainSubstring, line)
				}
			}
		})
	})
}
