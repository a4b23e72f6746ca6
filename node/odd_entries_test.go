package node

import (
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// oddEntry returns an entry of an endpoint that is sound but for one text.
func oddEntry(from, to string) string {
	sound := `{"Metadata":{"Name":"{name}","Revision":{revision}},"Spec":{"Address":"10.0.2.1:80","born":1700000000000,` +
		`"Info":{"Service":"s","ConfigVersion":"1","Zone":"a","Slots":3},"Status":{"State":"ready","Seq":1,"ColdLeftS":0}}}`
	return strings.Replace(sound, from, to, 1)
}

// TestOddEntriesHideNoOthers guards against nodes that end, or stop following the store, since
// another writer left an entry there that can't be read.
func TestOddEntriesHideNoOthers(t *testing.T) {
	deep := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	cases := map[string]string{
		"nested deeply":             oddEntry(`"Slots":3`, `"Slots":3,"more":`+deep(20000)),
		"nested deeply beside":      oddEntry(`"Spec":`, `"more":`+deep(20000)+`,"Spec":`),
		"slots too large":           oddEntry(`"Slots":3`, `"Slots":99999999999999999999`),
		"slots beyond reason":       oddEntry(`"Slots":3`, `"Slots":9000000000000000000`),
		"slots negative":            oddEntry(`"Slots":3`, `"Slots":-3`),
		"slots a fraction":          oddEntry(`"Slots":3`, `"Slots":0.5`),
		"cold for too long":         oddEntry(`"ColdLeftS":0`, `"ColdLeftS":1e300`),
		"cold beyond all numbers":   oddEntry(`"ColdLeftS":0`, `"ColdLeftS":1e999`),
		"born too late":             oddEntry(`1700000000000`, `99999999999999999999`),
		"beat too large":            oddEntry(`"Seq":1`, `"Seq":1e99`),
		"port of zero":              oddEntry(`10.0.2.1:80`, `10.0.2.1:0`),
		"port too large":            oddEntry(`10.0.2.1:80`, `10.0.2.1:65536`),
		"port far too large":        oddEntry(`10.0.2.1:80`, `10.0.2.1:99999999999999999999`),
		"port negative":             oddEntry(`10.0.2.1:80`, `10.0.2.1:-80`),
		"address of no host":        oddEntry(`10.0.2.1:80`, `0.0.0.0:80`),
		"state is a number":         oddEntry(`"ready"`, `7`),
		"service is missing":        oddEntry(`"Service":"s",`, ``),
		"revision too large":        oddEntry(`"Revision":{revision}`, `"Revision":99999999999999999999`),
		"revision negative":         oddEntry(`"Revision":{revision}`, `"Revision":-1`),
		"revision is text":          oddEntry(`"Revision":{revision}`, `"Revision":"new"`),
		"name is a number":          oddEntry(`"Name":"{name}"`, `"Name":7`),
		"metadata nested deeply":    oddEntry(`"Name":"{name}"`, `"Name":`+deep(20000)),
		"no object":                 `"an entry"`,
		"null":                      `null`,
		"text that is not in UTF-8": oddEntry(`"ready"`, "\"\xff\xfe\""),
		"spec is missing":           `{"Metadata":{"Name":"{name}","Revision":{revision}}}`,
	}
	kinds := []platform.Collection{platform.Endpoints, platform.Entries, platform.Drains}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("In a list and in a watch", t, func() {
					w := h.watch(h.serviceTargets("s")[0])
					for _, kind := range kinds {
						h.platform.Corrupt(string(kind), "odd-"+string(kind), text)
					}
					time.Sleep(3 * time.Second)
					h.kill("n1")
					time.Sleep(time.Second)
					h.start("n1") // it lists them
					time.Sleep(6 * time.Second)
					at := w.load(h, 20, 2*time.Second, "/get/x", "n1", "n2")
					convey.So(served(at), convey.ShouldEqual, len(at))
					added := inventory.Endpoint{ID: "s-new", Service: "s", Domain: "a", Address: "10.0.2.77:80", Slots: 3}
					h.startTarget(added)
					time.Sleep(3 * time.Second)
					counted := int64(0)
					for _, id := range []inventory.EntryID{"n1", "n2", "n4"} {
						status := h.nodes[id].Status()
						convey.So(status.StoreOutage, convey.ShouldEqual, 0)
						convey.So(len(status.Endpoints), convey.ShouldEqual, len(h.inv.Endpoints)+1)
						convey.So(len(status.Entries), convey.ShouldEqual, len(h.inv.Entries))
						counted += h.counter(id, "endpoint.malformed") + h.counter(id, "store.malformed")
					}
					convey.So(counted, convey.ShouldBeGreaterThan, 0)
				})
			})
		})
	}
}

// TestOddEntryEndsItsOwnEndpoint guards against an endpoint that stays in use by an older entry.
func TestOddEntryEndsItsOwnEndpoint(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("It gets no requests until its entry is sound again", t, func() {
			target := h.serviceTargets("s")[0]
			id := target.endpoint.ID
			target.endpoint.StopHeartbeats()
			h.platform.Corrupt("servers", string(id), oddEntry(`"Slots":3`, `"Slots":3,"more":`+strings.Repeat("[", 20000)+strings.Repeat("]", 20000)))
			time.Sleep(3 * time.Second)
			w := h.watch(target)
			w.load(h, 20, 3*time.Second, "/get/x", "n1", "n2")
			convey.So(w.arrivals, convey.ShouldBeEmpty)
			for _, e := range h.inv.Endpoints {
				if e.ID == id {
					h.crash(id)
					h.startTarget(e)
				}
			}
			time.Sleep(8 * time.Second)
			w = h.watch(h.targets[id])
			w.load(h, 20, 5*time.Second, "/get/x", "n1", "n2")
			convey.So(len(w.arrivals), convey.ShouldBeGreaterThan, 0)
		})
	})
}
