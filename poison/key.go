// Package poison detects requests that crash the endpoints that run them, and quarantines them.
// Such a request arrives again with another ID and through any VM, so it is identified by its
// content and its credentials. It also detects parts of prompts that crash the engines that write an
// answer on them, whichever requests have them.
//
// RunTracker tracks the runs of this VM and distinguishes a crash of the endpoint from a broken
// connection. Ledger collects the crashes that the VMs of the region report and determines which
// request caused them. QuarantineStore keeps the resulting entries in the platform's store.
package poison

import (
	"bytes"
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

// placementKey returns the key of a suspect in placement, where collisions do no harm.
func (k Key) placementKey() uint32 { return binary.BigEndian.Uint32(k[:]) }

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

// equalRequests reports whether two different requests have the same key, without hashing them.
func equalRequests(a, b *relay.Request) bool {
	return a != b && a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && a.Credential.Key == b.Credential.Key && bytes.Equal(a.Body, b.Body)
}

// Origin is the hash of the address that a request came from. Zero stands for all addresses.
type Origin uint32

// anyOrigin stands for all addresses.
const anyOrigin Origin = 0

// OriginOf returns the origin of a request.
func OriginOf(r *relay.Request) Origin { return max(1, Origin(xxhash.Sum64String(r.Caller))) }

// Identity is what a request has in common with its repetitions, and its prompt with those of others.
type Identity struct {
	Key    Key
	Origin Origin
	// Parts are the keys of the parts of its prompt that other requests may share.
	Parts []Key
}

// IdentityOf returns the identity of a request.
func IdentityOf(r *relay.Request) Identity {
	return Identity{Key: KeyOf(r), Origin: OriginOf(r), Parts: partKeys(r)}
}

// partKeys returns the keys of the parts of a request's prompt that other requests may share.
func partKeys(r *relay.Request) []Key {
	if r.Prompt == nil {
		return nil
	}
	var keys []Key
	for _, p := range r.Prompt.Shared() {
		keys = append(keys, PartKey(r.Prompt.Model, p.ID))
	}
	return keys
}

// PartKey returns the key of a part of prompts for a model, whoever sends it.
func PartKey(model, id string) Key {
	h := sha256.New()
	for _, field := range []string{"part", model, id} {
		writeField(h, []byte(field))
	}
	return Key(h.Sum(nil)[:keySize])
}

// subjects returns the subjects of a request: itself for any origin and for its own, and its parts.
func (id Identity) subjects() []Subject {
	list := []Subject{{Key: id.Key}, {Key: id.Key, Origin: id.Origin}}
	for _, part := range id.Parts {
		list = append(list, Subject{Key: part, Part: true})
	}
	return list
}

// Subject is the unit that is suspected or quarantined: a request from one origin, or from any, or a part
// of prompts.
type Subject struct {
	Key    Key
	Origin Origin
	// Part is set for a part of prompts, which has no origin.
	Part bool
}

// String returns the key, preceded by partPrefix for a part and followed by the origin unless that is
// anyOrigin.
func (s Subject) String() string {
	switch {
	case s.Part:
		return partPrefix + s.Key.String()
	case s.Origin == anyOrigin:
		return s.Key.String()
	}
	return fmt.Sprintf("%s%s%08x", s.Key, originSeparator, uint32(s.Origin))
}

const (
	// originSeparator separates the key and the origin of a subject.
	originSeparator = "@"
	// partPrefix precedes the key of a part.
	partPrefix = "part-"
)

// ParseSubject parses the format of Subject.String. The error is *RowError.
func ParseSubject(text string) (Subject, error) {
	request, part := strings.CutPrefix(text, partPrefix)
	key, origin, scoped := strings.Cut(request, originSeparator)
	b, err := hex.DecodeString(key)
	if err != nil || len(b) != keySize || part && scoped {
		return Subject{}, &RowError{Row: text, Cause: err}
	}
	s := Subject{Key: Key(b), Part: part}
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
