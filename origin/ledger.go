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
}

// generation is the records that were written within some time.
type generation struct {
	records map[uint64]record
	// unpublished lists the streams that began here and whose records were not sent to other VMs.
	unpublished []uint64
}

func newGeneration() generation { return generation{records: map[uint64]record{}} }

// ledger holds the records of streams in two generations, so that each is kept for one to two windows
// after it was last written. It is not safe for concurrent use.
type ledger struct {
	start, rotatedAt  time.Time
	current, previous generation
}

func newLedger(now time.Time) *ledger {
	return &ledger{start: now, rotatedAt: now, current: newGeneration(), previous: newGeneration()}
}

// rotate drops the records that are older than a window, or the older ones if there are too many.
func (l *ledger) rotate(now time.Time, window time.Duration) {
	expired := now.Sub(l.rotatedAt) >= window
	if !expired && len(l.current.records) < maxRecords {
		return
	}
	if !expired {
		recordsDropped.Add(len(l.previous.records))
	}
	l.rotatedAt = now
	l.previous, l.current = l.current, newGeneration()
}

// put writes a record.
func (l *ledger) put(now time.Time, stream uint64, software uint32) {
	l.current.records[stream] = record{software: software, at: uint32(now.Sub(l.start).Milliseconds())}
}

// putUnpublished writes the record of a stream that began here and that other VMs are not told of yet.
func (l *ledger) putUnpublished(now time.Time, stream uint64, software uint32) {
	l.put(now, stream, software)
	l.current.unpublished = append(l.current.unpublished, stream)
}

// get returns the record of a stream and its age.
func (l *ledger) get(now time.Time, stream uint64) (software uint32, age time.Duration, found bool) {
	r, found := l.current.records[stream]
	if !found {
		r, found = l.previous.records[stream]
	}
	return r.software, now.Sub(l.start) - time.Duration(r.at)*time.Millisecond, found
}

// takeUnpublished returns the unpublished records of some software, which count as published then.
func (l *ledger) takeUnpublished(of map[uint32]bool) []loadshare.StreamRecord {
	return append(l.previous.takeUnpublished(of), l.current.takeUnpublished(of)...)
}

func (g *generation) takeUnpublished(of map[uint32]bool) []loadshare.StreamRecord {
	var list []loadshare.StreamRecord
	var rest []uint64
	for _, stream := range g.unpublished {
		if software := g.records[stream].software; of[software] {
			list = append(list, loadshare.StreamRecord{Stream: stream, Software: software})
		} else {
			rest = append(rest, stream)
		}
	}
	g.unpublished = rest
	return list
}
