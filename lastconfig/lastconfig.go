// Package lastconfig keeps the configuration that is in force in the platform's store, for VMs that start while the
// operators' row cannot be decoded: they then have what running VMs have.
//
// The copy is a row with the version and as many rows as the compressed value needs, all written in one transaction.
package lastconfig

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// Table holds the copy.
const Table = "springweir-config"

const (
	// headKey is the row that describes the copy; chunkKey formats the keys of the rows with its value.
	headKey  = "last"
	chunkKey = "last/%03d"
	// chunkBytes is the size of a chunk. The store accepts rows of 64 KiB.
	chunkBytes = 32 << 10
	// maxChunks bounds the copy, in what one transaction may write.
	maxChunks = 24
	// maxValueBytes bounds the value that is decompressed.
	maxValueBytes = 64 << 20
)

const (
	// startDelay is how long a VM that has just started keeps nothing: it does not know its rank yet, and what was in force
	// before is usually kept already.
	startDelay = 3 * time.Second
	// settleTime is how long a configuration is in force before it is kept, as several may come in quick succession.
	settleTime = 500 * time.Millisecond
	// rankDelay is the further time that the VM of the next rank waits, and maxRank the last rank that keeps copies.
	rankDelay = time.Second
	maxRank   = 2
	// retryInterval is the mean time between two attempts.
	retryInterval = time.Second
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
)

var (
	written = metrics.NewCounter("springweir_last_config_written_total")
	failed  = metrics.NewCounter("springweir_last_config_failed_total")
)

// Copy is a configuration as it was in force.
type Copy struct {
	// Version is the version of the configuration, and Source that of the row from which it was decoded.
	Version uint64
	Source  table.Version
	// Value is the row's value.
	Value []byte
}

// head is the value of the row that describes the copy.
type head struct {
	Version uint64        `json:"version"`
	Source  table.Version `json:"source"`
	Chunks  int           `json:"chunks"`
	Bytes   int           `json:"bytes"`
}

// TooLargeError reports a configuration that is too large to be kept.
type TooLargeError struct{ Bytes int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a compressed configuration of %d bytes is not kept, %d are the limit", e.Bytes, maxChunks*chunkBytes)
}

// Reason implements failure.Coded.
func (e *TooLargeError) Reason() failure.Reason { return failure.TooLarge }

// Keeper keeps the copy up to date. It is safe for concurrent use; mu is a leaf lock.
type Keeper struct {
	rows table.Service
	// rank returns the position of this VM in the region.
	rank func() int

	mu sync.Mutex
	// pending is the configuration to keep, nil if it is known to be kept; wake holds an element when it was set.
	pending *Copy
	wake    chan struct{}
}

// NewKeeper returns a Keeper that does nothing until Run is called.
func NewKeeper(rows table.Service, rank func() int) *Keeper {
	return &Keeper{rows: rows, rank: rank, wake: make(chan struct{}, 1)}
}

// Set states the configuration that is in force. It is kept soon.
func (k *Keeper) Set(c Copy) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = &c
	select {
	case k.wake <- struct{}{}:
	default: // Run looks at pending anyway
	}
}

// Run keeps configurations until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	loop.Sleep(ctx, startDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		if loop.Sleep(ctx, settleTime) && loop.Sleep(ctx, time.Duration(min(k.rank(), maxRank))*rankDelay) {
			k.keepPending(ctx)
		}
	}
}

// keepPending keeps the pending configuration, if this is the duty of the VM.
func (k *Keeper) keepPending(ctx context.Context) {
	for k.rank() <= maxRank {
		k.mu.Lock()
		c := k.pending
		k.mu.Unlock()
		if c == nil {
			return
		}
		err := k.keep(ctx, c)
		var tooLarge *TooLargeError
		if err != nil && !errors.As(err, &tooLarge) {
			failed.Inc()
			klog.V(1).InfoS("lastconfig: configuration not kept, will be tried again", "version", c.Version, "err", err)
			if !loop.Sleep(ctx, loop.Jitter(retryInterval)) {
				return
			}
			continue
		}
		if err != nil {
			klog.ErrorS(err, "lastconfig: configuration not kept", "version", c.Version)
		}
		k.mu.Lock()
		if k.pending == c {
			k.pending = nil
		}
		k.mu.Unlock()
	}
}

// keep writes a configuration unless the store has it or a newer one.
func (k *Keeper) keep(ctx context.Context, c *Copy) error {
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := k.rows.Get(ctx, table.Key{Table: Table, Row: headKey})
	if err != nil {
		return err
	}
	var stored head
	if rows[0].Version != table.Absent && json.Unmarshal(rows[0].Value, &stored) == nil && stored.Version >= c.Version {
		return nil
	}
	txn, err := c.transaction(rows[0].Version, min(stored.Chunks, maxChunks))
	if err != nil {
		return err
	}
	if _, err := k.rows.Commit(ctx, txn); err != nil {
		return err
	}
	written.Inc()
	klog.InfoS("lastconfig: configuration kept", "version", c.Version, "chunks", len(txn.Writes)-1)
	return nil
}

// transaction returns the transaction that replaces a copy of a number of chunks.
func (c *Copy) transaction(version table.Version, oldChunks int) (table.Txn, error) {
	data, err := compress(c.Value)
	if err != nil {
		return table.Txn{}, err
	}
	chunks := (len(data) + chunkBytes - 1) / chunkBytes
	if chunks > maxChunks {
		return table.Txn{}, &TooLargeError{Bytes: len(data)}
	}
	value, err := json.Marshal(head{Version: c.Version, Source: c.Source, Chunks: chunks, Bytes: len(data)})
	if err != nil {
		return table.Txn{}, err
	}
	key := table.Key{Table: Table, Row: headKey}
	txn := table.Txn{Checks: []table.Check{{Key: key, Version: version}}, Writes: []table.Write{{Key: key, Value: value}}}
	for i := range chunks {
		txn.Writes = append(txn.Writes, table.Write{Key: chunkKeyOf(i), Value: data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]})
	}
	for i := chunks; i < oldChunks; i++ {
		txn.Writes = append(txn.Writes, table.Write{Key: chunkKeyOf(i), Delete: true})
	}
	return txn, nil
}

func chunkKeyOf(i int) table.Key { return table.Key{Table: Table, Row: fmt.Sprintf(chunkKey, i)} }

// Load returns the copy, or nil if there is none. Errors are those of rows, and *table.MalformedRowError.
func Load(ctx context.Context, rows table.Service) (*Copy, error) {
	list, err := rows.Scan(ctx, Table, headKey, "", maxChunks+1)
	if err != nil || len(list) == 0 || list[0].Key.Row != headKey {
		return nil, err
	}
	malformed := func(cause error) error {
		return &table.MalformedRowError{Key: list[0].Key, Version: list[0].Version, Problem: "copy of the configuration", Cause: cause}
	}
	var h head
	if err := json.Unmarshal(list[0].Value, &h); err != nil {
		return nil, malformed(err)
	}
	var data []byte
	for _, row := range list[1:min(len(list), 1+max(0, h.Chunks))] {
		data = append(data, row.Value...)
	}
	if len(data) != h.Bytes {
		return nil, malformed(io.ErrUnexpectedEOF)
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxValueBytes))
	if err != nil {
		return nil, malformed(err)
	}
	return &Copy{Version: h.Version, Source: h.Source, Value: value}, nil
}

func compress(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
