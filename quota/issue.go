package quota

// The side of the issuer.

import (
	"math"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/roster"
)

// Reason states why no token was issued.
type Reason string

// The reasons.
const (
	ReasonRate      Reason = "rate"      // the tokens of the rate have been issued
	ReasonNotIssuer Reason = "notissuer" // the node that was asked is no issuer of the organisation
	ReasonNew       Reason = "new"       // a replaced issuer has not confirmed yet that it issues no more
)

// Reply answers a request for tokens.
type Reply struct {
	Count  int           // tokens issued
	Reason Reason        // why there are none
	Wait   time.Duration // until the issuer should be asked again; 0: it may be at once
	Spare  bool          // it has many left, so that tokens which end unused cost nobody anything
}

const (
	// maxWait bounds the wait that an issuer states: while senders wait they reject requests, also
	// if there are tokens again since the demand fell.
	maxWait = 2 * time.Second
	// returnSpacing is the shortest time between two returns of senders to one issuer: it bounds the
	// calls that an organisation far over its limit costs an issuer.
	returnSpacing = 15 * time.Millisecond
	golden        = 0.6180339887498949 // fractions of its multiples are spread evenly
	otherWait     = time.Second        // before an issuer that issues none is asked again
	maxCount      = 1024               // tokens of one reply
	// windowFactor is the multiple of the limit of a window that is issued in one and a Lifetime at most. The
	// counts are of up to a part more, so that about the limit is used.
	windowFactor = 1.05
	evenFactor   = 1.25 // of the rate at which a burst is used up in a window
	// What is due of the burst at once is maxEven tokens, or those of evenTime seconds.
	maxEven  = 2
	evenTime = 0.1
	// maxExtra is the number of tokens that an issuer holds beyond its share of the burst, at most: few
	// senders return just when there is a token.
	maxExtra = 2
)

// bucket holds the tokens that an issuer may issue.
type bucket struct {
	level   float64
	at      time.Time // when level was right
	made    time.Time // since when all issued tokens are known
	even    float64   // tokens of the burst that are issued evenly
	issued  usage
	returns time.Time // when the last of the senders that wait should ask again
	refused int       // counts the senders that wait for longer than maxWait, to spread them
}

// share returns the rate of one issuer.
func (t *Table) share(o *organisation) float64 {
	w := t.bounds.Window.Seconds()
	pace := min(maxPace, w*(1+paceExcess*t.bounds.Excess)/(w+Lifetime.Seconds()))
	return pace * o.rate / float64(max(1, len(t.issuers(o))))
}

// depth returns the most tokens that an issuer holds.
func (t *Table) depth(o *organisation) float64 {
	issuers := float64(max(1, len(t.issuers(o))))
	return max(1, o.burst/issuers+min(maxExtra, extraSlack*t.bounds.Slack/issuers))
}

// refill adds the tokens for the time that has passed.
func (t *Table) refill(now time.Time, o *organisation) {
	if since := now.Sub(o.at); since > 0 {
		o.level = min(t.depth(o), o.level+t.share(o)*since.Seconds())
		even := t.evenPace(now, o)
		o.even = min(max(maxEven, even*evenTime), o.even+even*since.Seconds())
		if o.level >= max(maxEven, t.depth(o)/4) { // the organisation does not exceed its rate
			o.even = 0
		}
		o.at = now
	}
}

// evenPace returns the rate at which the burst is issued evenly, in addition to the tokens of the
// bucket. The limit of a window includes the burst, which an organisation that constantly exceeds its
// limit would get once only. An issuer that does not know what was issued in the last window does
// not do it.
func (t *Table) evenPace(now time.Time, o *organisation) float64 {
	if now.Sub(o.made) < t.bounds.Window {
		return 0
	}
	return evenFactor * o.burst / t.bounds.Window.Seconds() / float64(max(1, len(t.issuers(o))))
}

// left returns the number of tokens that an issuer may still issue in the current window. One that counts
// what a former process may have issued at most, which it hardly did, has more of the excess.
func (t *Table) left(now time.Time, o *organisation) float64 {
	factor := windowFactor
	if now.Sub(o.made) < t.counted() {
		factor = max(factor, 1+paceExcess*t.bounds.Excess)
	}
	return t.most(o, factor) - o.issued.sum(now, t.counted())
}

