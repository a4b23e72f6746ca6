package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(uri string) quarantine.Request {
	return quarantine.Request{Method: "GET", Route: "h", URI: uri}
}

// crash is a crash of an endpoint under a request.
func crash(uri, endpoint string, at time.Time) quarantine.Crash {
	r := request(uri)
	return quarantine.Crash{Fingerprint: r.Fingerprint(), Target: r.Target(), Endpoint: inventory.EndpointID(endpoint), At: at, Probe: true, Sample: quarantine.Sample{URI: uri}}
}

// TestInnocentRequestsAreNotQuarantined guards against a request that is rejected although it
// only was running where endpoints crashed, and against a deadly one that is not.
func TestInnocentRequestsAreNotQuarantined(t *testing.T) {
	type step struct {
		at       time.Duration
		endpoint string // that crashes; "": the request is answered
		popular  bool   // the attempt was no probe
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	cases := map[string]struct {
		steps       []step
		quarantined bool
	}{
		"two crashes":                               {steps: []step{{at: 0, endpoint: "a"}, {at: ms(500), endpoint: "b"}}},
		"three crashes":                             {steps: []step{{at: 0, endpoint: "a"}, {at: ms(500), endpoint: "b"}, {at: ms(900), endpoint: "c"}}, quarantined: true},
		"three crashes of one endpoint":             {steps: []step{{at: 0, endpoint: "a"}, {at: ms(4000), endpoint: "a"}, {at: ms(9000), endpoint: "a"}}, quarantined: true},
		"one crash that three nodes report":         {steps: []step{{at: 0, endpoint: "a"}, {at: ms(30), endpoint: "a"}, {at: ms(90), endpoint: "a"}}},
		"a failure domain with many endpoints":      {steps: []step{{at: 0, endpoint: "a"}, {at: ms(10), endpoint: "b"}, {at: ms(20), endpoint: "c"}, {at: ms(30), endpoint: "d"}, {at: ms(40), endpoint: "e"}}},
		"a failure domain after two other crashes":  {steps: []step{{at: 0, endpoint: "a"}, {at: ms(5000), endpoint: "b"}, {at: ms(5010), endpoint: "c"}, {at: ms(5020), endpoint: "d"}}},
		"answered after the second":                 {steps: []step{{at: 0, endpoint: "a"}, {at: ms(500), endpoint: "b"}, {at: ms(900), endpoint: ""}, {at: ms(1500), endpoint: "c"}}},
		"answered, and three crashes after that":    {steps: []step{{at: 0, endpoint: "a"}, {at: ms(500), endpoint: ""}, {at: ms(900), endpoint: "b"}, {at: ms(1500), endpoint: "c"}, {at: ms(2500), endpoint: "d"}}, quarantined: true},
		"crashes an hour apart":                     {steps: []step{{at: 0, endpoint: "a"}, {at: time.Hour, endpoint: "b"}, {at: 2 * time.Hour, endpoint: "c"}}},
		"reports that arrive in another order":      {steps: []step{{at: ms(900), endpoint: "c"}, {at: 0, endpoint: "a"}, {at: ms(500), endpoint: "b"}}, quarantined: true},
		"many crashes of a popular request":         {steps: []step{{at: 0, endpoint: "a", popular: true}, {at: ms(500), endpoint: "b", popular: true}, {at: ms(900), endpoint: "c", popular: true}, {at: ms(1300), endpoint: "d", popular: true}, {at: ms(1700), endpoint: "e", popular: true}}},
		"the last crash is that of a probe":         {steps: []step{{at: 0, endpoint: "a"}, {at: ms(500), endpoint: "b"}, {at: ms(900), endpoint: "c", popular: true}, {at: ms(1300), endpoint: "d"}}, quarantined: true},
		"an endpoint crashes again within a second": {steps: []step{{at: 0, endpoint: "a"}, {at: ms(600), endpoint: "a"}, {at: ms(1200), endpoint: "a"}}, quarantined: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Whether it is rejected", t, func() {
				table := quarantine.New()
				now := epoch
				for _, s := range c.steps {
					at := epoch.Add(s.at)
					if at.After(now) {
						now = at
					}
					table.Tick(now)
					if s.endpoint == "" {
						convey.So(table.Clear(now, request("/x").Fingerprint()), convey.ShouldBeTrue)
						continue
					}
					recorded := crash("/x", s.endpoint, at)
					recorded.Probe = !s.popular
					table.RecordCrash(now, recorded, true)
				}
				convey.So(table.Status(now, request("/x")).Quarantined > 0, convey.ShouldEqual, c.quarantined)
				convey.So(table.Status(now, request("/y")).Quarantined > 0, convey.ShouldBeFalse)
			})
		})
	}
}

