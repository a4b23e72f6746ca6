package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/permit"
)

// peers returns nodes in a number of regions with the given numbers of domains and nodes each.
func peers(regions, domains, nodes int) []permit.Peer {
	var all []permit.Peer
	for r := range regions {
		for d := range domains {
			for n := range nodes {
				all = append(all, permit.Peer{
					ID:     inventory.EntryID(fmt.Sprintf("n%d-%d-%d", r, d, n)),
					Domain: inventory.DomainID(fmt.Sprintf("d%d-%d", r, d)),
					Region: inventory.RegionID(fmt.Sprintf("r%d", r)),
				})
			}
		}
	}
	return all
}

func TestIssuers(t *testing.T) {
	cases := map[string]struct {
		peers                   []permit.Peer
		issuers, domains, areas int
	}{
		"three regions":  {peers(3, 3, 8), 3, 3, 3},
		"two regions":    {peers(2, 2, 2), 3, 3, 2},
		"one domain":     {peers(1, 1, 5), 3, 1, 1},
		"two nodes":      {peers(1, 1, 2), 2, 1, 1},
		"one node":       {peers(1, 1, 1), 1, 1, 1},
		"no known nodes": {nil, 0, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("They are in as many regions and failure domains as possible", t, func() {
				table := permit.New("n")
				table.SetPeers(epoch, c.peers)
				byID := map[inventory.EntryID]permit.Peer{}
				for _, p := range c.peers {
					byID[p.ID] = p
				}
				for e := range permit.Endpoint(20) {
					domains, areas := map[inventory.DomainID]bool{}, map[inventory.RegionID]bool{}
					issuers := table.Issuers(e)
					for _, id := range issuers {
						domains[byID[id].Domain], areas[byID[id].Region] = true, true
					}
					convey.So(len(issuers), convey.ShouldEqual, c.issuers)
					convey.So(len(domains), convey.ShouldEqual, c.domains)
					convey.So(len(areas), convey.ShouldEqual, c.areas)
				}
			})
		})
	}
}

// settled returns the table of an issuer of an endpoint that has been one for long, and the
// nodes.
func settled(e permit.Endpoint) (*permit.Table, []permit.Peer) {
	all := peers(3, 1, 3)
	chooser := permit.New("")
	chooser.SetPeers(epoch, all)
	t := permit.New(chooser.Issuers(e)[0])
	t.SetPeers(epoch.Add(-time.Minute), all)
	return t, all
}

// issued returns the permits issued from a time on, with a request every 10 ms.
func issued(t *permit.Table, e permit.Endpoint, from time.Time, d time.Duration, rate inventory.Rate) int {
	n := 0
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		if t.Issue(from.Add(at), e, rate).Granted() {
			n++
		}
	}
	return n
}

func TestRates(t *testing.T) {
	const e = permit.Endpoint(7)
	cases := map[string]struct {
		before, after inventory.Rate
		want          int // permits in ten seconds after the rate has changed
	}{
		"unchanged":        {2, 2, 9},
		"raised":           {0.5, 10, 45},
		"raised from zero": {0, 10, 45},
		"lowered":          {10, 1, 5},
		"zero":             {1, 0, 2},
		"tiny":             {1, 1e-9, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("One of two issuers issues at its share of the rate in force", t, func() {
				table, _ := settled(e)
				issued(table, e, epoch, 10*time.Second, c.before)
				got := issued(table, e, epoch.Add(10*time.Second), 10*time.Second, c.after)
				convey.So(got, convey.ShouldBeBetweenOrEqual, c.want-1, c.want+1)
			})
		})
	}
}

