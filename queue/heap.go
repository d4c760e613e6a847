package queue

// waitingItem is an item with its position in a heap.
type waitingItem struct {
	item     Item
	heap     *itemHeap
	index    int
	sequence uint64 // arrival number in this queue
}

func (w *waitingItem) earlier(other *waitingItem) bool {
	if !w.item.Deadline.Equal(other.item.Deadline) {
		return w.item.Deadline.Before(other.item.Deadline)
	}
	return w.sequence < other.sequence
}

// itemHeap is a heap by deadline, then by arrival. It implements heap.Interface.
type itemHeap []*waitingItem

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool { return h[i].earlier(h[j]) }

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(value any) {
	added := value.(*waitingItem)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return removed
}
