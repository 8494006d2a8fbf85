package share

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/peer/entrypb"
	"github.com/springweir/springweir/weightstore"
)

// Report is one engine's load report, as shared in the zone. Token counts are
// rounded up to 64 tokens, ages to 10 ms.
type Report struct {
	// Endpoint is the hash of the endpoint's name; see Hash.
	Endpoint uint32
	// Identity tells whether the engine is still the one that was read; see
	// Identity.
	Identity uint32
	Role     engine.Role
	Leaving  bool
	// Load lacks KVTotal and Recent, which are not shared. AgeMillis counts
	// from when the figures were true to now.
	Load engine.Load
}

// Hash returns the short form of a name under which it is shared. Where two names
// of a zone collide, Identity keeps one's report from being taken for the other's.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Identity is the short form of an engine's incarnation and of what it has
// loaded, in any order.
func Identity(incarnation string, loaded []weightstore.Artifact) uint32 {
	names := make([]string, 0, len(loaded))
	for _, a := range loaded {
		names = append(names, "\x00"+a.Model+"\x00"+a.Adapter+"\x00"+a.Version)
	}
	slices.Sort(names)
	return Hash(incarnation + strings.Join(names, "\x00"))
}

// Units of the shared figures.
const (
	tokenUnit = 64
	lagUnit   = 10 // milliseconds
	// maxAge is the age in milliseconds from which a batch is passed on no more.
	maxAge = 15_000
	// dropAge is the age in milliseconds from which a batch is forgotten. A
	// poller publishes some times a second, so some hundred batches in that time.
	dropAge = 100_000
)

// Flags of a report.
const (
	flagPrefill = 1 << iota
	flagDecode
	flagLeaving
)

// page is the newest batch of one poller.
type page struct {
	batch *entrypb.Batch
	// held is when this process came to hold it, with batch.AgeMs then.
	held time.Time
}

func (p page) age(now time.Time) uint32 {
	return p.batch.AgeMs + uint32(now.Sub(p.held).Milliseconds())
}

// ReportStore holds the newest batch of each poller of the zone. It is safe for
// concurrent use.
//
// Invariant: a poller's batches are numbered upwards, also across a restart of
// its process, and a page is only ever replaced by one with a higher number.
type ReportStore struct {
	self string

	// mu guards pages. It is a leaf.
	mu    sync.Mutex
	pages map[string]page
}

// NewReportStore returns an empty book of the VM of that name.
func NewReportStore(self string) *ReportStore {
	return &ReportStore{self: self, pages: map[string]page{}}
}

// Publish replaces what this VM itself has read.
func (b *ReportStore) Publish(reports []Report) {
	batch := encode(reports)
	b.mu.Lock()
	defer b.mu.Unlock()
	// After a restart the number goes on from what a peer gave back.
	if old, ok := b.pages[b.self]; ok {
		batch.Number = old.batch.Number
	}
	batch.Number++
	now := clock.Now()
	b.pages[b.self] = page{batch: batch, held: now}
	for name, p := range b.pages {
		if p.age(now) > dropAge {
			delete(b.pages, name)
		}
	}
}

// seenBytes is the length of one VM's part of what VersionVector returns.
const seenBytes = 2

// VersionVector returns the two lowest bytes of the number of the newest batch of each
// VM of the roster, or zero for none. A page is forgotten long before its
// poller can have published half of that range, so they are enough to tell
// older from newer; a batch whose bytes happen to be zero is sent once more.
func (b *ReportStore) VersionVector(r contact.Roster) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := make([]byte, 0, seenBytes*len(r.VMs))
	for _, vm := range r.VMs {
		var number uint32
		if p, ok := b.pages[vm.Name]; ok {
			number = p.batch.Number
		}
		seen = binary.LittleEndian.AppendUint16(seen, uint16(number))
	}
	return seen
}

// NewerBatches returns the batches that are newer than seen, which is by the same
// roster, or all of them when seen is nil.
func (b *ReportStore) NewerBatches(r contact.Roster, seen []byte) []*entrypb.Batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	var newer []*entrypb.Batch
	for i, vm := range r.VMs {
		p, ok := b.pages[vm.Name]
		if !ok || !after(p.batch.Number, seen, i) || p.age(now) > maxAge {
			continue
		}
		newer = append(newer, relabel(p.batch, uint32(i), p.age(now)))
	}
	return newer
}

// after tells whether a batch of the i-th VM comes after what seen has of it.
func after(number uint32, seen []byte, i int) bool {
	if len(seen) < seenBytes*(i+1) {
		return true
	}
	have := binary.LittleEndian.Uint16(seen[seenBytes*i:])
	return have == 0 || int16(uint16(number)-have) > 0
}

