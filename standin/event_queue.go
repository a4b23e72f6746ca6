package standin

import (
	"container/heap"
	"time"
)

// EventQueue runs tasks in the order of their times without waiting. It simulates the
// clock for tests with many requests.
type EventQueue struct {
	pending taskHeap
	count   int
}

// At schedules a function for a time. Functions with the same time run in the order of
// the calls.
func (q *EventQueue) At(at time.Time, run func(now time.Time)) {
	q.count++
	heap.Push(&q.pending, task{at, q.count, run})
}

// Run runs all scheduled functions, including those that are scheduled meanwhile.
func (q *EventQueue) Run() {
	for len(q.pending) > 0 {
		next := heap.Pop(&q.pending).(task)
		next.run(next.at)
	}
}

type task struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

// taskHeap is a heap of tasks, the earliest first.
type taskHeap []task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a task, for container/heap.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(task)) }

// Pop removes the last task, for container/heap.
func (h *taskHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
