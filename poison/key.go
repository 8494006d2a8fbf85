// Package poison detects requests that crash the endpoints that run them, and quarantines them.
// Such a request arrives again with another ID and through any VM, so it is identified by its
// content and its credentials.
//
// RunTracker tracks the runs of this VM and distinguishes a crash of the endpoint from a broken
// connection. Ledger collects the crashes that the VMs of the region report and determines which
// request caused them. QuarantineStore keeps the resulting entries in the platform's store.
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

// keySize is the length of a Key in bytes. It is long enough that nobody can construct a request
// with the key of another request.
const keySize = 16

// Key identifies a request by its method, host, target, body and credentials, independently of the
// time and the VM. It excludes the caller's address, since the same request is sent from many
// addresses.
type Key [keySize]byte

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// KeyOf returns the key of a request.
func KeyOf(r *relay.Request) Key {
	h := sha256.New()
	writeRequest(h, r)
	return Key(h.Sum(nil)[:keySize])
}

// writeRequest hashes what identifies a request.
func writeRequest(h hash.Hash, r *relay.Request) {
	for _, field := range []string{r.Method, r.Host, r.Target} {
		writeField(h, []byte(field))
	}
	writeField(h, r.Credential.Key[:])
	writeField(h, r.Body)
}

// Origin is the hash of the address that a request came from. Zero stands for all addresses.
type Origin uint32

// anyOrigin stands for all addresses.
const anyOrigin Origin = 0

// OriginOf returns the origin of a request.
func OriginOf(r *relay.Request) Origin { return max(1, Origin(xxhash.Sum64String(r.Caller))) }

// Subject is the unit that is suspected or quarantined: a request from one origin, or from any.
type Subject struct {
	Key    Key
	Origin Origin
}

// String returns the key, followed by the origin unless that is anyOrigin.
func (s Subject) String() string {
	if s.Origin == anyOrigin {
		return s.Key.String()
	}
	return fmt.Sprintf("%s%s%08x", s.Key, originSeparator, uint32(s.Origin))
}

// originSeparator separates the key and the origin of a subject.
const originSeparator = "@"

// ParseSubject parses the format of Subject.String. The error is *RowError.
func ParseSubject(text string) (Subject, error) {
	key, origin, scoped := strings.Cut(text, originSeparator)
	b, err := hex.DecodeString(key)
	if err != nil || len(b) != keySize {
		return Subject{}, &RowError{Row: text, Cause: err}
	}
	s := Subject{Key: Key(b)}
	if !scoped {
		return s, nil
	}
	n, err := strconv.ParseUint(origin, 16, 32)
	if err != nil || n == 0 {
		return Subject{}, &RowError{Row: text, Cause: err}
	}
	s.Origin = Origin(n)
	return s, nil
}

// writeField hashes a field with its length, so that different lists of fields never hash the same
// bytes.
func writeField(h hash.Hash, field []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	_, _ = h.Write(size[:]) // a hash never fails
	_, _ = h.Write(field)
}

// parseKey parses a key as it is encoded in datagrams.
func parseKey(b []byte) (Key, bool) {
	if len(b) != keySize {
		return Key{}, false
	}
	return Key(b), true
}
