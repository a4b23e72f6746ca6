package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/quota"
	"github.com/wasabiwheel/wasabiwheel/roster"
)

func limited(rate, burst float64) []inventory.Organisation {
	return []inventory.Organisation{{ID: organisation, Rate: inventory.Rate(rate), Burst: burst}, {ID: "free"}}
}

// started returns the table of a node that has started with a list and a limit.
func started(id inventory.EntryID, now time.Time, r *roster.Roster, limits []inventory.Organisation) *quota.Table {
	t := quota.New(id)
	t.SetLimits(now, limits, bounds)
	t.SetPeers(now, r)
	return t
}

// release has the open claims of a table answered by the nodes asked.
func release(now time.Time, t *quota.Table, by inventory.EntryID, others map[inventory.EntryID]*quota.Table) {
	for _, c := range t.Claims() {
		if other := others[c.To]; other != nil {
			t.RecordRelease(now, c.To, other.Release(now, by, c.Organisations))
		}
	}
}

// issuersOf returns the issuers of the organisation by a list.
func issuersOf(r *roster.Roster, limits []inventory.Organisation) []inventory.EntryID {
	return started("none", epoch, r, limits).Issuers(organisation)
}

// TestNewIssuerWaitsForReplaced guards against a share that two nodes issue, since the one that is
// replaced does not know it yet, is cut off, or was not replaced by this one but by another.
func TestNewIssuerWaitsForReplaced(t *testing.T) {
	limits := limited(600, 600)
	before := roster.New(simPeers(20))
	var after *roster.Roster
	var added, replaced inventory.EntryID
	for n := 20; added == "" || replaced == ""; n++ { // the first node that replaces one issuer
		added, replaced = "", ""
		after = roster.New(append(simPeers(20), simPeer(n)))
		old := issuersOf(before, limits)
		for _, id := range issuersOf(after, limits) {
			if id == simID(n) {
				added = id
			}
		}
		for _, id := range old {
			if _, still := find(issuersOf(after, limits), id); !still {
				replaced = id
			}
		}
	}
	convey.Convey("It issues when the replaced one knows its list, with an empty bucket", t, func() {
		old := started(replaced, epoch, before, limits)
		for _, c := range old.Claims() { // it has been an issuer for long
			old.RecordRelease(epoch, c.To, c.Organisations)
		}
		next := started(added, epoch, after, limits)
		others := map[inventory.EntryID]*quota.Table{replaced: old}
		for _, at := range []time.Duration{0, time.Second, time.Minute} {
			release(epoch.Add(at), next, added, others)
			convey.So(next.Issue(epoch.Add(at), organisation, 1).Reason, convey.ShouldEqual, quota.ReasonNew)
		}
		old.SetPeers(epoch.Add(time.Minute), after)
		convey.So(old.Issue(epoch.Add(time.Minute), organisation, 1).Reason, convey.ShouldEqual, quota.ReasonNotIssuer)
		release(epoch.Add(time.Minute), next, added, others)
		convey.So(next.Issue(epoch.Add(time.Minute), organisation, 1).Reason, convey.ShouldEqual, quota.ReasonRate)
		convey.So(next.Issue(epoch.Add(time.Minute+100*time.Millisecond), organisation, 100).Count, convey.ShouldEqual, 10)
	})
	convey.Convey("It issues at last if the replaced one is never reached, or a window after it was removed", t, func() {
		next := started(added, epoch, after, limits)
		convey.So(next.Issue(epoch.Add(119*time.Second), organisation, 1).Reason, convey.ShouldEqual, quota.ReasonNew)
		convey.So(next.Issue(epoch.Add(121*time.Second), organisation, 1).Reason, convey.ShouldNotEqual, quota.ReasonNew)
		next = started(added, epoch, after, limits)
		next.SetPeers(epoch.Add(time.Second), after.Without(replaced))
		convey.So(next.Issue(epoch.Add(5900*time.Millisecond), organisation, 1).Reason, convey.ShouldEqual, quota.ReasonNew)
		convey.So(next.Issue(epoch.Add(6100*time.Millisecond), organisation, 1).Reason, convey.ShouldNotEqual, quota.ReasonNew)
	})
	convey.Convey("A node that is replaced while it waits does not release what another one may issue", t, func() {
		middle := started(added, epoch, after, limits) // waits for replaced
		var chained *roster.Roster
		var last inventory.EntryID
		for n := 21; last == ""; n++ {
			chained = roster.New(append(simPeers(20), peerOf(after, added), simPeer(n+100)))
			issuers := issuersOf(chained, limits)
			_, displaced := find(issuers, added)
			if _, is := find(issuers, simID(n+100)); is && !displaced {
				last = simID(n + 100)
			}
		}
		middle.SetPeers(epoch.Add(time.Second), chained)
		convey.So(middle.Release(epoch.Add(time.Second), last, []inventory.OrganisationID{organisation}), convey.ShouldBeEmpty)
		middle.RecordRelease(epoch.Add(2*time.Second), replaced, []inventory.OrganisationID{organisation})
		convey.So(middle.Release(epoch.Add(2*time.Second), last, []inventory.OrganisationID{organisation}), convey.ShouldHaveLength, 1)
	})
}

