package gate

import (
	"container/heap"
	"time"

	"caperdrum.org/api/optext"
)

// fairQueue orders waiting attempts by class, within a class by start-time fair queueing over customers
// (Goyal, Vin and Cheng, 1996), and within a customer by deadline. A non-empty class is passed over at most
// maxPassedOver times in a row, so that a flood of a more urgent class slows a less urgent one but never
// starves it. With fifo set it is a plain FIFO queue, the baseline for comparisons. Operations are O(log n)
// in attempts and customers, except attemptsAhead and victim, which are linear in the waiting customers and
// attempts.
type fairQueue struct {
	fifo      bool
	classes   [numClasses]classQueue
	deadlines attemptHeap // all waiting attempts
	arrival   uint64
}

const (
	numClasses    = 3
	maxPassedOver = 16
	minShare      = 0.01
	maxShare      = 1e6
	// burstCredit is how many attempts a customer that used less than its share may run ahead of its turn. It
	// does not change the customer's long-term share.
	burstCredit = 2
	maxCredit   = burstCredit / minShare
)

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

// clampShare returns a usable weight for any number, including NaN.
func clampShare(share float64) float64 {
	if !(share >= minShare) {
		return minShare
	}
	return min(share, maxShare)
}

// classQueue is the fair queue of one class.
type classQueue struct {
	virtualTime float64 // highest start tag popped so far
	customers   map[string]*customerQueue
	active      tagHeap // customers with waiting attempts, by start tag
	idle        tagHeap // customers without waiting attempts whose credit is not full yet
	length      int
	passedOver  int
}

// customerQueue holds a customer's waiting attempts of one class. Its tag is the start tag of the customer's
// next attempt.
type customerQueue struct {
	name     string
	tag      float64
	share    float64
	waiting  attemptHeap
	position int // index in active or idle
}

func newFairQueue(fifo bool) fairQueue {
	q := fairQueue{fifo: fifo, deadlines: attemptHeap{slot: slotDeadline}}
	for i := range q.classes {
		q.classes[i].customers = map[string]*customerQueue{}
	}
	return q
}

func (q *fairQueue) len() int { return q.deadlines.Len() }

func (q *fairQueue) class(a *attempt) *classQueue {
	if q.fifo {
		return &q.classes[0]
	}
	return &q.classes[classRank(a.class)]
}

func (q *fairQueue) customer(a *attempt) string {
	if q.fifo {
		return ""
	}
	return a.customer
}

func (q *fairQueue) push(a *attempt) {
	q.arrival++
	a.arrival = q.arrival
	a.sortTime = a.deadline
	if q.fifo {
		a.sortTime = time.Time{}
	}
	a.waiting = true
	q.class(a).push(a, q.customer(a))
	heap.Push(&q.deadlines, a)
}

// pop removes and returns the attempt to run next, or nil.
func (q *fairQueue) pop() *attempt {
	c := q.nextClass()
	if c == nil {
		return nil
	}
	a := c.pop()
	a.waiting = false
	heap.Remove(&q.deadlines, a.position[slotDeadline])
	return a
}

// nextClass returns the most urgent non-empty class, or one that was passed over maxPassedOver times.
func (q *fairQueue) nextClass() *classQueue {
	var first, next *classQueue
	for i := range q.classes {
		c := &q.classes[i]
		if c.length == 0 {
			c.passedOver = 0
			continue
		}
		if first == nil {
			first = c
		}
		if next == nil && c.passedOver >= maxPassedOver {
			next = c
		}
	}
	if next == nil {
		next = first
	}
	for i := range q.classes {
		if c := &q.classes[i]; c != next && c.length > 0 {
			c.passedOver++
		}
	}
	if next != nil {
		next.passedOver = 0
	}
	return next
}

// remove removes a waiting attempt. It reports whether a was waiting.
func (q *fairQueue) remove(a *attempt) bool {
	if !a.waiting {
		return false
	}
	a.waiting = false
	q.class(a).remove(a, q.customer(a))
	heap.Remove(&q.deadlines, a.position[slotDeadline])
	return true
}

// earliestDeadline returns the waiting attempt with the earliest deadline, or nil.
func (q *fairQueue) earliestDeadline() *attempt {
	if q.len() == 0 {
		return nil
	}
	return q.deadlines.list[0]
}

// attemptsAhead estimates how many waiting attempts would run before a new one: those of more urgent classes,
// and those of its own class with a lower start tag. While a more urgent class is non-empty, more of it is
// assumed to arrive, up to the maxPassedOver attempts that may pass over each attempt of this class.
func (q *fairQueue) attemptsAhead(a *attempt) int {
	urgent := 0
	own := q.class(a)
	for i := range q.classes {
		if &q.classes[i] == own {
			break
		}
		urgent += q.classes[i].length
	}
	n := own.attemptsAhead(q.customer(a), clampShare(a.share))
	if urgent == 0 {
		return n
	}
	return n + max(urgent, (n+1)*maxPassedOver)
}

