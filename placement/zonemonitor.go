package placement

import "time"

// zoneMonitor detects that a whole availability zone is unreachable. Otherwise each of its
// endpoints would have to fail individually, which takes a VM seconds in a large fleet.
//
// It is guarded by the lock of its Planner.
type zoneMonitor struct {
	zones map[string]*zoneState
}

type zoneState struct {
	// failed are the endpoints that were unreachable since the last successful contact with the
	// zone.
	failed map[string]bool
	// unreachableUntil is the time until which the zone is considered unreachable.
	unreachableUntil time.Time
}

const (
	// minFailedEndpoints and minFailedFraction are the least number and fraction of a zone's
	// endpoints that must fail, with no successful contact in between, for the zone to be
	// considered unreachable. A few endpoints that crash together do not suffice.
	minFailedEndpoints = 2
	minFailedFraction  = 0.25
	// zoneUnreachableFor is how long the zone is avoided before a request tries it again.
	zoneUnreachableFor = 700 * time.Millisecond
)

func newZoneMonitor() *zoneMonitor { return &zoneMonitor{zones: map[string]*zoneState{}} }

func (z *zoneMonitor) state(zone string) *zoneState {
	s := z.zones[zone]
	if s == nil {
		s = &zoneState{failed: map[string]bool{}}
		z.zones[zone] = s
	}
	return s
}

// recordReachable records a response from an endpoint of the zone.
func (z *zoneMonitor) recordReachable(zone string) {
	s := z.state(zone)
	s.unreachableUntil = time.Time{}
	clear(s.failed)
}

// recordFailure records an endpoint that was unreachable or unresponsive, in a zone with the given
// number of endpoints. It reports whether the zone is now considered unreachable.
func (z *zoneMonitor) recordFailure(now time.Time, zone, endpoint string, endpoints int) (unreachable bool) {
	s := z.state(zone)
	s.failed[endpoint] = true
	if n := len(s.failed); n < minFailedEndpoints || float64(n) < minFailedFraction*float64(endpoints) {
		return false
	}
	s.unreachableUntil = now.Add(zoneUnreachableFor)
	return true
}

// anyUnreachable reports whether any zone is considered unreachable.
func (z *zoneMonitor) anyUnreachable(now time.Time) bool {
	for zone := range z.zones {
		if z.unreachable(now, zone) {
			return true
		}
	}
	return false
}

// unreachable reports whether the zone is considered unreachable.
func (z *zoneMonitor) unreachable(now time.Time, zone string) bool {
	s := z.zones[zone]
	return s != nil && now.Before(s.unreachableUntil)
}
