// Package usage counts the requests of each organisation that endpoints began to run, in windows of
// the time of day, and has one VM of the region report them to the platform.
//
// Each process counts what it sent, and tells its counts within some ten milliseconds to a few VMs,
// the keepers, so that they outlast it. Counts are cumulative by process and window: what is told
// twice, late or in another order changes nothing. The holder of the region's lease adds up the
// accounts of a window once all processes have sealed it, writes the sums to the store under its
// lease, and reports what the store then holds: a window is never reported with two sums, whoever
// reports it.
package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Window is the number of a window: its start, in lengths of a window since 1970.
type Window uint64

// windowAt returns the window of a time.
func windowAt(t time.Time, length time.Duration) Window { return Window(t.UnixNano() / int64(length)) }

// end returns when a window is over.
func (w Window) end(length time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(length)) }

// Hash names an organisation between VMs.
func Hash(organisation string) uint64 { return xxhash.Sum64String(organisation) }
