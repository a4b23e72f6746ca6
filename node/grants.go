package node

// The lease in the platform's store, and the grants that its holder hands out.

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lease"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/region"
)

// pathGrant is the path of questions for grants on the peer server.
const pathGrant = "/grant"

// Timing of grants.
const (
	askInterval  = 500 * time.Millisecond
	grantTimeout = time.Second
)

// leaseCandidates bounds the nodes that look at the lease.
const leaseCandidates = 3

// grants is a node's part in handing out and asking for grants.
type grants struct {
	lease   *lease.Table
	granter *lease.Granter

	mu     *sync.Mutex
	holder inventory.EntryID // as last heard of
}

func newGrants(self inventory.EntryID) grants {
	return grants{lease: lease.New(self, newRandom()), granter: lease.NewGranter(), mu: &sync.Mutex{}}
}

// followLease takes, renews and gives back the lease, until ctx ends.
func (n *Node) followLease(ctx context.Context) {
	released := false
	for ctx.Err() == nil {
		switch {
		case !n.leaving():
			candidate := slices.Contains(n.leaseCandidates(), n.settings.ID)
			n.leaseStep(ctx, n.grants.lease.Next(time.Now(), candidate), candidate)
		case !released:
			released = true
			n.leaseStep(ctx, n.grants.lease.Release(time.Now()), true)
		}
		sleep(ctx, askInterval)
	}
}

// leaseStep carries out what the lease's table asks for. Nodes that are no
// candidates spare the store.
func (n *Node) leaseStep(ctx context.Context, a lease.Action, candidate bool) {
	switch {
	case a.Do == lease.Read && candidate:
		n.readLease(ctx)
	case a.Do == lease.Write:
		n.writeLease(ctx, a)
	}
}

func (n *Node) readLease(ctx context.Context) {
	obj, err := n.store.Get(ctx, lease.ObjectName)
	if errors.Is(err, platform.ErrMissing) {
		n.grants.lease.Absent(time.Now())
		return
	}
	if err != nil {
		n.counters.add("lease.unread")
		return
	}
	record, err := lease.ParseRecord(obj.Value)
	if err != nil {
		klog.ErrorS(err, "lease not understood")
		return
	}
	n.grants.lease.Observed(time.Now(), lease.Version(obj.Version), record)
	n.regions.HeardEpoch(region.Epoch(record.Epoch))
}

func (n *Node) writeLease(ctx context.Context, a lease.Action) {
	data, err := a.Record.Encode()
	if err != nil {
		klog.ErrorS(err, "lease not encoded")
		return
	}
	version, err := n.store.Put(ctx, lease.ObjectName, data, platform.Version(a.Match))
	if err != nil {
		n.counters.add("lease.unwritten")
		n.grants.lease.Failed()
		return
	}
	n.grants.lease.Written(time.Now(), lease.Version(version))
}

// leaseCandidates are the nodes that may take the lease, by rendezvous hashing
// over those that live.
func (n *Node) leaseCandidates() []inventory.EntryID {
	ids := []inventory.EntryID{n.settings.ID}
	for _, m := range n.members.Live(time.Now()) {
		if !m.Leaving {
			ids = append(ids, m.Entry)
		}
	}
	slices.SortFunc(ids, func(a, b inventory.EntryID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), leaseCandidates)]
}

// followGrants asks the holder for what this node would use beyond its floors,
// until ctx ends.
func (n *Node) followGrants(ctx context.Context) {
	for ctx.Err() == nil {
		if wants := n.regions.Wants(time.Now()); len(wants) > 0 {
			n.askGrants(ctx, wants)
		}
		sleep(ctx, askInterval)
	}
}

