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

// Report is one engine's load report in its shared form. Token counts are rounded up to
// multiples of 64, and ages down to multiples of 10 ms.
type Report struct {
	// Endpoint is the hash of the endpoint's name; see Hash.
	Endpoint uint32
	// Identity identifies the incarnation and the loaded artifacts of the engine; see
	// function Identity.
	Identity uint32
	Role     engine.Role
	Leaving  bool
	// Load lacks KVTotal and Recent, which are not shared. AgeMillis is the time since the
	// values were measured.
	Load engine.Load
}

// Hash returns the hash under which a name is shared. If two names of a zone collide,
// Identity prevents the report of one from being used for the other.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Identity returns a hash of an engine's incarnation and of its loaded artifacts,
// independent of their order.
func Identity(incarnation string, loaded []weightstore.Artifact) uint32 {
	names := make([]string, 0, len(loaded))
	for _, a := range loaded {
		names = append(names, "\x00"+a.Model+"\x00"+a.Adapter+"\x00"+a.Version)
	}
	slices.Sort(names)
	return Hash(incarnation + strings.Join(names, "\x00"))
}

// Units and age limits of the shared values.
const (
	tokenUnit     = 64
	lagUnitMillis = 10
	// maxForwardAgeMillis is the age up to which a batch is forwarded to peers.
	maxForwardAgeMillis = 15_000
	// maxStoredAgeMillis is the age after which a batch is dropped. A poller publishes a
	// few times a second, so some hundred batches in that time.
	maxStoredAgeMillis = 100_000
)

// Flags of a report.
const (
	flagPrefill = 1 << iota
	flagDecode
	flagLeaving
)

// storedBatch is the newest batch of one poller.
type storedBatch struct {
	batch *entrypb.Batch
	// receivedAt is when this process received the batch, whose age then was batch.AgeMs.
	receivedAt time.Time
}

func (p storedBatch) age(now time.Time) uint32 {
	return p.batch.AgeMs + uint32(now.Sub(p.receivedAt).Milliseconds())
}

// ReportStore holds the newest batch of each poller of the zone. It is safe for concurrent
// use.
//
// Invariant: the batch numbers of a poller increase, also across restarts of its process,
// and a stored batch is replaced only by one with a higher number.
type ReportStore struct {
	localVM string

	// mu guards newest. It is a leaf lock.
	mu     sync.Mutex
	newest map[string]storedBatch
}

// NewReportStore returns an empty store for the VM of that name.
func NewReportStore(localVM string) *ReportStore {
	return &ReportStore{localVM: localVM, newest: map[string]storedBatch{}}
}

// Publish replaces the batch of the local VM.
func (s *ReportStore) Publish(reports []Report) {
	batch := encode(reports)
	s.mu.Lock()
	defer s.mu.Unlock()
	// After a restart, numbering continues from the batch that a peer returned.
	if old, ok := s.newest[s.localVM]; ok {
		batch.Number = old.batch.Number
	}
	batch.Number++
	now := clock.Now()
	s.newest[s.localVM] = storedBatch{batch: batch, receivedAt: now}
	for name, p := range s.newest {
		if p.age(now) > maxStoredAgeMillis {
			delete(s.newest, name)
		}
	}
}

// versionBytes is the length of one VM's part of a version vector.
const versionBytes = 2

// VersionVector returns the two lowest bytes of the number of the newest batch of each VM
// of the roster, or zero for none. A batch is dropped long before its poller can publish
// half of that range, so they suffice to order batches; a batch whose two bytes happen to
// be zero is sent one time too many.
func (s *ReportStore) VersionVector(r contact.Roster) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make([]byte, 0, versionBytes*len(r.VMs))
	for _, vm := range r.VMs {
		var number uint32
		if p, ok := s.newest[vm.Name]; ok {
			number = p.batch.Number
		}
		versions = binary.LittleEndian.AppendUint16(versions, uint16(number))
	}
	return versions
}

// NewerBatches returns the batches that are newer than those in versions, which is indexed
// by the same roster, or all batches if versions is nil.
func (s *ReportStore) NewerBatches(r contact.Roster, versions []byte) []*entrypb.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var newer []*entrypb.Batch
	for i, vm := range r.VMs {
		p, ok := s.newest[vm.Name]
		if !ok || !isNewer(p.batch.Number, versions, i) || p.age(now) > maxForwardAgeMillis {
			continue
		}
		newer = append(newer, relabel(p.batch, uint32(i), p.age(now)))
	}
	return newer
}

// isNewer reports whether a batch of the i-th VM is newer than the one in versions.
func isNewer(number uint32, versions []byte, i int) bool {
	if len(versions) < versionBytes*(i+1) {
		return true
	}
	known := binary.LittleEndian.Uint16(versions[versionBytes*i:])
	return known == 0 || int16(uint16(number)-known) > 0
}

// Merge stores the batches that are newer than the stored ones. Their poller numbers index
// the roster.
func (s *ReportStore) Merge(r contact.Roster, batches []*entrypb.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for _, batch := range batches {
		if int(batch.Poller) >= len(r.VMs) || !aligned(batch) {
			continue
		}
		name := r.VMs[batch.Poller].Name
		if old, ok := s.newest[name]; ok && batch.Number <= old.batch.Number {
			continue
		}
		s.newest[name] = storedBatch{batch: batch, receivedAt: now}
	}
}

// Reports returns the newest report of each engine. Of two reports with the same identity
// the one with the higher sequence number is newer, otherwise the one with the lower age.
func (s *ReportStore) Reports() map[uint32]Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	reports := map[uint32]Report{}
	for _, p := range s.newest {
		age := p.age(now)
		for i := range p.batch.Engine {
			r := decode(p.batch, i, age)
			old, ok := reports[r.Endpoint]
			if !ok || supersedes(r, old) {
				reports[r.Endpoint] = r
			}
		}
	}
	return reports
}

func supersedes(a, b Report) bool {
	if a.Identity == b.Identity {
		return a.Load.Sequence > b.Load.Sequence
	}
	return a.Load.AgeMillis < b.Load.AgeMillis
}

// relabel returns a copy of the batch with another poller index and age. The copy shares
// the columns, which are never modified.
func relabel(b *entrypb.Batch, poller, age uint32) *entrypb.Batch {
	return &entrypb.Batch{
		Poller: poller, Number: b.Number, AgeMs: age,
		Engine: b.Engine, Identity: b.Identity, Sequence: b.Sequence, Flags: b.Flags,
		Waiting: b.Waiting, Running: b.Running, WaitingTokens: b.WaitingTokens,
		DecodeTokens: b.DecodeTokens, KvUsed: b.KvUsed, Lag: b.Lag,
	}
}

// aligned reports whether all columns have the same length.
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
		b.WaitingTokens = append(b.WaitingTokens, tokenUnits(r.Load.WaitingTokens))
		b.DecodeTokens = append(b.DecodeTokens, tokenUnits(r.Load.DecodeTokens))
		b.KvUsed = append(b.KvUsed, tokenUnits(r.Load.KVUsed))
		b.Lag = append(b.Lag, uint32(r.Load.AgeMillis/lagUnitMillis))
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
			AgeMillis:     int64(b.Lag[i])*lagUnitMillis + int64(age),
			Sequence:      uint64(b.Sequence[i]),
		},
	}
}

func tokenUnits(tokens int) uint32 { return uint32((tokens + tokenUnit - 1) / tokenUnit) }

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
