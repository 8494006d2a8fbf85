// Package usage counts the requests of each organisation that endpoints started to run, in windows
// of wall-clock time. One VM of the region reports the counts to the platform.
//
// Each process counts the requests that it sends, and replicates its counts within tens of
// milliseconds to a few other VMs, so that they survive the process. Counts are cumulative by
// process and window, so that duplicated, late or reordered messages do no harm. The holder of the
// region's lease adds up the accounts of a window once all processes have sealed it, writes the sum
// to the store under the lease, and reports what the store then holds: no window is ever reported
// with two different sums, whichever VM reports it.
package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Window is the number of a window: its start time since the Unix epoch, in window lengths.
type Window uint64

// windowAt returns the window that contains t.
func windowAt(t time.Time, length time.Duration) Window { return Window(t.UnixNano() / int64(length)) }

// end returns the end time of the window.
func (w Window) end(length time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(length)) }

// Hash returns the hash that represents an organisation in messages between VMs.
func Hash(organisation string) uint64 { return xxhash.Sum64String(organisation) }
