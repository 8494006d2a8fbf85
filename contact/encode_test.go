package contact

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Rosters of every size survive encoding and decoding, and a truncated one is rejected.
func TestEncode(t *testing.T) {
	for _, n := range []int{0, 3, 63} {
		var r Roster
		for i := range n {
			r = r.Join("z", fmt.Sprintf("vm-%04d", i), fmt.Sprintf("10.0.0.%d:7000", i))
		}
		data := r.Encode()
		got, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(r, got); diff != "" {
			t.Errorf("%d VMs (-want +got):\n%s", n, diff)
		}
		var malformed *MalformedError
		for _, cut := range []int{1, 2, len(data) / 2, len(data) - 1} {
			if _, err := Decode(data[:cut]); !errors.As(err, &malformed) {
				t.Errorf("%d VMs, %d of %d bytes: %v", n, cut, len(data), err)
			}
		}
	}
}