func TestNewIssuersIssueNothing(t *testing.T) {
	const e, rate = permit.Endpoint(7), inventory.Rate(100)
	cases := map[string]func(t *permit.Table, all []permit.Peer){
		"started": nil,
		"returned to list": func(t *permit.Table, all []permit.Peer) {
			t.SetPeers(epoch.Add(-time.Second), nil)
			t.SetPeers(epoch, all)
		},
		"paused": func(t *permit.Table, _ []permit.Peer) { t.Paused(epoch) },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Until it has been an issuer for a whole window", t, func() {
				table, all := settled(e)
				self := table.Issuers(e)[0]
				convey.So(table.Issue(epoch.Add(-time.Minute+permit.Window), e, rate).Granted(), convey.ShouldBeTrue)
				if disturb == nil {
					table = permit.New(self)
					table.SetPeers(epoch, all)
				} else {
					disturb(table, all)
				}
				convey.So(issued(table, e, epoch, permit.Window, rate), convey.ShouldEqual, 0)
				reply := table.Issue(epoch.Add(time.Second), e, rate)
				convey.So(reply.Reason, convey.ShouldEqual, permit.ReasonNew)
				convey.So(reply.Wait, convey.ShouldEqual, permit.Window-time.Second)
				convey.So(table.Issue(epoch.Add(permit.Window), e, rate).Granted(), convey.ShouldBeTrue)
			})
		})
	}
	convey.Convey("A node that is no issuer says so", t, func() {
		table, all := settled(e)
		other := permit.New("n9")
		other.SetPeers(epoch.Add(-time.Minute), all)
		convey.So(table.Issue(epoch, e, rate).Granted(), convey.ShouldBeTrue)
		convey.So(other.Issue(epoch, e, rate).Reason, convey.ShouldEqual, permit.ReasonNotIssuer)
	})
	convey.Convey("A change of other nodes does not matter", t, func() {
		table, all := settled(e)
		table.SetPeers(epoch, append(all, permit.Peer{ID: "z", Domain: "d9", Region: "r0"}))
		if table.Issuers(e)[0] != "z" && table.Issuers(e)[1] != "z" {
			convey.So(table.Issue(epoch, e, rate).Reason, convey.ShouldNotEqual, permit.ReasonNew)
		}
	})
}

func TestSenderAsksIssuersThatMayHavePermits(t *testing.T) {
	const e = permit.Endpoint(7)
	denied := permit.Reply{Reason: permit.ReasonRate, Wait: 2 * time.Second}
	convey.Convey("The nearest first, the others in turn, the substitute for one that fails", t, func() {
		all := peers(3, 1, 3)
		table := permit.New("n0-0-0")
		table.SetPeers(epoch, all)
		issuers := table.Issuers(e)
		first, ok := table.Issuer(epoch, e)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(first, convey.ShouldBeIn, issuers[:2])
		table.RecordReply(epoch, e, first, denied)
		second, _ := table.Issuer(epoch, e)
		convey.So(second, convey.ShouldBeIn, issuers[:2])
		convey.So(second, convey.ShouldNotEqual, first)
		convey.So(table.NextPermit(epoch, e).IsZero(), convey.ShouldBeTrue)
		table.RecordReply(epoch.Add(time.Second), e, second, denied)
		_, ok = table.Issuer(epoch.Add(time.Second), e)
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(table.NextPermit(epoch.Add(time.Second), e), convey.ShouldEqual, epoch.Add(2*time.Second))
		table.RecordFailure(epoch.Add(time.Second), first)
		third, _ := table.Issuer(epoch.Add(time.Second), e)
		convey.So(third, convey.ShouldEqual, issuers[2])
		table.RecordFailure(epoch.Add(time.Second), second)
		table.RecordFailure(epoch.Add(time.Second), third)
		_, ok = table.Issuer(epoch.Add(time.Second), e)
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(table.NextPermit(epoch.Add(time.Second), e).After(epoch.Add(time.Second)), convey.ShouldBeTrue)
		again, _ := table.Issuer(epoch.Add(5*time.Second), e)
		convey.So(again, convey.ShouldEqual, first)
	})
	convey.Convey("None without nodes", t, func() {
		_, ok := permit.New("n").Issuer(epoch, e)
		convey.So(ok, convey.ShouldBeFalse)
	})
}
