package lookup

// Moving blocks of callers to other regions, in steps.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// maxStep is the most time that one step makes up for, so that a process that
// was paused does not move what it missed at once.
const maxStep = time.Second

// State is what is known of a region's room for a service.
type State struct {
	Entries bool // an entry VM lives there
	Slots   bool // endpoints there are in use
	Full    bool // none of them has room, and requests wait
	Spare   bool // there is room for more
}

// serves reports whether callers of other regions may be sent there.
func (s State) serves() bool { return s.Entries && s.Slots && !s.Full }

// lost reports whether a region cannot serve its callers at all.
func (s State) lost() bool { return !s.Entries || !s.Slots }

// line is what moves of a service from one region to another.
type line struct {
	service  inventory.ServiceID
	from, to inventory.RegionID
}

// Shifts holds which part of the blocks of a region is sent to each other
// region. The other regions divide the space of the blocks' hashes between
// them; the moved part grows from the start of each division, by the cap's step
// at most, and past its end only when the next region can not serve. All nodes
// that see the same states move the same blocks. A new table goes to its goal for
// a lost region at its first tick, since the other nodes are there already. It is
// safe for concurrent use, and its zero value is ready.
type Shifts struct {
	mu     sync.Mutex
	inv    *inventory.Inventory
	ticked time.Time
	moved  map[line]float64 // part of all blocks
}

// SetInventory puts an inventory in force.
func (s *Shifts) SetInventory(inv *inventory.Inventory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inv = inv
	if s.moved == nil {
		s.moved = map[line]float64{}
	}
}

// Tick lets the moved parts follow the states of the regions.
func (s *Shifts) Tick(now time.Time, service inventory.ServiceID, state map[inventory.RegionID]State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inv == nil {
		return
	}
	for _, r := range s.inv.Regions {
		others := s.others(r.ID)
		for i, to := range others {
			s.follow(now, line{service, r.ID, to}, goal(state, r.ID, others, i), state[r.ID].lost())
		}
	}
}

// Ticked tells that all services have been ticked.
func (s *Shifts) Ticked(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticked = now
}

// goal is the part of a region's blocks that is to move to the i-th other one.
func goal(state map[inventory.RegionID]State, from inventory.RegionID, others []inventory.RegionID, i int) float64 {
	home, to := state[from], state[others[i]]
	switch {
	case !to.serves() || !home.lost() && home.Spare:
		return 0
	case !home.lost() && !(home.Full && to.Spare):
		return -1 // stays as it is
	}
	divisions := 1
	for divisions < len(others) && !state[others[(i+divisions)%len(others)]].serves() {
		divisions++
	}
	return float64(divisions) / float64(len(others))
}

// follow takes a step to a goal. The first tick of a process goes all the way
// for a region that is lost, but not for one that is full at the moment.
func (s *Shifts) follow(now time.Time, l line, goal float64, lost bool) {
	moved := s.moved[l]
	if goal < 0 || moved == goal {
		return
	}
	step := s.step(l) * min(now.Sub(s.ticked), maxStep).Seconds()
	if s.ticked.IsZero() {
		step = 0
		if lost {
			step = 1
		}
	}
	if moved < goal {
		moved = min(goal, moved+step)
	} else {
		moved = max(goal, moved-step)
	}
	s.moved[l] = moved
}

// step is the part of the blocks that may move in a second.
func (s *Shifts) step(l line) float64 {
	c, ok := s.inv.CapOn(l.service, l.from, l.to)
	switch {
	case !ok:
		return 1
	case c.Rate == 0:
		return 0
	default:
		return c.Step
	}
}

func (s *Shifts) others(from inventory.RegionID) []inventory.RegionID {
	var others []inventory.RegionID
	for _, r := range s.inv.Regions {
		if r.ID != from {
			others = append(others, r.ID)
		}
	}
	return others
}

// Settled reports whether the states of the regions have been taken in.
func (s *Shifts) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ticked.IsZero()
}

// Region is where a block of callers is sent to: its own region, or another
// one.
func (s *Shifts) Region(service inventory.ServiceID, block inventory.BlockID, home inventory.RegionID) inventory.RegionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inv == nil || s.ticked.IsZero() {
		return home
	}
	others := s.others(home)
	at := float64(mix(xxhash.Sum64String(string(block)))>>11) / (1 << 53) * float64(len(others))
	for back := range others {
		// The division that the block lies in, then those before it.
		i := (int(at) - back + len(others)) % len(others)
		distance := at - float64(int(at)) + float64(back)
		if distance < s.moved[line{service, home, others[i]}]*float64(len(others)) {
			return others[i]
		}
	}
	return home
}