func TestFingerprintsOfRequests(t *testing.T) {
	base := quarantine.Request{Method: "PUT", Route: "h", URI: "/a?b=1", Credentials: "c", Body: []byte("body"), Length: 4}
	cases := map[string]func(r *quarantine.Request){
		"method":                     func(r *quarantine.Request) { r.Method = "POST" },
		"route":                      func(r *quarantine.Request) { r.Route = "other" },
		"path":                       func(r *quarantine.Request) { r.URI = "/b?b=1" },
		"query":                      func(r *quarantine.Request) { r.URI = "/a?b=2" },
		"credentials":                func(r *quarantine.Request) { r.Credentials = "d" },
		"body":                       func(r *quarantine.Request) { r.Body = []byte("bodY") },
		"the rest of a long body":    func(r *quarantine.Request) { r.Length = 5 },
		"bytes moved between fields": func(r *quarantine.Request) { r.Credentials, r.Body = "cb", []byte("ody") },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Another one is another request", t, func() {
				other := base
				change(&other)
				convey.So(other.Fingerprint(), convey.ShouldNotEqual, base.Fingerprint())
				parsed, err := quarantine.Parse(base.Fingerprint().String())
				convey.So(err, convey.ShouldBeNil)
				convey.So(parsed, convey.ShouldEqual, base.Fingerprint())
			})
		})
	}
	for _, text := range []string{"", "xyz", "00", base.Fingerprint().String() + "00"} {
		if _, err := quarantine.Parse(text); err == nil {
			t.Errorf("%q was parsed", text)
		}
	}
}

// convict lets a request crash three endpoints, starting at a time.
func convict(table *quarantine.Table, uri string, from time.Time) *quarantine.Record {
	var issued *quarantine.Record
	for i := range 3 {
		at := from.Add(time.Duration(i) * time.Second)
		_, issued = table.RecordCrash(at, crash(uri, fmt.Sprint("e", i), at), true)
	}
	return issued
}

func TestQuarantineEndsAndIsLifted(t *testing.T) {
	convey.Convey("A quarantine lasts an hour, then one more crash is enough, for twice the time", t, func() {
		table := quarantine.New()
		issued := convict(table, "/x", epoch)
		convey.So(issued, convey.ShouldNotBeNil)
		convey.So(issued.Endpoints, convey.ShouldResemble, []inventory.EndpointID{"e0", "e1", "e2"})
		later := issued.End().Add(time.Second)
		s := table.Status(later, request("/x"))
		convey.So(s.Quarantined, convey.ShouldEqual, time.Duration(0))
		convey.So(s.IsSuspect(), convey.ShouldBeTrue)
		_, again := table.RecordCrash(later, crash("/x", "e5", later), true)
		convey.So(again, convey.ShouldNotBeNil)
		convey.So(again.End().Sub(later).Round(time.Second), convey.ShouldEqual, 2*time.Hour)
		convey.Convey("An operator lifts it, and three crashes are needed again", func() {
			convey.So(table.Lift(later, request("/x").Fingerprint()), convey.ShouldBeTrue)
			convey.So(table.Lift(later, request("/x").Fingerprint()), convey.ShouldBeFalse)
			convey.So(table.Status(later, request("/x")).IsSuspect(), convey.ShouldBeFalse)
			convey.So(convict(table, "/x", later.Add(time.Second)).Number, convey.ShouldEqual, 1)
		})
		convey.Convey("An answer on probation ends it", func() {
			after := again.End().Add(time.Second)
			table.Clear(after, request("/x").Fingerprint())
			convey.So(table.Status(after, request("/x")).IsSuspect(), convey.ShouldBeFalse)
		})
	})
}

