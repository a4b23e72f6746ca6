package node

// What membership costs and how fast it is, by the number of nodes. More:
//
//	go test ./node -run TestMembershipByNumberOfNodes -v -members 9,30,60

import (
	"bytes"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

var scaleMembers = flag.String("members", "9", "numbers of nodes, with commas between")

const (
	scaleRegions   = 3
	scaleDomains   = 2 // of each region
	scaleEndpoints = 4 // for each node
	scaleWatch     = 20 * time.Second
	outOfLookups   = 3 * time.Second
)

// scaleInventory declares so many entry VMs, spread over three regions.
func scaleInventory(entries int) []byte {
	var b bytes.Buffer
	for i := range scaleRegions {
		fmt.Fprintf(&b, "[[region]]\nid = \"r%d\"\n", i)
	}
	domains := scaleRegions * scaleDomains
	for i := range domains {
		fmt.Fprintf(&b, "[[domain]]\nid = \"d%d\"\nregion = \"r%d\"\n", i, i%scaleRegions)
	}
	for i := range scaleRegions {
		fmt.Fprintf(&b, "[[link]]\nfrom = \"r%d\"\nto = \"r%d\"\ndelay = \"12ms\"\nmbit = 280\n", i, (i+1)%scaleRegions)
		fmt.Fprintf(&b, "[[block]]\nid = \"b%d\"\nregion = \"r%d\"\n", i, i)
	}
	for i := range 3 {
		fmt.Fprintf(&b, "[[service]]\nid = \"s%d\"\n", i)
	}
	for i := range entries * scaleEndpoints {
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"endpoint-%d\"\nservice = \"s%d\"\ndomain = \"d%d\"\naddress = \"127.21.%d.%d:80\"\nslots = 4\nconnections = 330\n", i, i%3, i%domains, i/200, 1+i%200)
	}
	for i := range entries {
		for _, port := range []string{fmt.Sprintf("[[entry]]\nid = \"entry-%d\"\ndomain = \"d%d\"", i, i%domains), "caller", "peer", "admin"} {
			if strings.HasPrefix(port, "[[") {
				fmt.Fprintln(&b, port)
				continue
			}
			fmt.Fprintf(&b, "%s = \"127.22.%d.%d:%d\"\n", port, i/200, 1+i%200, 7000+len(port))
		}
	}
	return b.Bytes()
}

func (r *rig) sum(counter string) int64 {
	sum := int64(0)
	for _, n := range r.nodes {
		sum += n.counters.snapshot()[counter]
	}
	return sum
}

// falseSuspicions counts, at each look, the live nodes that another one does
// not take for live.
func (r *rig) falseSuspicions(watch time.Duration) int {
	sum := 0
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		sum += r.strangers()
	}
	return sum
}

// untilUnnamed waits until no node names an entry VM in a look-up.
func (r *rig) untilUnnamed(id inventory.EntryID) time.Duration {
	began := time.Now()
	for time.Since(began) < time.Minute {
		named := false
		for ask := range r.nodes {
			named = named || r.names(ask, id)
		}
		if !named {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Minute
}

func TestMembershipByNumberOfNodes(t *testing.T) {
	for _, text := range strings.Split(*scaleMembers, ",") {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			text := scaleInventory(count)
			bubble(t, text, func(r *rig) {
				convey.Convey("Live nodes stay known, dead ones leave the look-ups in time", r.t, func() {
					sent, messages, spent := r.sum("member.bytes"), r.sum("member.messages"), processorTime(r.t)
					time.Sleep(scaleWatch)
					per := float64(count) * scaleWatch.Seconds()
					r.t.Logf("%d nodes: %.0f messages/s and %.0f B/s sent by each, %.2f ms/s of processor time for each",
						count, float64(r.sum("member.messages")-messages)/per, float64(r.sum("member.bytes")-sent)/per,
						1000*(processorTime(r.t)-spent).Seconds()/per)
					convey.So(r.falseSuspicions(scaleWatch), convey.ShouldEqual, 0)

					r.kill("entry-0")
					refused := r.untilUnnamed("entry-0")
					silent := r.nodes["entry-1"]
					r.reach("entry-1", true)
					delete(r.nodes, "entry-1")
					isolated := r.untilUnnamed("entry-1")
					r.reach("entry-1", false)
					r.nodes["entry-1"] = silent
					r.t.Logf("%d nodes: out of look-ups after %s when killed, after %s when silent", count, refused, isolated)
					convey.So(refused, convey.ShouldBeLessThanOrEqualTo, outOfLookups)
					convey.So(isolated, convey.ShouldBeLessThanOrEqualTo, outOfLookups)
				})
			})
		})
	}
}

