package freshness

import (
	"testing"
	"time"
)

// at is a time so many seconds after a fixed one.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestAge(t *testing.T) {
	confirm := func(version uint64, seconds float64) func(*Tracker) {
		return func(tr *Tracker) { tr.Confirm(Confirmation{Version: version, At: at(seconds)}) }
	}
	inForce := func(version uint64) func(*Tracker) { return func(tr *Tracker) { tr.SetInForce(version) } }
	for _, tc := range []struct {
		name  string
		steps []func(*Tracker)
		age   time.Duration
		known bool
	}{
		{"nothing is known", nil, 0, false},
		{"in force without a confirmation", []func(*Tracker){inForce(3)}, 0, false},
		{"confirmed before it is in force", []func(*Tracker){confirm(3, 1), inForce(3)}, 9 * time.Second, true},
		{"confirmed", []func(*Tracker){inForce(3), confirm(3, 1)}, 9 * time.Second, true},
		{"an older confirmation comes later", []func(*Tracker){inForce(3), confirm(3, 4), confirm(3, 1)}, 6 * time.Second, true},
		{"an older version was the newest", []func(*Tracker){inForce(3), confirm(2, 4)}, 6 * time.Second, true},
		{"a newer version is not known here yet", []func(*Tracker){inForce(3), confirm(3, 1), confirm(4, 4)}, 9 * time.Second, true},
		{"it comes", []func(*Tracker){inForce(3), confirm(3, 1), confirm(4, 4), inForce(4)}, 6 * time.Second, true},
		{"another VM knows of a newer one", []func(*Tracker){inForce(3), confirm(4, 1), confirm(3, 4)}, 0, false},
		{"versions do not fall", []func(*Tracker){inForce(4), inForce(3), confirm(4, 4)}, 6 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr := New(func() time.Time { return at(10) })
			for _, step := range tc.steps {
				step(tr)
			}
			if age, known := tr.Age(); age != tc.age || known != tc.known {
				t.Errorf("got %v, %v", age, known)
			}
		})
	}
}

// What is told is the newest that is known, also by a VM that lacks the version itself.
func TestNewestIsTold(t *testing.T) {
	tr := New(func() time.Time { return at(10) })
	if _, _, known := tr.Newest(); known {
		t.Error("something is told before anything is known")
	}
	tr.SetInForce(3)
	tr.Confirm(Confirmation{Version: 3, At: at(1)})
	tr.Confirm(Confirmation{Version: 4, At: at(4)})
	if version, age, known := tr.Newest(); version != 4 || age != 6*time.Second || !known {
		t.Errorf("told %d, %v, %v", version, age, known)
	}
}
