package table

import (
	"errors"
	"testing"
)

func newVersion(t *testing.T, epoch, number uint64) Version {
	t.Helper()
	v, err := NewVersion(epoch, number)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestVersionsOfEpochs(t *testing.T) {
	old, again, later := newVersion(t, 1, 900), newVersion(t, 2, 900), newVersion(t, 2, 7)
	if old == again || old >= later || later >= again {
		t.Errorf("%v, %v and %v are not in order", old, later, again)
	}
	if again.Epoch() != 2 || again.Number() != 900 || again.String() != "2:900" {
		t.Errorf("%v: epoch %d, number %d", again, again.Epoch(), again.Number())
	}
	if plain := newVersion(t, 0, 5); plain != 5 || plain.String() != "5" {
		t.Errorf("epoch zero: %v", plain)
	}
	var invalid *InvalidError
	for _, pair := range [][2]uint64{{1 << 16, 1}, {1, 1 << 48}} {
		if _, err := NewVersion(pair[0], pair[1]); !errors.As(err, &invalid) {
			t.Errorf("%v: %v", pair, err)
		}
	}
}
