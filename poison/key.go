// Package poison finds requests that crash the endpoints that run them, and keeps them away
// from the other endpoints. Such a request comes again with another id, at any VM, so it is
// known by what it says and who sends it.
//
// Runs follows which requests are at work where, and tells an endpoint that crashed from a
// connection that broke. Ledger holds what the VMs of the region know of crashes, and decides
// which request is to blame. Keeper keeps these verdicts in the platform's store.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/springweir/springweir/relay"
)

// keySize is the length of a Key in bytes: long enough that nobody finds a request with the
// key of another's.
const keySize = 16

// Key names a request by its caller, method, host, target and body, so that the same request
// has it whenever and wherever it comes.
//
// The caller is a part of it: otherwise one could send another's request together with
// requests that crash endpoints, and so have it refused.
type Key [keySize]byte

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// KeyOf returns the key of a request.
func KeyOf(r *relay.Request) Key {
	h := sha256.New()
	for _, field := range []string{r.Caller, r.Method, r.Host, r.Target} {
		part(h, []byte(field))
	}
	part(h, r.Body)
	return Key(h.Sum(nil)[:keySize])
}

// part adds a field with its length, so that no two lists of fields look the same.
func part(h hash.Hash, field []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	_, _ = h.Write(size[:]) // a hash never fails
	_, _ = h.Write(field)
}

// parseKey reads a key as datagrams carry it.
func parseKey(b []byte) (Key, bool) {
	if len(b) != keySize {
		return Key{}, false
	}
	return Key(b), true
}
