package quarantine

// Quarantines, as nodes tell them each other: with the entries in the store, which all nodes
// follow and which those that start read, and with heartbeats, should the store be unavailable.

import (
	"cmp"
	"slices"
	"time"
)

// maxTold bounds the records of a message.
const maxTold = 32

// issue records a quarantine of this node, or its end. The caller holds the lock.
func (t *Table) issue(now time.Time, r Record) {
	if !t.learn(now, r) {
		return
	}
	t.issued = slices.DeleteFunc(t.issued, func(other Record) bool {
		return other.Fingerprint == r.Fingerprint || other.isOver(now)
	})
	if len(t.issued) == maxIssued {
		t.issued = slices.Delete(t.issued, 0, 1)
	}
	t.issued = append(t.issued, r)
	t.version++
}

// learn records a quarantine and reports whether it is new to this node. The caller holds the
// lock.
func (t *Table) learn(now time.Time, r Record) bool {
	known, exists := t.records[r.Fingerprint]
	if exists && known.Issued >= r.Issued || r.isOver(now) || time.UnixMilli(r.Issued).After(now.Add(longestTime)) {
		return false
	}
	if exists {
		t.dropRecord(r.Fingerprint)
	}
	for len(t.records) >= maxRecords {
		t.dropOldestRecord()
	}
	t.records[r.Fingerprint] = r
	t.targets[r.Target]++
	t.dropSuspect(r.Fingerprint)
	if len(t.log) == maxRecords {
		t.log = slices.Delete(t.log, 0, 1)
	}
	t.log = append(t.log, r)
	t.end++
	return true
}

func (t *Table) dropRecord(f Fingerprint) {
	if r, ok := t.records[f]; ok {
		delete(t.records, f)
		t.dropTarget(r.Target)
	}
}

func (t *Table) dropOldestRecord() {
	var oldest Record
	for _, r := range t.records {
		if oldest.Issued == 0 || r.Issued < oldest.Issued {
			oldest = r
		}
	}
	t.dropRecord(oldest.Fingerprint)
}

// Learn records what another node tells, and returns what is new to this node.
func (t *Table) Learn(now time.Time, records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []Record
	for _, r := range records {
		if t.learn(now, r) {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

// Lift ends a quarantine and reports whether there was one.
func (t *Table) Lift(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	if !ok || r.Lifted {
		return false
	}
	r.Lifted, r.Issued = true, max(now.UnixMilli(), r.Issued+1)
	t.issue(now, r)
	return true
}

// Record returns the record of a request, if there is one.
func (t *Table) Record(f Fingerprint) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	return r, ok
}

// Since returns the records after a position, at most a message full, and the position after
// them.
func (t *Table) Since(after uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := t.end - uint64(len(t.log))
	after = min(max(after, start), t.end)
	end := min(after+maxTold, t.end)
	return slices.Clone(t.log[after-start : end-start]), end
}

// Issued returns the records that this node has issued, and their version, which changes with
// each.
func (t *Table) Issued() ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.issued), t.version
}

// Records returns the quarantines in force, for operators, the newest first.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []Record{}
	for _, r := range t.records {
		if !r.Lifted && now.Before(r.End()) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(b.Issued, a.Issued) })
	return all
}