func find(all []inventory.EntryID, id inventory.EntryID) (int, bool) {
	for i, other := range all {
		if other == id {
			return i, true
		}
	}
	return 0, false
}

func peerOf(r *roster.Roster, id inventory.EntryID) roster.Peer {
	p, _ := r.Find(id)
	return p
}

// alone returns the table of the only node, which issues to itself.
func alone(rate, burst float64) *quota.Table {
	return started("n0", epoch, roster.New(simPeers(1)), limited(rate, burst))
}

// take charges a request at the only node.
func take(t *quota.Table, now time.Time) quota.Decision {
	for {
		d := t.Take(now, organisation)
		if d.Kind != quota.KindAsk {
			return d
		}
		t.RecordReply(now, organisation, d.Issuer, t.Issue(now, organisation, d.Count))
	}
}

// TestTokensEnd guards against tokens that are used later than the bound allows for, also if they were
// given back or came late, and after a pause.
func TestTokensEnd(t *testing.T) {
	cases := map[string]struct {
		use  func(t *quota.Table, now time.Time)
		paid bool // without asking again
	}{
		"in time":    {func(*quota.Table, time.Time) {}, true},
		"ended":      {func(*quota.Table, time.Time) {}, false},
		"paused":     {func(t *quota.Table, now time.Time) { t.Paused(now) }, false},
		"given back": {func(t *quota.Table, now time.Time) { t.GiveBack(now, organisation, t.Take(now, organisation).Charge) }, true},
		"given back late": {func(t *quota.Table, now time.Time) {
			t.GiveBack(now.Add(quota.Lifetime), organisation, t.Take(now, organisation).Charge)
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Lifetime after the moment before they were asked for", t, func() {
				table := alone(100, 100)
				now := epoch.Add(time.Second)
				ask := table.Take(now, organisation)
				convey.So(ask.Kind, convey.ShouldEqual, quota.KindAsk)
				convey.So(table.Take(now, organisation).Kind, convey.ShouldEqual, quota.KindAwait)
				table.RecordReply(now.Add(100*time.Millisecond), organisation, ask.Issuer, quota.Reply{Count: 1})
				at := now.Add(150 * time.Millisecond)
				c.use(table, at)
				if name == "ended" {
					at = now.Add(quota.Lifetime)
				}
				convey.So(table.Take(at, organisation).Kind == quota.KindPaid, convey.ShouldEqual, c.paid)
			})
		})
	}
	convey.Convey("A reply that comes after they have ended brings none", t, func() {
		table := alone(100, 100)
		ask := table.Take(epoch, organisation)
		table.RecordReply(epoch.Add(quota.Lifetime), organisation, ask.Issuer, quota.Reply{Count: 5})
		convey.So(table.Take(epoch.Add(quota.Lifetime), organisation).Kind, convey.ShouldEqual, quota.KindAsk)
	})
}

// TestLimits guards against limits that apply late or to organisations that have none, and against
// callers that are told to return at the same time.
func TestLimits(t *testing.T) {
	convey.Convey("Without a limit nothing is charged", t, func() {
		table := alone(1, 1)
		for range 100 {
			convey.So(table.Take(epoch, "free").Kind, convey.ShouldEqual, quota.KindPaid)
			convey.So(table.Take(epoch, "unknown").Kind, convey.ShouldEqual, quota.KindPaid)
		}
	})
	convey.Convey("Limits that make no sense do no harm", t, func() {
		for _, size := range []struct{ rate, burst float64 }{{math.Inf(1), math.Inf(1)}, {5, math.NaN()}, {1e-300, -5}, {1e300, 1e300}, {5, 0}} {
			table := alone(size.rate, size.burst)
			table.Tick(epoch.Add(time.Second))
			for range 20 {
				d := take(table, epoch.Add(time.Second))
				convey.So(d.Kind, convey.ShouldBeIn, quota.KindPaid, quota.KindDenied)
				convey.So(d.Wait, convey.ShouldBeBetweenOrEqual, 0, 5*time.Second)
			}
		}
	})
	convey.Convey("A lowered limit applies to the tokens that an issuer holds", t, func() {
		table := alone(100, 100)
		now := epoch.Add(10 * time.Second)
		table.SetLimits(now, limited(10, 10), bounds)
		convey.So(table.Issue(now, organisation, 100).Count, convey.ShouldBeLessThanOrEqualTo, 12)
	})
	convey.Convey("An organisation that is added has its burst, and one that is removed no limit", t, func() {
		table := quota.New("n0")
		table.SetPeers(epoch, roster.New(simPeers(1)))
		table.SetLimits(epoch, nil, bounds)
		table.SetLimits(epoch.Add(time.Second), limited(10, 10), bounds)
		convey.So(table.Issue(epoch.Add(time.Second), organisation, 100).Count, convey.ShouldBeGreaterThanOrEqualTo, 10)
		table.SetLimits(epoch.Add(time.Second), nil, bounds)
		convey.So(table.Take(epoch.Add(time.Second), organisation).Kind, convey.ShouldEqual, quota.KindPaid)
	})
	convey.Convey("Callers over the limit return one after the other, and one line reports them", t, func() {
		table := alone(10, 10)
		now := epoch.Add(10 * time.Second)
		first := take(table, now)
		for first.Kind == quota.KindPaid {
			first = take(table, now)
		}
		second, third := take(table, now), take(table, now)
		convey.So(first.Began, convey.ShouldBeTrue)
		convey.So(second.Began, convey.ShouldBeFalse)
		convey.So(second.Wait-first.Wait, convey.ShouldAlmostEqual, 100*time.Millisecond, time.Millisecond)
		convey.So(third.Wait-second.Wait, convey.ShouldAlmostEqual, 100*time.Millisecond, time.Millisecond)
		convey.So(table.Tick(now.Add(4*time.Second)), convey.ShouldBeEmpty)
		convey.So(table.Tick(now.Add(6*time.Second)), convey.ShouldResemble, []inventory.OrganisationID{organisation})
		convey.So(table.Tick(now.Add(7*time.Second)), convey.ShouldBeEmpty)
	})
}

