package soak_test

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/soak"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is some seconds after epoch.
func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

var (
	here      = soak.EndpointInfo{ID: "e1", Domain: "d1", Service: "browsing"}
	elsewhere = soak.EndpointInfo{ID: "e2", Domain: "d2", Service: "booking"}
	good      = caller.Reply{Outcome: caller.OutcomeRan, Status: 200}
	refused   = caller.Reply{Outcome: caller.OutcomeNotRun, Status: 503}
)

func newChecker() *soak.Checker {
	split := func(s inventory.ServiceID) []inventory.ServiceWeight {
		return []inventory.ServiceWeight{{Service: s, Weight: 1}}
	}
	return soak.NewChecker(epoch, node.DefaultBounds(), inventory.Configuration{
		Services: []inventory.Service{{ID: "browsing", ColdRate: 2}, {ID: "booking", ColdRate: 2}},
		Routes: []inventory.Route{
			{ID: "browse", Idempotent: true, Attempts: 2, TrafficSplit: split("browsing")},
			{ID: "book", Attempts: 2, TrafficSplit: split("booking")},
			{ID: "probe", Idempotent: true, Attempts: 2, TrafficSplit: split("browsing")},
		},
	})
}

// step is one observation, or several.
type step func(c *soak.Checker)

func sent(t float64, id string, route inventory.RouteID) step {
	return func(c *soak.Checker) {
		c.RecordSent(soak.Request{ID: id, Route: route, Node: 1, Incarnation: 1, Sent: at(t), Timeout: 2 * time.Second})
	}
}

func ran(t float64, id string, e soak.EndpointInfo) step {
	return func(c *soak.Checker) { c.RecordRun(at(t), id, e) }
}

// served is a request that arrives and runs at once.
func served(t float64, id string, route inventory.RouteID, e soak.EndpointInfo) step {
	return func(c *soak.Checker) {
		sent(t, id, route)(c)
		c.RecordArrival(at(t), id, e)
		ran(t, id, e)(c)
	}
}

func answered(t float64, id string, r caller.Reply) step {
	return func(c *soak.Checker) { c.RecordAnswer(at(t), id, r, nil, false) }
}

// unanswered is a request that ends without an answer; cancelled says that its caller cancelled
// it.
func unanswered(t float64, id string, err error, cancelled bool) step {
	return func(c *soak.Checker) { c.RecordAnswer(at(t), id, caller.Reply{}, err, cancelled) }
}

// published is a configuration that routes probes to one service; confirmed says that
// the store confirms it 0.1 s later.
func published(t float64, s inventory.ServiceID, confirmed bool) step {
	return func(c *soak.Checker) {
		if confirm := c.RecordPublish(at(t), s); confirmed {
			confirm(at(t + 0.1))
		}
	}
}

func drained(t float64) step { return func(c *soak.Checker) { c.SetDrained("d1", at(t)) } }
func leaving(t float64) step { return func(c *soak.Checker) { c.SetLeaving("e1", at(t)) } }
func running(t float64, is bool) step {
	return func(c *soak.Checker) { c.SetRunning(at(t), 2, is) }
}
func faulted(s soak.Scope, from, to float64) step {
	return func(c *soak.Checker) { c.RecordFault(s, at(from), at(to)) }
}
func stopped(began, ended float64, code int) step {
	return func(c *soak.Checker) { c.CheckStop(at(ended), 1, at(began), code) }
}

// lookedUp records several lookups that return node 2.
func lookedUp(t float64) step {
	return func(c *soak.Checker) {
		for range 4 {
			c.RecordLookup(at(t), 1, []int{1, 2})
		}
	}
}

// each repeats steps for several requests.
func each(count int, steps func(id string) []step) step {
	return func(c *soak.Checker) {
		for i := range count {
			for _, s := range steps(string(rune('a' + i))) {
				s(c)
			}
		}
	}
}