func TestLossAndJitterCauseNoFalseSuspicion(t *testing.T) {
	for name, quality := range map[string]standin.Quality{
		"jitter":           {Delay: 35 * time.Millisecond, Jitter: 100 * time.Millisecond},
		"one in a hundred": {Delay: 35 * time.Millisecond, Loss: 0.01, Resend: 250 * time.Millisecond},
		"one in ten":       {Delay: 35 * time.Millisecond, Loss: 0.1, Resend: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			network := standin.NewNetwork(1, func(standin.Path) standin.Quality { return quality })
			bubbleOn(t, scaleInventory(9), network, func(r *rig) {
				convey.Convey("Every node is known to every other at each look", r.t, func() {
					convey.So(r.falseSuspicions(time.Minute), convey.ShouldEqual, 0)
				})
			})
		})
	}
}

func TestOneWayCutMakesNobodyTakeOver(t *testing.T) {
	bubble(t, scaleInventory(9), func(r *rig) {
		convey.Convey("The cut node is silent to the others; what it owns stays its own, and it comes back", r.t, func() {
			entry, _ := r.inv.Entry("entry-0")
			owned := r.nodes["entry-0"].endpoints.Holds()
			set := func(f func(standin.Path)) {
				for _, e := range r.inv.Entries {
					f(standin.Path{From: hostOf(entry.Peer), To: hostOf(e.Peer)})
				}
			}
			set(r.network.Cut)
			convey.So(r.untilUnnamedByOthers("entry-0"), convey.ShouldBeLessThanOrEqualTo, outOfLookups)
			time.Sleep(20 * time.Second)
			convey.So(r.holders(owned), convey.ShouldResemble, []inventory.EntryID{"entry-0"})
			set(r.network.Heal)
			time.Sleep(5 * time.Second)
			convey.So(r.strangers(), convey.ShouldEqual, 0)
			convey.So(r.holders(owned), convey.ShouldResemble, []inventory.EntryID{"entry-0"})
		})
	})
}

func (r *rig) untilUnnamedByOthers(id inventory.EntryID) time.Duration {
	n := r.nodes[id]
	delete(r.nodes, id)
	defer func() { r.nodes[id] = n }()
	return r.untilUnnamed(id)
}

// holders lists the nodes that hold any of the endpoints.
func (r *rig) holders(endpoints []inventory.EndpointID) []inventory.EntryID {
	var ids []inventory.EntryID
	for _, e := range r.inv.Entries {
		for _, h := range r.nodes[e.ID].endpoints.Holds() {
			if len(endpoints) > 0 && h == endpoints[0] {
				ids = append(ids, e.ID)
			}
		}
	}
	return ids
}

