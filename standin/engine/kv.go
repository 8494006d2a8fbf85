package engine

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

// kvPath is the path prefix, followed by the handle, from which other stand-ins fetch an
// exported KV cache.
const kvPath = "/standin/kv/"

const (
	kvHeaderBytes = 4
	// kvBytesPerToken replaces the several hundred kilobytes per token of a real cache; the
	// timing model accounts for their transfer time.
	kvBytesPerToken = 8
	maxKVBytes      = 64 << 20
	fetchTimeout    = 2 * time.Second
)

// export is a KV cache kept for an importer until the model time until.
type export struct {
	payload []byte
	until   time.Duration
}

// ImportError reports a KV cache that could not be fetched or failed verification.
type ImportError struct{ Detail string }

// Error implements error.
func (e *ImportError) Error() string { return "kv import failed: " + e.Detail }

// Reason implements failure.Coded.
func (e *ImportError) Reason() failure.Reason { return failure.EndpointRefused }

// exportKV stores the attempt's KV cache for Params.KVHold and returns a reference to it. It
// also removes expired exports.
func (s *Server) exportKV(a *attempt) *engine.KVRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for handle, e := range s.exports {
		if e.until <= now {
			delete(s.exports, handle)
		}
	}
	payload := kvPayload(a.seed, a.req.PromptTokens)
	handle := strconv.FormatUint(uint64(a.job), 10)
	s.exports[handle] = export{payload: payload, until: now + s.opts.Params.KVHold}
	return &engine.KVRef{
		Engine:      s.opts.Address,
		Handle:      handle,
		Incarnation: s.opts.Incarnation,
		Tokens:      a.req.PromptTokens,
		Digest:      digest(payload),
	}
}

// kvPayload returns the bytes of a KV cache: the seed of the prompt, then kvBytesPerToken bytes
// per token. The importer generates from this seed, so a wrong cache yields a wrong response,
// as on a real engine.
func kvPayload(seed uint32, tokens int) []byte {
	payload := make([]byte, kvHeaderBytes+tokens*kvBytesPerToken)
	binary.BigEndian.PutUint32(payload, seed)
	for i := range tokens {
		at := kvHeaderBytes + i*kvBytesPerToken
		binary.BigEndian.PutUint64(payload[at:], uint64(seed)<<32|uint64(i))
	}
	return payload
}

func digest(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

func (s *Server) getKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e, ok := s.exports[r.PathValue("handle")]
	same := r.URL.Query().Get("incarnation") == s.opts.Incarnation
	if ok && e.until <= s.now() {
		ok = false
	}
	s.mu.Unlock()
	if !ok || !same {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Write(e.payload)
}

// fetchKV fetches a KV cache from the exporting engine and returns its seed. It fails with an
// ImportError if the cache is unavailable, incomplete or altered.
func (s *Server) fetchKV(ctx context.Context, ref engine.KVRef) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s%s?incarnation=%s", ref.Engine, kvPath, ref.Handle, ref.Incarnation)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, &ImportError{Detail: err.Error()}
	}
	resp, err := s.opts.Fetch.Do(req)
	if err != nil {
		return 0, &ImportError{Detail: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, &ImportError{Detail: resp.Status}
	}
	payload, err := io.ReadAll(io.LimitReader(resp.Body, maxKVBytes))
	if err != nil {
		return 0, &ImportError{Detail: err.Error()}
	}
	return verifyKV(payload, ref)
}

func verifyKV(payload []byte, ref engine.KVRef) (uint32, error) {
	if len(payload) != kvHeaderBytes+ref.Tokens*kvBytesPerToken {
		return 0, &ImportError{Detail: fmt.Sprintf("%d bytes for %d tokens", len(payload), ref.Tokens)}
	}
	if got := digest(payload); got != ref.Digest {
		return 0, &ImportError{Detail: "digest is " + got}
	}
	return binary.BigEndian.Uint32(payload), nil
}