// TestViolationsAreDetected checks that a violation of each guarantee is detected, and
// that similar permitted sequences are not reported.
func TestViolationsAreDetected(t *testing.T) {
	const never = 1000 // seconds; for a fault that does not end
	eof := errors.New("unexpected EOF")
	node1 := soak.ScopeOfNode(1)
	repeated := func(id string) []step {
		return []step{served(1, id, "browse", here), func(c *soak.Checker) { c.RecordArrival(at(1.1), id, here) }}
	}
	once := func(id string) []step { return []step{served(1, id, "browse", here)} }
	late := func(id string) []step { return []step{served(1, id, "browse", here), answered(4, id, good)} }
	cold := func(c *soak.Checker) { c.SetCold("e1", at(3)) }
	limited := func(since float64) step { return func(c *soak.Checker) { c.SetLimited("e1", at(since)) } }
	from := func(t float64, id string, sender int) step {
		return func(c *soak.Checker) {
			sent(t, id, "browse")(c)
			c.RecordSender(at(t), id, here, sender)
		}
	}
	toldLeaving := func(t float64, id string) step {
		return func(c *soak.Checker) { c.RecordLeavingTold(at(t), id, here) }
	}
	toldPause := func(t float64, id string) step {
		return func(c *soak.Checker) { c.RecordPauseTold(at(t), id, here) }
	}
	cutOff := func(failed, servedElsewhere int) step {
		return func(c *soak.Checker) {
			for i := range failed {
				id := fmt.Sprint("cut", i)
				sent(14, id, "browse")(c)
				answered(14.1, id, refused)(c)
			}
			for i := range servedElsewhere {
				id := fmt.Sprint("other", i)
				c.RecordSent(soak.Request{ID: id, Route: "browse", Node: 2, Incarnation: 1, Sent: at(14), Timeout: 2 * time.Second})
				answered(14.1, id, good)(c)
			}
			c.CheckCutOff(at(20), []int{1}, 3, at(10), at(16))
		}
	}
	cases := map[string]struct {
		steps     []step
		guarantee string // "": no violation
	}{
		"told that it leaves":            {[]step{from(1, "a", 1), toldLeaving(1, "a"), from(3.1, "b", 1)}, "told"},
		"told a moment ago":              {[]step{from(1, "a", 1), toldLeaving(1, "a"), from(2.9, "b", 1)}, ""},
		"another node was told":          {[]step{from(1, "a", 1), toldLeaving(1, "a"), from(3.1, "b", 2)}, ""},
		"told before the node restarted": {[]step{from(1, "a", 2), toldLeaving(1, "a"), running(1.5, false), running(2, true), from(4, "b", 2)}, ""},
		"told by a former start":         {[]step{from(1, "a", 1), toldLeaving(1, "a"), func(c *soak.Checker) { c.SetLeaving("e1", time.Time{}) }, from(4, "b", 1)}, ""},
		"two in a pause":                 {[]step{from(1, "a", 1), toldPause(1, "a"), from(2, "b", 1), from(3, "c", 1)}, ""},
		"three in a pause":               {[]step{from(1, "a", 1), toldPause(1, "a"), from(2, "b", 1), from(3, "c", 1), from(3.4, "d", 1)}, "pause"},
		"three around a pause":           {[]step{from(1, "a", 1), toldPause(1, "a"), from(1.4, "b", 1), from(3, "c", 1), from(3.6, "d", 1), from(3.7, "e", 1)}, ""},
		"cut-off node serves none":       {[]step{cutOff(20, 20)}, "cutoff"},
		"cut-off node serves few less":   {[]step{cutOff(10, 20)}, ""},
		"nobody serves":                  {[]step{cutOff(20, 0)}, ""},
		"no other node has no fault":     {[]step{faulted(soak.ScopeOfNode(2), 12, 15), faulted(soak.ScopeOfNode(0), 12, 15), cutOff(20, 20)}, ""},
		"a frozen node that is cut off":  {[]step{faulted(node1, 12, 13), cutOff(20, 20)}, ""},
		"an answered request":            {[]step{served(1, "a", "browse", here), answered(1.1, "a", good)}, ""},
		"run-once request runs twice":    {[]step{served(1, "a", "book", elsewhere), ran(1.2, "a", here)}, "twice"},
		"idempotent request runs twice":  {[]step{served(1, "a", "browse", here), ran(1.2, "a", elsewhere)}, ""},
		"three attempts":                 {[]step{served(1, "a", "browse", here), ran(1.2, "a", elsewhere), ran(1.3, "a", here)}, "attempts"},
		"refused after it ran":           {[]step{served(1, "a", "book", elsewhere), answered(1.1, "a", refused)}, "refused"},
		"503 of nobody after it ran":     {[]step{served(1, "a", "browse", elsewhere), answered(1.1, "a", caller.Reply{Outcome: caller.OutcomeUnknown, Status: 503})}, "refused"},
		"runs after it was refused":      {[]step{sent(1, "a", "book"), answered(1.1, "a", refused), ran(1.5, "a", elsewhere)}, "refused"},
		"request of no caller":           {[]step{func(c *soak.Checker) { c.RecordArrival(at(1), "a", here) }}, "unasked"},

		"lost at an undisturbed node":   {[]step{served(1, "a", "browse", here), unanswered(1.1, "a", eof, false)}, "lost"},
		"sent as its connection closes": {[]step{sent(1, "a", "browse"), unanswered(1.1, "a", eof, false)}, ""},
		"no connection":                 {[]step{sent(1, "a", "browse"), unanswered(2, "a", &net.OpError{Op: "dial", Err: eof}, false)}, ""},
		"lost at a killed node":         {[]step{served(1, "a", "browse", here), faulted(node1, 1.05, never), unanswered(1.1, "a", eof, false)}, ""},
		"the caller cancelled":          {[]step{served(1, "a", "browse", here), unanswered(1.1, "a", eof, true)}, ""},
		"late answers":                  {[]step{each(9, late)}, "late"},
		"many further attempts":         {[]step{each(60, repeated)}, ""},
		"too many further attempts":     {[]step{each(70, repeated)}, "budget"},
		"a cold endpoint":               {[]step{cold, each(8, once)}, ""},
		"an overloaded cold endpoint":   {[]step{cold, each(9, once)}, "cold"},
		"a limited endpoint":            {[]step{limited(-8), each(17, once)}, ""},
		"an overrun limited endpoint":   {[]step{limited(-8), each(18, once)}, "limit"},
		"a limit that is new":           {[]step{limited(-6), each(18, once)}, ""},
		"a limit that has ended":        {[]step{limited(-8), func(c *soak.Checker) { c.SetLimited("e1", time.Time{}) }, each(18, once)}, ""},
		"a limit, and a faulty node":    {[]step{limited(-8), faulted(node1, 0, 0.1), each(18, once)}, ""},

		"a drained domain, within the bound":              {[]step{drained(1), served(5.9, "a", "browse", here)}, ""},
		"a drained domain":                                {[]step{drained(1), served(6.1, "a", "browse", here)}, "drain"},
		"a drained domain, from a node that just resumed": {[]step{drained(1), faulted(node1, 2, 6), served(6.1, "a", "browse", here)}, ""},
		"a domain that was undrained": {[]step{
			drained(1), func(c *soak.Checker) { c.SetDrained("d1", time.Time{}) }, served(6.1, "a", "browse", here),
		}, ""},
		"a leaving endpoint": {[]step{leaving(1), served(3.1, "a", "browse", here)}, "leave"},
		"a leaving endpoint, while the store is unavailable": {[]step{leaving(1), faulted(soak.ScopeStore, 2, never), served(3.1, "a", "browse", here)}, ""},

		"a former configuration":                   {[]step{published(0, "browsing", true), published(10, "booking", true), served(12.2, "a", "probe", here)}, "apply"},
		"a former configuration, within the bound": {[]step{published(0, "browsing", true), published(10, "booking", true), served(12, "a", "probe", here)}, ""},
		"a configuration that is not confirmed": {[]step{
			published(0, "browsing", true), published(10, "booking", false), served(20, "a", "probe", elsewhere), served(20.1, "b", "probe", here),
		}, ""},
		"an older configuration after a newer one": {[]step{
			published(0, "browsing", true), published(10, "booking", true), served(10.2, "a", "probe", elsewhere), served(11, "b", "probe", here),
		}, "revert"},

		"a lookup returns a dead node":             {[]step{running(1, false), lookedUp(7.5)}, "dead"},
		"a lookup returns a node that just exited": {[]step{running(1, false), lookedUp(6.5)}, ""},
		"a lookup returns a restarted node":        {[]step{running(1, false), running(7, true), lookedUp(7.5)}, ""},
		"no recovery": {[]step{
			each(8, func(id string) []step { return []step{sent(1, id, "browse"), answered(1.1, id, good)} }),
			sent(1, "y", "browse"), answered(1.1, "y", refused), sent(1, "z", "browse"), answered(1.1, "z", refused),
			func(c *soak.Checker) { c.CheckRecovery(at(2), at(0)) },
		}, "recover"},
		"clean stop":                           {[]step{stopped(1, 3, 0)}, ""},
		"stop with exit code 1":                {[]step{stopped(1, 3, 1)}, "stop"},
		"stop with exit code 1 after a freeze": {[]step{faulted(node1, 1.5, 6), stopped(1, 7, 1)}, ""},
		"an answer to another request":         {[]step{sent(1, "a", "browse"), func(c *soak.Checker) { c.RecordMismatch(at(1), "a", "it is another's") }}, "mixed"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The expected violation, or none, is recorded", t, func() {
				c := newChecker()
				for _, s := range tc.steps {
					s(c)
				}
				found := ""
				for _, v := range c.Violations() {
					found = v.Guarantee
				}
				convey.So(found, convey.ShouldEqual, tc.guarantee)
			})
		})
	}
}

func TestDroppedRequestsMustNotRun(t *testing.T) {
	convey.Convey("A refused request that runs is detected after its record was dropped", t, func() {
		c := newChecker()
		sent(1, "a", "book")(c)
		answered(1.1, "a", refused)(c)
		c.DropOldRequests(at(100))
		c.RecordRun(at(101), "a", elsewhere)
		convey.So(c.Violations(), convey.ShouldHaveLength, 1)
	})
}
