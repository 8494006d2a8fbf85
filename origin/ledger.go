package origin

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/loadshare"
)

// maxRecords bounds the records of one generation, about 11 MB. Of more, only the newest are kept.
const maxRecords = 300_000

var recordsDropped = metrics.NewCounter("springweir_stream_records_dropped_total")

// record states which software began a stream.
type record struct {
	software uint32
	// at is when the record was last written, in milliseconds since the start of the ledger.
	at uint32
	// unpublished is set on a record of a stream that began here and was not sent to other VMs.
	unpublished bool
}

// ledger holds the records of streams in two generations, so that each is kept for one to two windows
// after it was last written. It is not safe for concurrent use.
type ledger struct {
	start, rotatedAt  time.Time
	current, previous map[uint64]record
}

func newLedger(now time.Time) *ledger {
	return &ledger{start: now, rotatedAt: now, current: map[uint64]record{}, previous: map[uint64]record{}}
}

// rotate drops the records that are older than a window.
func (l *ledger) rotate(now time.Time, window time.Duration) {
	if now.Sub(l.rotatedAt) < window && len(l.current) < maxRecords {
		return
	}
	if now.Sub(l.rotatedAt) < window {
		recordsDropped.Add(len(l.previous))
	}
	l.rotatedAt = now
	l.previous, l.current = l.current, map[uint64]record{}
}

// put writes a record.
func (l *ledger) put(now time.Time, stream uint64, software uint32, unpublished bool) {
	l.current[stream] = record{software: software, at: uint32(now.Sub(l.start).Milliseconds()), unpublished: unpublished}
}

// get returns the record of a stream and its age.
func (l *ledger) get(now time.Time, stream uint64) (software uint32, age time.Duration, found bool) {
	r, found := l.current[stream]
	if !found {
		r, found = l.previous[stream]
	}
	return r.software, now.Sub(l.start) - time.Duration(r.at)*time.Millisecond, found
}

// takeUnpublished returns the unpublished records of some software and marks them as published.
func (l *ledger) takeUnpublished(of func(software uint32) bool) []loadshare.StreamRecord {
	var list []loadshare.StreamRecord
	for _, generation := range []map[uint64]record{l.previous, l.current} {
		for stream, r := range generation {
			if !r.unpublished || !of(r.software) {
				continue
			}
			r.unpublished = false
			generation[stream] = r
			list = append(list, loadshare.StreamRecord{Stream: stream, Software: r.software})
		}
	}
	return list
}