func (n *Node) askGrants(ctx context.Context, wants []region.Grant) {
	ask := lease.Ask{Entry: n.settings.ID, Incarnation: n.incarnation, Epoch: lease.Epoch(n.regions.Epoch())}
	for _, w := range wants {
		ask.Wants = append(ask.Wants, lease.Grant(w))
	}
	asked := time.Now()
	a, err := n.sendAsk(ctx, n.holder(), ask)
	if err != nil {
		n.counters.add("grant.unanswered")
		n.setHolder("")
		return
	}
	n.setHolder(a.Holder)
	n.takeGrants(asked, a)
}

// takeGrants puts grants in force that a holder gave.
func (n *Node) takeGrants(asked time.Time, a lease.Answer) {
	if len(a.Grants) == 0 {
		return
	}
	got := make([]region.Grant, 0, len(a.Grants))
	for _, g := range a.Grants {
		got = append(got, region.Grant(g))
	}
	if err := n.regions.Grant(asked, a.TTL, region.Epoch(a.Epoch), got); err != nil {
		n.counters.add("grant.refused")
		return
	}
	n.counters.add("grant.taken")
}

// holder is the node to ask: the one last heard of, else a random candidate.
func (n *Node) holder() inventory.EntryID {
	n.grants.mu.Lock()
	id := n.grants.holder
	n.grants.mu.Unlock()
	if id != "" {
		return id
	}
	candidates := n.leaseCandidates()
	return candidates[int(time.Now().UnixNano()/int64(askInterval))%len(candidates)]
}

func (n *Node) setHolder(id inventory.EntryID) {
	n.grants.mu.Lock()
	defer n.grants.mu.Unlock()
	n.grants.holder = id
}

func (n *Node) sendAsk(ctx context.Context, to inventory.EntryID, ask lease.Ask) (lease.Answer, error) {
	if to == n.settings.ID {
		return n.answerAsk(ask), nil
	}
	e, ok := n.config.Inventory().Entry(to)
	if !ok {
		return lease.Answer{}, &Error{Op: "ask", Kind: KindPeer, Err: errors.Newf("no entry VM %q", to)}
	}
	data, err := ask.Encode()
	if err != nil {
		return lease.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Peer+pathGrant, bytes.NewReader(data))
	if err != nil {
		return lease.Answer{}, &Error{Op: "ask", Kind: KindPeer, Err: err}
	}
	resp, err := n.peers.Do(req)
	if err != nil {
		return lease.Answer{}, &Error{Op: "ask", Kind: KindNetwork, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, lease.MaxMessage+1))
	if err != nil || resp.StatusCode != http.StatusOK {
		return lease.Answer{}, &Error{Op: "ask", Kind: KindPeer, Err: errors.Newf("%s: %v", resp.Status, err)}
	}
	return lease.DecodeAnswer(body)
}

// serveGrant answers another node that asks for grants.
func (n *Node) serveGrant(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lease.MaxMessage))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	ask, err := lease.DecodeAsk(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	data, err := n.answerAsk(ask).Encode()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

// answerAsk grants what it can if this node holds the lease. The time is read
// after the question was received, so that a grant ends with the term at which
// it was asked for, however late the answer arrives.
func (n *Node) answerAsk(ask lease.Ask) lease.Answer {
	n.grants.lease.HeardEpoch(ask.Epoch)
	now := time.Now()
	epoch, may := n.grants.lease.MayGrant(now)
	if !may {
		return lease.Answer{Epoch: epoch, Holder: n.knownHolder(now)}
	}
	got := n.grants.granter.Grant(now, epoch, lease.Asker{Entry: ask.Entry, Incarnation: ask.Incarnation}, ask.Wants)
	return lease.Answer{Epoch: epoch, Holder: n.settings.ID, TTL: lease.GrantTime, Grants: got}
}

// knownHolder is the holder by the latest record, "" when its term is over.
func (n *Node) knownHolder(now time.Time) inventory.EntryID {
	r := n.grants.lease.Seen()
	if r.Released || (r.Holder == n.settings.ID && !n.grants.lease.Holds(now)) {
		return ""
	}
	return r.Holder
}