// customerWaits reports whether the attempt's customer has others of its class waiting.
func (q *fairQueue) customerWaits(a *attempt) bool {
	cq := q.class(a).customers[q.customer(a)]
	return cq != nil && cq.waiting.Len() > 0
}

// victim returns the waiting attempt that a new one may displace from a full queue, or nil. It is one of a
// less urgent class, or else of the customer in the same class with the most waiting attempts relative to its
// share, if that is more than the new attempt's customer would then have.
func (q *fairQueue) victim(a *attempt) *attempt {
	own := q.class(a)
	for i := numClasses - 1; i >= 0 && !q.fifo; i-- {
		c := &q.classes[i]
		if c == own {
			break
		}
		if c.length > 0 {
			return c.longestBacklog().lastAttempt()
		}
	}
	if own.length == 0 {
		return nil
	}
	cq, have := own.longestBacklog(), 1.0
	if mine := own.customers[q.customer(a)]; mine != nil {
		have += float64(mine.waiting.Len())
	}
	if cq.name == q.customer(a) || cq.backlog() <= have/clampShare(a.share) {
		return nil
	}
	return cq.lastAttempt()
}

func (c *classQueue) push(a *attempt, customer string) {
	cq := c.customers[customer]
	if cq == nil {
		cq = &customerQueue{name: customer, tag: c.virtualTime - maxCredit, position: -1, waiting: attemptHeap{slot: slotCustomer}}
		c.customers[customer] = cq
	}
	if cq.waiting.Len() == 0 {
		c.activate(cq, clampShare(a.share))
	}
	cq.share = clampShare(a.share)
	heap.Push(&cq.waiting, a)
	c.length++
}

func (c *classQueue) activate(cq *customerQueue, share float64) {
	if cq.position >= 0 {
		heap.Remove(&c.idle, cq.position)
	}
	cq.tag = max(cq.tag, c.virtualTime-burstCredit/share)
	heap.Push(&c.active, cq)
}

func (c *classQueue) pop() *attempt {
	cq := c.active[0]
	a := heap.Pop(&cq.waiting).(*attempt)
	c.length--
	c.virtualTime = max(c.virtualTime, cq.tag)
	cq.tag += 1 / clampShare(a.share)
	heap.Fix(&c.active, 0)
	c.deactivateIfEmpty(cq)
	for len(c.idle) > 0 && c.idle[0].tag <= c.virtualTime-maxCredit {
		delete(c.customers, heap.Pop(&c.idle).(*customerQueue).name)
	}
	return a
}

func (c *classQueue) remove(a *attempt, customer string) {
	cq := c.customers[customer]
	heap.Remove(&cq.waiting, a.position[slotCustomer])
	c.length--
	c.deactivateIfEmpty(cq)
}

// deactivateIfEmpty moves a customer without waiting attempts from active to idle. When the last one leaves,
// the busy period of the class ends and all tags are reset.
func (c *classQueue) deactivateIfEmpty(cq *customerQueue) {
	if cq.waiting.Len() > 0 {
		return
	}
	heap.Remove(&c.active, cq.position)
	if len(c.active) == 0 {
		clear(c.customers)
		c.idle, c.virtualTime = nil, 0
		return
	}
	heap.Push(&c.idle, cq)
}

// attemptsAhead returns how many of the class's waiting attempts have a start tag up to that of a new one. It
// is linear in the waiting customers.
func (c *classQueue) attemptsAhead(customer string, share float64) int {
	tag, n := c.virtualTime-burstCredit/share, 0
	if cq := c.customers[customer]; cq != nil {
		n = cq.waiting.Len()
		tag = max(cq.tag, tag)
	}
	tag += float64(n) / share
	for _, cq := range c.active {
		if cq.name != customer && cq.tag <= tag {
			n += min(cq.waiting.Len(), int((tag-cq.tag)*cq.share)+1)
		}
	}
	return n
}

// longestBacklog returns the active customer with the most waiting attempts relative to its share.
func (c *classQueue) longestBacklog() *customerQueue {
	var most *customerQueue
	for _, cq := range c.active {
		if most == nil || cq.backlog() > most.backlog() || cq.backlog() == most.backlog() && cq.name < most.name {
			most = cq
		}
	}
	return most
}

func (cq *customerQueue) backlog() float64 { return float64(cq.waiting.Len()) / cq.share }

// lastAttempt returns the attempt that the customer would run last.
func (cq *customerQueue) lastAttempt() *attempt {
	last := 0
	for i := range cq.waiting.list {
		if cq.waiting.Less(last, i) {
			last = i
		}
	}
	return cq.waiting.list[last]
}
