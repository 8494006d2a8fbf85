package placement

import "time"

// uplinkFraction is the fraction of the VM's bandwidth that is available to requests to endpoints;
// incoming bodies, responses and datagrams use the rest. Predictions were less accurate with 0.9.
const uplinkFraction = 0.6

// uplink predicts when the VM's network link has sent a request. Long prompts saturate a slow link
// before the engines: at 10 Mbit/s a body of 18 kB takes 15 ms, and twice that if one engine
// prefills for another.
//
// It is guarded by the lock of its Planner. The zero value is a link of unlimited bandwidth.
type uplink struct {
	// bitsPerSecond is zero for a link that is never the bottleneck.
	bitsPerSecond float64
	// freeAt is when everything reserved so far will have been sent.
	freeAt time.Time
}

// transmitTime returns how long the link takes to send a number of bytes.
func (u *uplink) transmitTime(bytes int) time.Duration {
	if u.bitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * 8 / (uplinkFraction * u.bitsPerSecond) * float64(time.Second))
}

// wait returns how long the link is busy with earlier reservations.
func (u *uplink) wait(now time.Time) time.Duration { return max(0, u.freeAt.Sub(now)) }

// reserve reserves the link for a number of bytes, after earlier reservations.
func (u *uplink) reserve(now time.Time, bytes int) {
	if u.freeAt.Before(now) {
		u.freeAt = now
	}
	u.freeAt = u.freeAt.Add(u.transmitTime(bytes))
}