// counted returns the time in which issued tokens are counted: those that are used in a window were issued
// in that window or a Lifetime before.
func (t *Table) counted() time.Duration { return t.bounds.Window + Lifetime }

// most returns the number of tokens that an issuer may issue in a window, for a multiple of the limit.
func (t *Table) most(o *organisation, factor float64) float64 {
	all := factor*(o.rate*t.bounds.Window.Seconds()+o.burst) + extraSlack*t.bounds.Slack
	return all / float64(max(1, len(t.issuers(o))))
}

// inherited returns the most that a former process of this node may have issued of its share, in each part
// of the window until now: the burst at the end, and before that the rate and what is due of a burst that is
// issued evenly. All issuers may start at once.
func (t *Table) inherited(now time.Time, o *organisation) (issued usage) {
	issuers := float64(max(1, len(t.issuers(o))))
	part := t.counted() / usageParts
	pace := (t.share(o) + evenFactor*o.burst/issuers/t.bounds.Window.Seconds()) * part.Seconds()
	left := t.most(o, windowFactor)
	var counts [usageParts]float64 // of the parts before now
	for i := range counts {
		count := pace
		if i == 0 {
			count += t.depth(o)
		}
		counts[i] = min(count, left)
		left -= counts[i]
	}
	for i := len(counts) - 1; i >= 0; i-- {
		issued.add(now.Add(-time.Duration(i)*part), t.counted(), counts[i])
	}
	return issued
}

// Issue issues up to count tokens for requests of an organisation.
func (t *Table) Issue(now time.Time, id inventory.OrganisationID, count int) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.organisations[id]
	if o == nil || !roster.Includes(t.issuers(o), t.self) {
		return Reply{Reason: ReasonNotIssuer, Wait: otherWait}
	}
	t.settle(now)
	if t.claims[id] != nil {
		return Reply{Reason: ReasonNew, Wait: otherWait}
	}
	t.refill(now, o)
	count = min(max(count, 1), maxCount)
	left := t.left(now, o)
	issued := min(count, int(max(0, min(o.level+o.even, left))))
	o.spend(now, t.counted(), float64(issued))
	reply := Reply{Count: issued, Spare: o.level > t.depth(o)/2}
	if issued < count {
		reply.Wait = o.nextReturn(now, t.share(o)+t.evenPace(now, o))
		if left < 1 {
			reply.Wait = max(reply.Wait, t.counted()/usageParts)
		}
	}
	if issued == 0 {
		reply.Reason = ReasonRate
	}
	return reply
}

// spend takes issued tokens out of the bucket.
func (b *bucket) spend(now time.Time, window time.Duration, count float64) {
	b.issued.add(now, window, count)
	b.even -= max(0, count-b.level)
	b.level = max(0, b.level-count)
}

// usageParts is the number of parts of a window in which tokens are counted.
const usageParts = 40

// usage counts the tokens of a sliding window, which ends up to a part later.
type usage struct {
	parts [usageParts + 1]float64
	last  int64 // number of the current part
}

func (u *usage) add(now time.Time, window time.Duration, count float64) {
	u.advance(now, window)
	u.parts[u.last%int64(len(u.parts))] += count
}

func (u *usage) sum(now time.Time, window time.Duration) (sum float64) {
	u.advance(now, window)
	for _, p := range u.parts {
		sum += p
	}
	return sum
}

// advance clears the parts that have left the window.
func (u *usage) advance(now time.Time, window time.Duration) {
	next := max(u.last, now.UnixNano()/max(1, int64(window)/usageParts))
	for range min(next-u.last, int64(len(u.parts))) {
		u.last++
		u.parts[u.last%int64(len(u.parts))] = 0
	}
	u.last = next
}

// nextReturn returns when a sender should ask again: senders are given tokens one after the other,
// so that they don't all return for the next one.
func (b *bucket) nextReturn(now time.Time, rate float64) time.Duration {
	due := now.Add(toDuration((1 - min(b.level, 1)) / rate))
	if b.returns.Before(due) {
		b.returns = due
	}
	wait := b.returns.Sub(now)
	if wait > maxWait {
		b.refused++
		_, fraction := math.Modf(float64(b.refused) * golden)
		return time.Duration((1 + fraction) / 2 * float64(maxWait))
	}
	b.returns = b.returns.Add(max(returnSpacing, toDuration(1/rate)))
	return wait
}

// maxSeconds bounds durations that are computed from rates.
const maxSeconds = 3600

func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}
