package node

// What callers see: look-ups and requests for services.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/booking"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
)

// pathLookup is the path of look-ups.
const pathLookup = "/lookup"

// callerHandler serves callers.
func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathLookup, n.serveLookup)
	mux.HandleFunc(servePrefix, n.serveRequest)
	return mux
}

// serveLookup tells a caller which entry VMs to use.
func (n *Node) serveLookup(w http.ResponseWriter, r *http.Request) {
	inv := n.config.Inventory()
	if inv == nil {
		notRun(ReasonStarting, time.Second).write(w)
		return
	}
	query := r.URL.Query()
	service := inventory.ServiceID(query.Get("service"))
	if _, ok := inv.Service(service); !ok {
		writeError(w, r, badRequest(http.StatusNotFound, errors.Newf("no service %q", service)))
		return
	}
	q := lookup.Question{Block: inventory.BlockID(query.Get("block")), Region: inventory.RegionID(query.Get("region"))}
	if known := inv.BlockRegion(q.Block); known != "" {
		q.Region = known
	}
	if q.Region == "" {
		q.Region = inv.RegionOf(n.settings.Domain)
	}
	if !n.steerBlock(service, &q, r.RemoteAddr) {
		n.counters.refusal(ReasonShift)
		notRun(ReasonShift, lookup.TTL).write(w)
		return
	}
	n.counters.add("lookup")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(lookup.TTL/time.Second)))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.lookup(inv, q))
}

func (n *Node) lookup(inv *inventory.Inventory, q lookup.Question) lookup.Answer {
	now := time.Now()
	tokens := map[inventory.EntryID]booking.Token{}
	if !n.leaving() && !n.unlisted() {
		tokens[n.settings.ID] = n.bookings.Token(now)
	}
	for _, m := range n.members.Live(now) {
		if !m.Leaving {
			tokens[m.Entry] = booking.Token{Entry: m.Entry, Incarnation: m.Incarnation, Period: booking.Period(m.Period)}
		}
	}
	alive := func(id inventory.EntryID) bool { _, ok := tokens[id]; return ok }
	answer := lookup.Answer{TTL: lookup.TTL.Seconds()}
	for _, e := range n.entryIndex(inv).Order(q, alive) {
		answer.Entries = append(answer.Entries, lookup.Entry{ID: e.ID, Address: e.Caller, Token: tokens[e.ID].String()})
	}
	return answer
}

// serveRequest serves a request for a service.
func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	n.work.Add(1)
	defer n.work.Add(-1)
	if n.config.Inventory() == nil {
		n.refuseStarting(w, r)
		return
	}
	q, err := n.readRequest(w, r)
	if err != nil {
		n.counters.refusal(ReasonRequest)
		writeError(w, r, err)
		return
	}
	a := n.serve(r, q)
	n.counters.outcome(a.outcome)
	w.Header().Set(HeaderToken, n.bookings.Token(time.Now()).String())
	a.write(w)
}

// refuseStarting answers while there is no configuration. What became of a key
// only its owner can say.
func (n *Node) refuseStarting(w http.ResponseWriter, r *http.Request) {
	n.counters.refusal(ReasonStarting)
	if carriesKey(r) {
		unknown(ReasonStarting).write(w)
		return
	}
	notRun(ReasonStarting, time.Second).write(w)
}

// serve chooses the way of serving. An operation that may run at most once and
// has no key is this one receipt; it runs to its end even if the caller leaves.
func (n *Node) serve(r *http.Request, q *request) answer {
	if q.key != nil {
		return n.serveOnce(r.Context(), q)
	}
	return n.steer(q.lifetime(r.Context()), q)
}
