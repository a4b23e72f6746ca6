package member

// What the platform's list of VMs proves.
//
// A list that was read at r shows the truth at some moment not before r less
// the lag. A VM that was listed, and that no reading names from the moment a on
// until a reading begun at r, with r - a longer than the lag, was therefore
// gone at some moment after a. If nothing was heard of it since a, the process
// that was known is dead; a newer one would take nothing over, because the
// others have not told it that they do not hold it.
//
// A VM that was never listed proves nothing: the list may be late in naming it.
// Neither does an empty list, nor a store that does not answer. What has to
// hold at the platform: a VM stays listed as long as it exists, whether or not
// it can be reached.

import (
	"sync"
	"time"
)

// DefaultLag is by how much the list of VMs may be late unless the settings
// say otherwise.
const DefaultLag = 30 * time.Second

// VM is a row of the platform's list.
type VM struct {
	Address string // IP number
	Leaving bool
}

// listed is what the readings say of one VM that was listed once.
type listed struct {
	leaving bool
	absent  time.Time // when the first reading began that did not name it; zero: it is named
}

// List keeps the readings of the list of VMs. It is safe for concurrent use.
type List struct {
	lag time.Duration

	mu   sync.Mutex
	vms  map[string]listed
	read time.Time // when the newest reading began
}

// NewList returns a list with no reading; a lag of 0 stands for DefaultLag.
func NewList(lag time.Duration) *List {
	if lag == 0 {
		lag = DefaultLag
	}
	return &List{lag: lag, vms: map[string]listed{}}
}

// Read takes in a reading that began at the given time.
func (l *List) Read(began time.Time, rows []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(rows) == 0 || !began.After(l.read) {
		return
	}
	l.read = began
	named := make(map[string]bool, len(rows))
	for _, r := range rows {
		named[r.Address] = true
		l.vms[r.Address] = listed{leaving: r.Leaving}
	}
	for address, v := range l.vms {
		if !named[address] && v.absent.IsZero() {
			v.absent = began
			l.vms[address] = v
		}
	}
}

// Leaving reports whether the VM at an address is listed as leaving, or was
// listed and is not any more.
func (l *List) Leaving(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.vms[address]
	return ok && (v.leaving || !v.absent.IsZero())
}

// Gone reports whether the VM at an address, last heard of at heard, is proved
// to be gone, and since when the evidence was gathered.
func (l *List) Gone(address string, heard time.Time) (since time.Time, gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.vms[address]
	if !ok || v.absent.IsZero() {
		return time.Time{}, false
	}
	since = v.absent
	if heard.After(since) {
		since = heard.Add(1)
	}
	return since, l.read.Sub(since) > l.lag
}
