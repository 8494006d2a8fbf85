// Package prefix hashes the blocks of a prompt and maintains a bounded index of the engines that
// hold each block in their prefix cache.
//
// Engines publish cache events late and with gaps, so the index is a hint: a wrong entry costs time
// (a prefill that was expected to be cached) and never causes a wrong response, because the engine
// itself decides what it reuses.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the number of tokens represented by one block.
	BlockTokens = 16
	// BlockBytes is the number of bytes of prompt text in one block, at about four bytes per token.
	BlockBytes = 64
	// MaxBlocks bounds the number of hashes of a prompt. The rest of a longer prompt is not hashed.
	MaxBlocks = 8192
)

// Hashes returns the chained hashes of the complete blocks of prompt: each hash covers its block
// and all preceding blocks. A partial block at the end is omitted. The namespace (model, adapter
// and version) separates caches that cannot share blocks.
func Hashes(namespace, prompt string) []uint64 {
	blocks := min(len(prompt)/BlockBytes, MaxBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	last := xxhash.Sum64String(namespace)
	var buf [8 + BlockBytes]byte
	for i := range hashes {
		binary.LittleEndian.PutUint64(buf[:8], last)
		copy(buf[8:], prompt[i*BlockBytes:(i+1)*BlockBytes])
		last = xxhash.Sum64(buf[:])
		hashes[i] = last
	}
	return hashes
}