func TestRecordsReachOtherNodes(t *testing.T) {
	cases := map[string]func(from, to *quarantine.Table, now time.Time){
		"with heartbeats": func(from, to *quarantine.Table, now time.Time) {
			position := uint64(0)
			for range 10 {
				var told []quarantine.Record
				told, position = from.Since(position)
				data, _ := cbor.Marshal(told)
				var received []quarantine.Record
				_ = cbor.Unmarshal(data, &received)
				to.Learn(now, received)
			}
		},
		"with the entry": func(from, to *quarantine.Table, now time.Time) {
			issued, _ := from.Issued()
			to.Learn(now, issued)
			to.Learn(now, issued)
		},
	}
	for name, tell := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A quarantine, and its end, in this order", t, func() {
				judge, other := quarantine.New(), quarantine.New()
				now := epoch.Add(5 * time.Second)
				early := *convict(judge, "/x", epoch)
				tell(judge, other, now)
				convey.So(other.Status(now, request("/x")).Quarantined, convey.ShouldBeGreaterThan, time.Duration(0))
				judge.Lift(now, request("/x").Fingerprint())
				tell(judge, other, now)
				convey.So(other.Learn(now, []quarantine.Record{early}), convey.ShouldBeEmpty)
				convey.So(other.Status(now, request("/x")).Quarantined, convey.ShouldEqual, time.Duration(0))
			})
		})
	}
}

// TestMemoryIsBounded guards against callers who fill the table.
func TestMemoryIsBounded(t *testing.T) {
	convey.Convey("The newest suspects and quarantines are kept", t, func() {
		table := quarantine.New()
		now := epoch
		for i := range 10_000 {
			now = now.Add(time.Millisecond)
			table.RecordCrash(now, crash(fmt.Sprint("/s", i), "e", now), true)
		}
		suspects, _ := table.Counts(now)
		convey.So(suspects, convey.ShouldBeLessThanOrEqualTo, 2048)
		convey.So(table.Status(now, request("/s9999")).IsSuspect(), convey.ShouldBeTrue)
		for i := range 5000 {
			now = now.Add(time.Second)
			convict(table, fmt.Sprint("/q", i), now.Add(-3*time.Second))
		}
		_, quarantined := table.Counts(now)
		convey.So(quarantined, convey.ShouldBeLessThanOrEqualTo, 2048)
		issued, _ := table.Issued()
		convey.So(len(issued), convey.ShouldBeLessThanOrEqualTo, 32)
		told, _ := table.Since(0)
		convey.So(len(told), convey.ShouldBeLessThanOrEqualTo, 32)
		table.Tick(now.Add(100 * time.Hour))
		suspects, quarantined = table.Counts(now)
		convey.So(suspects+quarantined, convey.ShouldEqual, 0)
		convey.So(table.Status(now, request("/q4999")).Known, convey.ShouldBeFalse)
	})
}

func TestOneNodeAtATimeTriesSuspect(t *testing.T) {
	convey.Convey("Until that ends with a crash or an answer, or takes too long", t, func() {
		table := quarantine.New()
		f := request("/x").Fingerprint()
		table.RecordCrash(epoch, crash("/x", "a", epoch), true)
		convey.So(table.Grant(epoch, f, "n1"), convey.ShouldEqual, quarantine.GrantProbe)
		convey.So(table.Grant(epoch, f, "n2"), convey.ShouldEqual, quarantine.GrantDenied)
		convey.So(table.Grant(epoch, f, "n1"), convey.ShouldEqual, quarantine.GrantProbe)
		at := epoch.Add(time.Second)
		table.RecordCrash(at, crash("/x", "b", at), true)
		convey.So(table.Grant(at, f, "n2"), convey.ShouldEqual, quarantine.GrantProbe)
		convey.So(table.Grant(at.Add(time.Second), f, "n1"), convey.ShouldEqual, quarantine.GrantDenied)
		convey.So(table.Grant(at.Add(3*time.Second), f, "n1"), convey.ShouldEqual, quarantine.GrantProbe)
		table.Clear(at.Add(3*time.Second), f)
		convey.So(table.Grant(at.Add(3*time.Second), f, "n2"), convey.ShouldEqual, quarantine.GrantFree)
	})
}
