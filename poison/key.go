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
	"fmt"
	"hash"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/relay"
)

// keySize is the length of a Key in bytes: long enough that nobody finds a request with the
// key of another's.
const keySize = 16

// Key names a request by its method, host, target, body and credentials, so that the same
// request has it whenever and wherever it comes. Its caller's address is no part of it: the
// same request is sent from many addresses.
type Key [keySize]byte

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// KeyOf returns the key of a request.
func KeyOf(r *relay.Request) Key {
	h := sha256.New()
	for _, field := range []string{r.Method, r.Host, r.Target} {
		part(h, []byte(field))
	}
	part(h, r.Credential.Key[:])
	part(h, r.Body)
	return Key(h.Sum(nil)[:keySize])
}

// Origin names the address that a request came from. Zero stands for all addresses.
type Origin uint32

// anyOrigin stands for all addresses.
const anyOrigin Origin = 0

// OriginOf returns the origin of a request.
func OriginOf(r *relay.Request) Origin { return max(1, Origin(xxhash.Sum64String(r.Caller))) }

// Subject is what may be held to blame: a request from one address, or from any.
type Subject struct {
	Key    Key
	Origin Origin
}

// String returns the key, and the origin if it is not any.
func (s Subject) String() string {
	if s.Origin == anyOrigin {
		return s.Key.String()
	}
	return fmt.Sprintf("%s%s%08x", s.Key, originMark, uint32(s.Origin))
}

// originMark stands between a subject's key and its origin.
const originMark = "@"

// ParseSubject reads what String returns. The error is *RowError.
func ParseSubject(text string) (Subject, error) {
	name, from, scoped := strings.Cut(text, originMark)
	b, err := hex.DecodeString(name)
	if err != nil || len(b) != keySize {
		return Subject{}, &RowError{Row: text, Cause: err}
	}
	s := Subject{Key: Key(b)}
	if !scoped {
		return s, nil
	}
	n, err := strconv.ParseUint(from, 16, 32)
	if err != nil || n == 0 {
		return Subject{}, &RowError{Row: text, Cause: err}
	}
	s.Origin = Origin(n)
	return s, nil
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
