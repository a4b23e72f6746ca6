package endpoint

// Move states why a request goes to another endpoint than the one that ranks first for its object.
// It is "" if it goes there. The reasons of an exclusion are moves, too.
type Move string

// The moves.
const (
	MoveLocal    Move = "local"    // the primary endpoint of the caller's failure domain is preferred
	MoveWarmup   Move = "warmup"   // the first endpoint is warming up
	MoveCost     Move = "cost"     // another candidate is expected to respond sooner, or to cost less
	MoveHeld     Move = "held"     // the region that ranks first is another one, to which the bound on shifts lets no more requests move yet
	MoveIsolated Move = "isolated" // the request may crash the endpoint
)

// exclude records an endpoint that is excluded for a time. One that has left, or is outside the home
// regions, is not counted: its objects have another first endpoint.
func (r *ranking) exclude(c candidate, reason Reason) {
	if reason != ReasonNone && c.score > r.excluded.score {
		r.excluded, r.reason = c, reason
	}
}

// move returns why the candidate at a rank is not the endpoint that ranks first. best are the
// candidates, of which ranking.best is the order by score.
func (r *ranking) move(best []candidate, rank, primaryRank int) Move {
	switch {
	case rank != max(0, primaryRank):
		return MoveCost
	case best[0].state != r.best[0].state:
		return MoveLocal
	case r.excluded.score > r.best[0].score:
		return Move(r.reason)
	case rank > 0:
		return MoveWarmup
	}
	return ""
}
