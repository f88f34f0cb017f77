package gate

// Every waiting attempt is in two heaps; position holds its index in each.
const (
	slotCustomer = iota
	slotDeadline
	numSlots
)

// attemptHeap is a heap of waiting attempts, ordered by sortTime in slotCustomer and by deadline in
// slotDeadline; ties are broken by arrival.
type attemptHeap struct {
	slot int
	list []*attempt
}

func (h *attemptHeap) Len() int { return len(h.list) }

func (h *attemptHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	x, y := a.sortTime, b.sortTime
	if h.slot == slotDeadline {
		x, y = a.deadline, b.deadline
	}
	if !x.Equal(y) {
		return x.Before(y)
	}
	return a.arrival < b.arrival
}

func (h *attemptHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].position[h.slot], h.list[j].position[h.slot] = i, j
}

// Push implements heap.Interface.
func (h *attemptHeap) Push(x any) {
	a := x.(*attempt)
	a.position[h.slot] = len(h.list)
	h.list = append(h.list, a)
}

// Pop implements heap.Interface.
func (h *attemptHeap) Pop() any {
	last := len(h.list) - 1
	a := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	a.position[h.slot] = -1
	return a
}

// tagHeap is a heap of customers by start tag; ties are broken by name.
type tagHeap []*customerQueue

func (h tagHeap) Len() int { return len(h) }

func (h tagHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].name < h[j].name
}

func (h tagHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *tagHeap) Push(x any) {
	cq := x.(*customerQueue)
	cq.position = len(*h)
	*h = append(*h, cq)
}

// Pop implements heap.Interface.
func (h *tagHeap) Pop() any {
	old := *h
	cq := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	cq.position = -1
	return cq
}
