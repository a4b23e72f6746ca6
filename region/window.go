package region

// Counting in a window that slides.

import (
	"time"
)

// driftMargin lengthens a window, in thousandths, so that a clock that runs fast
// by 1% still counts over the whole of it.
const driftMargin = 20

// windowParts bounds the records of a window: what falls into the same part is
// counted together, as of its latest moment.
const windowParts = 128

// record is an amount, as of its latest moment.
type record struct {
	at     time.Time
	amount int64
}

// window holds what was counted over its span before now.
type window struct {
	span    time.Duration
	records []record
	sum     int64
}

func newWindow(length time.Duration) window {
	return window{span: length + length*driftMargin/1000}
}

// count returns what lies in the window that ends now.
func (w *window) count(now time.Time) int64 {
	old := 0
	for old < len(w.records) && now.Sub(w.records[old].at) > w.span {
		w.sum -= w.records[old].amount
		old++
	}
	w.records = w.records[old:]
	return w.sum
}

// add counts an amount at now. A record takes the later moment, so that nothing
// leaves the window early.
func (w *window) add(now time.Time, amount int64) {
	w.sum += amount
	last := len(w.records) - 1
	if last < 0 {
		w.records = append(w.records, record{at: now, amount: amount})
		return
	}
	end := &w.records[last]
	if now.Before(end.at) {
		now = end.at
	}
	if last > 0 && now.Sub(w.records[last-1].at) < w.span/windowParts {
		end.at = now
		end.amount += amount
		return
	}
	w.records = append(w.records, record{at: now, amount: amount})
}

// shift makes all records later. What was counted just before the process was
// paused may happen only after that.
func (w *window) shift(by time.Duration) {
	for i := range w.records {
		w.records[i].at = w.records[i].at.Add(by)
	}
}

// restart sets another length and keeps the records.
func (w *window) restart(length time.Duration) { w.span = newWindow(length).span }

// left is the time until the oldest record leaves the window.
func (w *window) left(now time.Time) time.Duration {
	if len(w.records) == 0 {
		return 0
	}
	return w.records[0].at.Add(w.span).Sub(now)
}
