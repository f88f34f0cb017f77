package gate

import (
	"container/heap"
	"time"

	"caperdrum.org/api/optext"
)

// fairQueue orders waiting attempts: by class first, within a class by
// start-time fair queueing over customers (Goyal, Vin and Cheng, 1996), within
// a customer by deadline. With fifo set it is a plain queue, the baseline.
type fairQueue struct {
	fifo    bool
	classes [numClasses]classQueue
	length  int
	arrival uint64
}

const numClasses = 3

func classRank(c optext.Class) int {
	switch c {
	case optext.Confirmation:
		return 0
	case optext.Deferrable:
		return 2
	default:
		return 1
	}
}

type classQueue struct {
	virtual   float64 // start tag of the attempt last taken
	customers map[string]*customerQueue
}

type customerQueue struct {
	finish  float64 // finish tag of the customer's last attempt taken
	waiting deadlineHeap
}

type deadlineHeap []*attempt

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	if !h[i].order.Equal(h[j].order) {
		return h[i].order.Before(h[j].order)
	}
	return h[i].arrival < h[j].arrival
}
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}
func (h *deadlineHeap) Push(x any) {
	a := x.(*attempt)
	a.position = len(*h)
	*h = append(*h, a)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.position = -1
	return a
}

func (q *fairQueue) len() int { return q.length }

func (q *fairQueue) key(a *attempt) (int, string) {
	if q.fifo {
		return 0, ""
	}
	return classRank(a.class), a.customer
}

func (q *fairQueue) push(a *attempt) {
	q.arrival++
	a.arrival = q.arrival
	a.order = a.deadline
	if q.fifo {
		a.order = time.Time{}
	}
	rank, customer := q.key(a)
	c := &q.classes[rank]
	if c.customers == nil {
		c.customers = map[string]*customerQueue{}
	}
	cq := c.customers[customer]
	if cq == nil {
		cq = &customerQueue{finish: c.virtual}
		c.customers[customer] = cq
	}
	if len(cq.waiting) == 0 {
		cq.finish = max(cq.finish, c.virtual)
	}
	heap.Push(&cq.waiting, a)
	q.length++
}

// pop returns the attempt to run next, or nil.
func (q *fairQueue) pop() *attempt {
	for i := range q.classes {
		if a := q.classes[i].pop(); a != nil {
			q.length--
			return a
		}
	}
	return nil
}

func (c *classQueue) pop() *attempt {
	var best *customerQueue
	var name string
	for n, cq := range c.customers {
		if len(cq.waiting) == 0 {
			if cq.finish <= c.virtual {
				delete(c.customers, n) // idle and without debt
			}
			continue
		}
		if best == nil || cq.finish < best.finish || cq.finish == best.finish && n < name {
			best, name = cq, n
		}
	}
	if best == nil {
		return nil
	}
	a := heap.Pop(&best.waiting).(*attempt)
	c.virtual = best.finish
	best.finish += 1 / max(a.share, minShare)
	return a
}

const minShare = 0.01

// remove takes a waiting attempt out.
func (q *fairQueue) remove(a *attempt) {
	rank, customer := q.key(a)
	cq := q.classes[rank].customers[customer]
	if cq == nil || a.position < 0 || a.position >= len(cq.waiting) || cq.waiting[a.position] != a {
		return
	}
	heap.Remove(&cq.waiting, a.position)
	q.length--
}
