package poison

// recent is a map that holds a limited number of keys; the oldest are dropped first. It is not safe for
// concurrent use.
type recent[K comparable, V any] struct {
	limit  int
	values map[K]V
	// order holds the keys as they were added; next is the position of the oldest once the list is full.
	order []K
	next  int
}

func newRecent[K comparable, V any](limit int) recent[K, V] {
	return recent[K, V]{limit: limit, values: map[K]V{}}
}

// get returns the value of a key.
func (r *recent[K, V]) get(k K) (V, bool) {
	v, known := r.values[k]
	return v, known
}

// put sets the value of a key. A key that is known keeps its place in the order.
func (r *recent[K, V]) put(k K, v V) {
	_, known := r.values[k]
	r.values[k] = v
	if known {
		return
	}
	if len(r.order) < r.limit {
		r.order = append(r.order, k)
		return
	}
	delete(r.values, r.order[r.next])
	r.order[r.next] = k
	r.next = (r.next + 1) % r.limit
}
