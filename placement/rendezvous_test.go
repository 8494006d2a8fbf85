package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/springweir/springweir/directory"
)

// Removing an engine moves only the keys for which it was first, and the keys are spread over all
// engines.
func TestRendezvousTop(t *testing.T) {
	var engines []*directory.Endpoint
	for i := range 10 {
		engines = append(engines, &directory.Endpoint{Registration: directory.Registration{ID: fmt.Sprint("e", i)}})
	}
	const keys = 2000
	count := map[string]int{}
	for key := range uint32(keys) {
		top := rendezvousTop(key, engines, 3)
		if len(top) != 3 || top[0] == top[1] || top[1] == top[2] || top[0] == top[2] {
			t.Fatalf("key %d: %d engines", key, len(top))
		}
		count[top[0].ID]++
		// The result does not depend on the order of the input.
		reversed := slices.Clone(engines)
		slices.Reverse(reversed)
		if !slices.Equal(top, rendezvousTop(key, reversed, 3)) {
			t.Fatalf("key %d: the result depends on the input order", key)
		}
		without := slices.DeleteFunc(slices.Clone(engines), func(e *directory.Endpoint) bool { return e == top[0] })
		if next := rendezvousTop(key, without, 3); next[0] != top[1] || next[1] != top[2] {
			t.Fatalf("key %d did not move to its next engine", key)
		}
	}
	for _, e := range engines {
		if n := count[e.ID]; n < keys/20 || n > keys/5 {
			t.Errorf("%s is first for %d of %d keys", e.ID, n, keys)
		}
	}
	if got := rendezvousTop(1, engines[:2], 3); len(got) != 2 {
		t.Errorf("got %d engines of two", len(got))
	}
}
