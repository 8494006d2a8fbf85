package freshness

import (
	"testing"
	"time"
)

// atSeconds returns a fixed time plus a number of seconds.
func atSeconds(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestAge(t *testing.T) {
	confirm := func(version uint64, seconds float64) func(*Tracker) {
		return func(tracker *Tracker) { tracker.Confirm(Confirmation{Version: version, At: atSeconds(seconds)}) }
	}
	inForce := func(version uint64) func(*Tracker) { return func(tracker *Tracker) { tracker.SetInForce(version) } }
	for _, tc := range []struct {
		name  string
		steps []func(*Tracker)
		age   time.Duration
		known bool
	}{
		{"no version and no confirmation", nil, 0, false},
		{"in force without a confirmation", []func(*Tracker){inForce(3)}, 0, false},
		{"confirmed before it is in force", []func(*Tracker){confirm(3, 1), inForce(3)}, 9 * time.Second, true},
		{"confirmed", []func(*Tracker){inForce(3), confirm(3, 1)}, 9 * time.Second, true},
		{"an older confirmation arrives later", []func(*Tracker){inForce(3), confirm(3, 4), confirm(3, 1)}, 6 * time.Second, true},
		{"an older version is confirmed later", []func(*Tracker){inForce(3), confirm(2, 4)}, 6 * time.Second, true},
		{"a newer version is confirmed but not in force", []func(*Tracker){inForce(3), confirm(3, 1), confirm(4, 4)}, 9 * time.Second, true},
		{"the newer version comes into force", []func(*Tracker){inForce(3), confirm(3, 1), confirm(4, 4), inForce(4)}, 6 * time.Second, true},
		{"a newer version was confirmed before", []func(*Tracker){inForce(3), confirm(4, 1), confirm(3, 4)}, 0, false},
		{"a lower version is ignored", []func(*Tracker){inForce(4), inForce(3), confirm(4, 4)}, 6 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := New(func() time.Time { return atSeconds(10) })
			for _, step := range tc.steps {
				step(tracker)
			}
			if age, known := tracker.Age(); age != tc.age || known != tc.known {
				t.Errorf("got %v, %v", age, known)
			}
		})
	}
}

// Newest returns the newest confirmation, even on a VM that lacks the confirmed version.
func TestNewest(t *testing.T) {
	tracker := New(func() time.Time { return atSeconds(10) })
	if _, _, known := tracker.Newest(); known {
		t.Error("a confirmation is returned before any was recorded")
	}
	tracker.SetInForce(3)
	tracker.Confirm(Confirmation{Version: 3, At: atSeconds(1)})
	tracker.Confirm(Confirmation{Version: 4, At: atSeconds(4)})
	if version, age, known := tracker.Newest(); version != 4 || age != 6*time.Second || !known {
		t.Errorf("got %d, %v, %v", version, age, known)
	}
}