// BenchmarkHeartbeat is the work of the tables and the codec for one heartbeat
// received and one sent.
func BenchmarkHeartbeat(b *testing.B) {
	for _, holds := range []int{4, 16, 64} {
		b.Run(strconv.Itoa(holds), func(b *testing.B) {
			h := member.Heartbeat{Entry: "entry-1", Incarnation: 1, Version: 3}
			for i := range holds {
				h.Holds = append(h.Holds, inventory.EndpointID(fmt.Sprintf("endpoint-%d", i)))
			}
			for range 3 {
				h.Loads = append(h.Loads, member.Load{Service: "catalogue", Free: 3, Slots: 16})
			}
			n := New(Settings{ID: "entry-0"}, Options{})
			var sender member.Sender
			var receiver member.Receiver
			size := 0
			for b.Loop() {
				h.Sequence++
				data, err := sender.Encode(h)
				if err != nil {
					b.Fatal(err)
				}
				got, err := receiver.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				n.heard(got)
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

func TestOnlyTwoNodesOfAFailureDomainWatch(t *testing.T) {
	const entries = 18 // three in each failure domain
	bubble(t, scaleInventory(entries), func(r *rig) {
		convey.Convey("The others hear of a version by the heartbeats, also when a watcher is gone", r.t, func() {
			time.Sleep(30 * time.Second)
			convey.So(r.platform.Counts().Watches, convey.ShouldEqual, 2*scaleRegions*scaleDomains)
			before := r.platform.Counts().Reads
			time.Sleep(100 * time.Second)
			r.t.Logf("%d reads in 100 s by %d nodes", r.platform.Counts().Reads-before, entries)
			for _, silenced := range []inventory.EntryID{"", "entry-0", "entry-6"} {
				if silenced != "" {
					r.kill(silenced)
				}
				accepted := r.publish(scaleInventory(entries))
				time.Sleep(2 * time.Second)
				for _, n := range r.nodes {
					convey.So(n.config.Version(), convey.ShouldEqual, accepted.Version)
				}
			}
		})
	})
}

// TestHeartbeatsByTables has the tables of so many nodes exchange encoded
// heartbeats, with no network between them, for more nodes than run whole on
// one machine.
func TestHeartbeatsByTables(t *testing.T) {
	const rounds = 4
	for _, text := range strings.Split(*scaleMembers, ",") {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			convey.Convey("Each node comes to know all others", t, func() {
				nodes := tableNodes(t, count)
				senders, receivers := make([]member.Sender, count*count), make([]member.Receiver, count*count)
				bytes, spent := 0, time.Duration(0)
				for round := range rounds {
					before := processorTime(t)
					bytes = 0
					for i, from := range nodes {
						for j, to := range nodes {
							if i == j {
								continue
							}
							data, err := senders[i*count+j].Encode(from.heartbeat(to.settings.ID))
							if err != nil {
								t.Fatal(err)
							}
							h, err := receivers[i*count+j].Decode(data)
							if err != nil {
								t.Fatal(err)
							}
							to.heard(h)
							bytes += len(data)
						}
					}
					spent = processorTime(t) - before
					t.Logf("%d nodes, round %d: %.0f B and %.3f ms for one heartbeat of each to all", count, round+1,
						float64(bytes)/float64(count), 1000*spent.Seconds()/float64(count))
				}
				convey.So(unknownPairs(nodes), convey.ShouldEqual, 0)
			})
		})
	}
}

// unknownPairs counts the pairs of which one does not know the other's
// incarnation.
func unknownPairs(nodes []*Node) int {
	unknown := 0
	for _, n := range nodes {
		for _, other := range nodes {
			if n != other && n.members.Incarnation(other.settings.ID) != other.incarnation {
				unknown++
			}
		}
	}
	return unknown
}

// tableNodes returns nodes that run nothing, with an inventory in force.
func tableNodes(t *testing.T, count int) []*Node {
	inv, err := inventory.Parse("scale", scaleInventory(count))
	if err != nil {
		t.Fatal(err)
	}
	var nodes []*Node
	for _, e := range inv.Entries {
		n := New(Settings{ID: e.ID, Domain: e.Domain}, Options{})
		n.endpoints.SetInventory(time.Now(), inv)
		nodes = append(nodes, n)
	}
	return nodes
}
