// Package organisation identifies the organisations of callers by their API keys. It stores digests
// of the keys, never the keys themselves.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"github.com/springweir/springweir/failure"
)

// Digest is the SHA-256 hash of an API key. Keys are long random strings, so an unsalted hash
// reveals nothing about them.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the output of String. The error is *DigestError.
func ParseDigest(text string) (Digest, error) {
	b, err := hex.DecodeString(text)
	if err == nil && len(b) != len(Digest{}) {
		err = hex.ErrLength
	}
	if err != nil {
		return Digest{}, &DigestError{Cause: err}
	}
	return Digest(b), nil
}

// DigestError reports a text that is not a digest. It does not contain the text, which may be a
// key.
type DigestError struct{ Cause error }

// Error implements error.
func (e *DigestError) Error() string { return fmt.Sprintf("not a digest of an API key: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *DigestError) Reason() failure.Reason { return failure.BadSettings }

// Unwrap returns the cause.
func (e *DigestError) Unwrap() error { return e.Cause }

// Organisation is a customer whose callers share its API keys. It is immutable.
type Organisation struct {
	Name string
	// Priority, if set, overrides the priority of the route; 0 is the most urgent.
	Priority *int
	// Keys may be empty; no caller can then identify as this organisation.
	Keys []Digest
	// Limit bounds what its requests may use on all VMs together.
	Limit Limit
}

// Registry looks up organisations by API key. It is immutable.
type Registry struct {
	organisations []Organisation
	byKey         map[Digest]*Organisation
	byName        map[string]*Organisation
}

// NewRegistry returns a registry of organisations. A key listed by several organisations belongs to
// the first and is returned in shared: refusing it would lock out legitimate callers.
func NewRegistry(organisations []Organisation) (r *Registry, shared []Digest) {
	r = &Registry{organisations: slices.Clone(organisations), byKey: map[Digest]*Organisation{}, byName: map[string]*Organisation{}}
	for i := range r.organisations {
		o := &r.organisations[i]
		r.byName[o.Name] = o
		for _, key := range o.Keys {
			switch owner := r.byKey[key]; {
			case owner == nil:
				r.byKey[key] = o
			case owner != o:
				shared = append(shared, key)
			}
		}
	}
	return r, shared
}

// Len returns the number of organisations; zero for a nil registry.
func (r *Registry) Len() int {
	if r == nil {
		return 0
	}
	return len(r.organisations)
}

// Organisations returns all organisations in their configured order. The caller must not modify the
// slice.
func (r *Registry) Organisations() []Organisation { return r.organisations }

// ByName returns an organisation, or nil. It returns nil for a nil registry.
func (r *Registry) ByName(name string) *Organisation {
	if r == nil {
		return nil
	}
	return r.byName[name]
}

// Identify returns the organisation of a credential. The error is *CredentialError.
func (r *Registry) Identify(c Credential) (*Organisation, error) {
	if c.Problem != "" {
		return nil, &CredentialError{Code: c.Problem}
	}
	o := r.byKey[c.Key]
	if o == nil {
		return nil, &CredentialError{Code: failure.KeyUnknown}
	}
	return o, nil
}

// Credential is the API key information of a request.
type Credential struct {
	// Key is the digest of the key, or of whatever was sent in its place; zero if nothing was sent.
	Key Digest
	// Problem is why there is no usable key: failure.KeyMissing or failure.KeyMalformed; empty if
	// there is one.
	Problem failure.Reason
}

// CredentialError reports a request without a key that identifies an organisation.
type CredentialError struct{ Code failure.Reason }

// Error implements error.
func (e *CredentialError) Error() string { return "credential refused: " + string(e.Code) }

// Reason implements failure.Coded.
func (e *CredentialError) Reason() failure.Reason { return e.Code }

// IsUnknown reports whether an error is due to a well-formed key that belongs to no organisation.
func IsUnknown(err error) bool {
	var refused *CredentialError
	return errors.As(err, &refused) && refused.Code == failure.KeyUnknown
}
