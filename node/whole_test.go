package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const kitsPath = "/serve/orders/kits"

// answers of targets, and what a caller gets.
var rawAnswers = map[string]struct {
	method  string // "": GET
	raw     string
	status  int
	outcome Outcome
	reason  Reason
	body    string
	header  map[string]string // "": missing
}{
	"whole":              {raw: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", status: 200, outcome: OutcomeRan, body: "whole"},
	"in chunks":          {raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", status: 200, outcome: OutcomeRan, body: "whole", header: map[string]string{"Content-Length": "5"}},
	"failure":            {raw: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nsorry", status: 500, outcome: OutcomeRan, body: "sorry"},
	"truncated":          {raw: "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"truncated chunk":    {raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nwhole", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"last chunk missing": {raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"truncated header":   {raw: "HTTP/1.1 200 OK\r\nContent-Le", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"no answer":          {raw: "\r\n", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"not HTTP":           {raw: "SSH-2.0-x\r\n\r\n", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"two lengths":        {raw: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"negative length":    {raw: "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nwhole", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"length too short":   {raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nwhole", status: 200, outcome: OutcomeRan, body: "who"},
	"no length":          {raw: "HTTP/1.0 200 OK\r\n\r\nwhole", status: 502, outcome: OutcomeUnknown, reason: ReasonUnframed},
	"too large":          {raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400001\r\n" + strings.Repeat("x", MaxAnswer+1) + "\r\n0\r\n\r\n", status: 502, outcome: OutcomeUnknown, reason: ReasonOversize},
	"header too large":   {raw: "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", maxHeader) + "\r\nContent-Length: 0\r\n\r\n", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"early hints first":  {raw: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", status: 200, outcome: OutcomeRan, body: "whole", header: map[string]string{"Link": ""}},
	"other protocol":     {raw: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", status: 502, outcome: OutcomeUnknown, reason: ReasonBroken},
	"redirect":           {raw: "HTTP/1.1 307 Temporary Redirect\r\nLocation: /kits/9\r\nContent-Length: 0\r\n\r\n", status: 307, outcome: OutcomeRan, header: map[string]string{"Location": "/kits/9"}},
	"no content":         {raw: "HTTP/1.1 204 No Content\r\nEtag: \"9\"\r\n\r\n", status: 204, outcome: OutcomeRan, header: map[string]string{"Etag": "\"9\"", "Content-Length": ""}},
	"not modified":       {raw: "HTTP/1.1 304 Not Modified\r\nEtag: \"9\"\r\n\r\n", status: 304, outcome: OutcomeRan, header: map[string]string{"Etag": "\"9\"", "Content-Length": ""}},
	"head":               {method: http.MethodHead, raw: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", status: 200, outcome: OutcomeRan, header: map[string]string{"Content-Length": "5"}},
	"head of no length":  {method: http.MethodHead, raw: "HTTP/1.1 200 OK\r\nEtag: \"9\"\r\n\r\n", status: 200, outcome: OutcomeRan, header: map[string]string{"Etag": "\"9\""}},
	"hop by hop":         {raw: "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: max=1\r\nX-End: 1\r\nContent-Length: 5\r\n\r\nwhole", status: 200, outcome: OutcomeRan, body: "whole", header: map[string]string{"X-Hop": "", "Keep-Alive": "", "X-End": "1"}},
	"words of ours":      {raw: "HTTP/1.1 200 OK\r\nWasabiwheel-Outcome: not-run\r\nWasabiwheel-Reason: sealed\r\nContent-Length: 5\r\n\r\nwhole", status: 200, outcome: OutcomeRan, body: "whole"},
}

func TestAnswersOfTargets(t *testing.T) {
	for name, c := range rawAnswers {
		t.Run(name, func(t *testing.T) {
			bubble(t, []byte(onceText), func(r *rig) {
				r.caller.CheckRedirect = keepRedirect
				for hops, to := range map[string]inventory.EntryID{"at the owner": "o-1", "handed over": "o-2"} {
					convey.Convey("The caller gets all of it or an honest failure, "+hops, r.t, func() {
						method := c.method
						if method == "" {
							method = http.MethodGet
						}
						r.targets[onceTarget].SetBehaviour(standin.Behaviour{Raw: c.raw})
						p := r.send(r.t.Context(), to, method, kitsPath, "", "")
						convey.So(p.err, convey.ShouldBeNil)
						convey.So(p.status, convey.ShouldEqual, c.status)
						convey.So(p.outcome, convey.ShouldEqual, c.outcome)
						convey.So(Reason(p.header.Get(HeaderReason)), convey.ShouldEqual, c.reason)
						if c.outcome == OutcomeRan {
							convey.So(string(p.body), convey.ShouldEqual, c.body)
						}
						for header, want := range c.header {
							convey.So(p.header.Get(header), convey.ShouldEqual, want)
						}
						r.targets[onceTarget].SetBehaviour(standin.Behaviour{})
						time.Sleep(2 * time.Second) // until the slots are free
						next := r.send(r.t.Context(), to, http.MethodGet, kitsPath+"/next", "", "")
						convey.So(next.echo.Path, convey.ShouldEqual, "/kits/next")
					})
				}
			})
		})
	}
}

// free returns the free slots of the only endpoint's owner.
func (r *rig) free() int { return r.nodes["o-1"].Status().Loads[0].Free }

func TestSlotStaysOccupiedWhileTheRequestMayRun(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour standin.Behaviour
		leave     time.Duration // of the caller
		outcome   Outcome       // "": the caller is gone
		during    int           // free slots
		after     int
	}{
		"stalled answer":        {standin.Behaviour{Stall: true}, time.Minute, OutcomeUnknown, 1, 2},
		"truncated answer":      {standin.Behaviour{Truncate: true}, time.Minute, OutcomeUnknown, 0, 1}, // it gets half of the work from then on
		"caller left long work": {standin.Behaviour{Work: time.Hour}, 50 * time.Millisecond, "", 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, []byte(onceText), func(r *rig) {
				convey.Convey("The slot is free again after the deadline, not before", r.t, func() {
					r.targets[onceTarget].SetBehaviour(c.behaviour)
					began := time.Now()
					ctx, cancel := context.WithTimeout(r.t.Context(), c.leave)
					defer cancel()
					p := r.send(ctx, "o-2", http.MethodGet, kitsPath, "", "")
					convey.So(p.outcome, convey.ShouldEqual, c.outcome)
					time.Sleep(time.Until(began.Add(time.Second)))
					convey.So(r.free(), convey.ShouldEqual, c.during)
					time.Sleep(endpoint.Transit + 50*time.Millisecond)
					convey.So(r.free(), convey.ShouldEqual, c.after)
				})
			})
		})
	}
}

func TestAnswersArePairedWithRequests(t *testing.T) {
	const callers, wanted = 12, 20
	wide := strings.NewReplacer("slots = 2", "slots = 20", `deadline = "1s"`, `deadline = "300ms"`).Replace(onceText)
	bubble(t, []byte(wide), func(r *rig) {
		convey.Convey("Under late, truncated and abandoned answers each caller gets its own", r.t, func() {
			whole := make([]int, callers) // answers by caller
			var wait sync.WaitGroup
			for c := range callers {
				wait.Go(func() { whole[c] = r.askMany(c, wanted) })
			}
			for i := range 40 {
				r.targets[onceTarget].SetBehaviour(standin.Behaviour{Work: 5 * time.Millisecond, Spread: 10 * time.Millisecond, Truncate: i%10 == 0, Answer: i * 100})
				time.Sleep(25 * time.Millisecond)
			}
			wait.Wait()
			sum := 0
			for _, got := range whole {
				sum += got
			}
			convey.So(sum, convey.ShouldEqual, callers*wanted)
		})
	})
}

// askMany sends requests one after the other, some of which it abandons, until
// it has as many whole answers as wanted, and returns how many it got.
func (r *rig) askMany(number, wanted int) int {
	const most = 1000 // requests
	random := rand.New(rand.NewPCG(uint64(number), 1))
	got := 0
	for i := 0; got < wanted && i < most; i++ {
		ctx, cancel := context.WithTimeout(r.t.Context(), time.Duration(20+random.IntN(100))*time.Millisecond)
		path := "/kits/" + strconv.Itoa(number) + "/" + strconv.Itoa(i)
		p := r.send(ctx, r.inv.Entries[i%3].ID, http.MethodGet, "/serve/orders"+path, "", path)
		cancel()
		if p.err != nil || p.outcome != OutcomeRan {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		got++
		if p.echo.Path != path || p.echo.Body != path {
			r.t.Errorf("asked for %s, got %s with %s", path, p.echo.Path, p.echo.Body)
		}
	}
	return got
}