// TestFallback guards against nodes that send nothing, or too much, while no issuer responds.
func TestFallback(t *testing.T) {
	r := roster.New(simPeers(61))
	convey.Convey("All nodes together stay within their part of excess and slack, from a window after their start", t, func() {
		for _, size := range sizes {
			sent := 0
			for n := range 61 {
				table := started(simID(n), epoch, r, limited(size.rate, size.burst))
				convey.So(table.Fallback(epoch.Add(4*time.Second), organisation).Kind, convey.ShouldEqual, quota.KindUnanswered)
				for at := 5 * time.Second; at < 10*time.Second; at += 10 * time.Millisecond {
					if table.Fallback(epoch.Add(at), organisation).Kind == quota.KindPaid {
						sent++
					}
				}
			}
			part := 0.015*(5*size.rate+size.burst) + 8
			convey.So(sent, convey.ShouldBeLessThanOrEqualTo, int(part))
			convey.So(sent, convey.ShouldBeGreaterThanOrEqualTo, int(part/2))
		}
	})
	convey.Convey("It is used when all issuers have failed", t, func() {
		table := started("n1", epoch, r, limited(800, 800))
		now := epoch.Add(5 * time.Second)
		for range table.Issuers(organisation) {
			d := table.Take(now, organisation)
			convey.So(d.Kind, convey.ShouldEqual, quota.KindAsk)
			table.RecordFailure(now, organisation, d.Issuer)
		}
		convey.So(table.Take(now, organisation).Fallback, convey.ShouldBeTrue)
		convey.So(table.Take(now, organisation).Kind, convey.ShouldEqual, quota.KindUnanswered)
	})
}

// TestIssuedInAnyWindow guards against more requests of an organisation in a window than its limit allows, if all tokens that
// were issued in the window and a Lifetime before are used in it. The limits are large, so that the slack hides nothing.
func TestIssuedInAnyWindow(t *testing.T) {
	cases := map[string]struct {
		rate, burst float64
		idle        time.Duration // before the organisation asks for far more than its limit
		pause       time.Duration // between such times, which last as long
	}{
		"a full bucket":              {rate: 2000, burst: 2000, idle: 20 * time.Second},
		"from the start":             {rate: 2000, burst: 2000},
		"a large burst":              {rate: 500, burst: 5000, idle: 20 * time.Second},
		"no burst":                   {rate: 5000, idle: 20 * time.Second},
		"a small limit":              {rate: 250, burst: 250, idle: 20 * time.Second},
		"in bursts":                  {rate: 2000, burst: 2000, idle: 20 * time.Second, pause: 1300 * time.Millisecond},
		"in bursts of half a window": {rate: 2000, burst: 2000, idle: 20 * time.Second, pause: 2500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The limit, less the fallback shares of all nodes, holds", t, func() {
				const step = 5 * time.Millisecond
				b := bounds
				window := b.Window + quota.Lifetime
				most := c.rate*b.Window.Seconds() + c.burst
				limit := most*(1+b.Excess) + b.Slack - (0.15*b.Excess*most + 0.4*b.Slack)
				highest := 0
				for offset := time.Duration(0); offset < 260*time.Millisecond; offset += 2 * step { // to the parts in which tokens are counted
					table := alone(c.rate, c.burst)
					var times []time.Time
					for passed := c.idle; passed < c.idle+15*time.Second; passed += step {
						now := epoch.Add(offset + passed)
						if c.pause > 0 && (passed/c.pause)%2 == 1 {
							continue
						}
						for range table.Issue(now, organisation, 1000).Count {
							times = append(times, now)
						}
						for len(times) > 0 && now.Sub(times[0]) >= window {
							times = times[1:]
						}
						highest = max(highest, len(times))
					}
				}
				convey.Printf("%d of %.0f\n", highest, limit)
				convey.So(highest, convey.ShouldBeLessThanOrEqualTo, int(limit))
				if c.pause == 0 && c.burst > 0 {
					convey.So(highest, convey.ShouldBeGreaterThan, int(most*0.9))
				}
			})
		})
	}
}