// Merge takes in batches whose pollers are numbered by the roster.
func (b *ReportStore) Merge(r contact.Roster, batches []*entrypb.Batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for _, batch := range batches {
		if int(batch.Poller) >= len(r.VMs) || !aligned(batch) {
			continue
		}
		name := r.VMs[batch.Poller].Name
		if old, ok := b.pages[name]; ok && batch.Number <= old.batch.Number {
			continue
		}
		b.pages[name] = page{batch: batch, held: now}
	}
}

// Reports returns the newest report of each engine. Of two with the same
// incarnation the higher sequence is newer, otherwise the one read later.
func (b *ReportStore) Reports() map[uint32]Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	reports := map[uint32]Report{}
	for _, p := range b.pages {
		age := p.age(now)
		for i := range p.batch.Engine {
			r := decode(p.batch, i, age)
			old, ok := reports[r.Endpoint]
			if !ok || newer(r, old) {
				reports[r.Endpoint] = r
			}
		}
	}
	return reports
}

func newer(a, b Report) bool {
	if a.Identity == b.Identity {
		return a.Load.Sequence > b.Load.Sequence
	}
	return a.Load.AgeMillis < b.Load.AgeMillis
}

// relabel copies a batch with its columns shared: they are never changed.
func relabel(b *entrypb.Batch, poller, age uint32) *entrypb.Batch {
	return &entrypb.Batch{
		Poller: poller, Number: b.Number, AgeMs: age,
		Engine: b.Engine, Identity: b.Identity, Sequence: b.Sequence, Flags: b.Flags,
		Waiting: b.Waiting, Running: b.Running, WaitingTokens: b.WaitingTokens,
		DecodeTokens: b.DecodeTokens, KvUsed: b.KvUsed, Lag: b.Lag,
	}
}

// aligned tells whether all columns are of one length.
func aligned(b *entrypb.Batch) bool {
	n := len(b.Engine)
	columns := [][]uint32{
		b.Identity, b.Sequence, b.Flags, b.Waiting, b.Running,
		b.WaitingTokens, b.DecodeTokens, b.KvUsed, b.Lag,
	}
	for _, c := range columns {
		if len(c) != n {
			return false
		}
	}
	return true
}

func encode(reports []Report) *entrypb.Batch {
	b := &entrypb.Batch{}
	for _, r := range reports {
		b.Engine = append(b.Engine, r.Endpoint)
		b.Identity = append(b.Identity, r.Identity)
		b.Sequence = append(b.Sequence, uint32(r.Load.Sequence))
		b.Flags = append(b.Flags, flags(r))
		b.Waiting = append(b.Waiting, uint32(r.Load.Waiting))
		b.Running = append(b.Running, uint32(r.Load.Running))
		b.WaitingTokens = append(b.WaitingTokens, units(r.Load.WaitingTokens))
		b.DecodeTokens = append(b.DecodeTokens, units(r.Load.DecodeTokens))
		b.KvUsed = append(b.KvUsed, units(r.Load.KVUsed))
		b.Lag = append(b.Lag, uint32(r.Load.AgeMillis/lagUnit))
	}
	return b
}

func decode(b *entrypb.Batch, i int, age uint32) Report {
	return Report{
		Endpoint: b.Engine[i], Identity: b.Identity[i],
		Role: role(b.Flags[i]), Leaving: b.Flags[i]&flagLeaving != 0,
		Load: engine.Load{
			Waiting: int(b.Waiting[i]), Running: int(b.Running[i]),
			WaitingTokens: int(b.WaitingTokens[i]) * tokenUnit,
			DecodeTokens:  int(b.DecodeTokens[i]) * tokenUnit,
			KVUsed:        int(b.KvUsed[i]) * tokenUnit,
			AgeMillis:     int64(b.Lag[i])*lagUnit + int64(age),
			Sequence:      uint64(b.Sequence[i]),
		},
	}
}

func units(tokens int) uint32 { return uint32((tokens + tokenUnit - 1) / tokenUnit) }

func flags(r Report) uint32 {
	var f uint32
	switch r.Role {
	case engine.Prefill:
		f = flagPrefill
	case engine.Decode:
		f = flagDecode
	}
	if r.Leaving {
		f |= flagLeaving
	}
	return f
}

func role(f uint32) engine.Role {
	switch {
	case f&flagPrefill != 0:
		return engine.Prefill
	case f&flagDecode != 0:
		return engine.Decode
	default:
		return engine.Mixed
	}
}
