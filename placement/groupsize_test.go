package placement

import (
	"testing"
	"time"
)

// The reference size of a group is the one before a crash, also when the row of the crashed endpoint
// is deleted, and follows a group that stays smaller.
func TestGroupSizeReference(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addPlain("p1", "a")
		f.addPlain("p2", "a")
		time.Sleep(time.Hour)
		f.markDown("p1")
		f.dir.Remove("p1")
		time.Sleep(groupPeakTTL / 2)
		if ids, _ := f.choices(retryOf(1, 7)); len(ids) != 0 {
			t.Errorf("placed on %v, the last of two", ids)
		}
		time.Sleep(groupPeakTTL)
		if ids, _ := f.choices(retryOf(1, 7)); len(ids) != 1 {
			t.Errorf("placed on %v, want the only endpoint of a service", ids)
		}
	})
}

// Guards against a group whose last endpoint is taken because an older, larger size has expired: the size
// that it had a moment ago still counts.
func TestReferenceOfGroupIsItsLargestRecentSize(t *testing.T) {
	type change struct {
		after time.Duration
		size  int
	}
	for _, tc := range []struct {
		name    string
		changes []change
		at      time.Duration
		want    int
	}{
		{"has not shrunk", []change{{0, 2}}, time.Hour, 2},
		{"has just shrunk", []change{{0, 3}, {time.Second, 1}}, time.Second, 3},
		{"has shrunk long ago", []change{{0, 3}, {time.Second, 1}}, time.Second + groupPeakTTL + 1, 1},
		{"an older size expires", []change{{0, 3}, {time.Second, 2}, {groupPeakTTL, 1}}, groupPeakTTL + time.Second + 1, 2},
		{"an older size has expired as another endpoint is lost", []change{{0, 3}, {time.Second, 2}, {groupPeakTTL, 1}, {2 * groupPeakTTL, 0}}, 2 * groupPeakTTL, 2},
		{"has grown again", []change{{0, 3}, {time.Second, 1}, {2 * time.Second, 3}, {3 * time.Second, 2}}, 3 * time.Second, 3},
		{"has grown beyond", []change{{0, 3}, {time.Second, 1}, {2 * time.Second, 4}}, 2 * time.Second, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start, s := time.Now(), &groupSize{}
			for _, c := range tc.changes {
				s.record(start.Add(c.after), c.size)
			}
			if got := s.reference(start.Add(tc.at)); got != tc.want {
				t.Errorf("reference %d, want %d", got, tc.want)
			}
		})
	}
}
