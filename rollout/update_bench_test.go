package rollout_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/springweir/springweir/rollout"
)

// tree returns a document with the given number of organisations.
func tree(organisations, limit int) []byte {
	var b bytes.Buffer
	for i := range organisations {
		fmt.Fprintf(&b, "[organisation \"organisation-%04d\"]\napi_keys = %x\ntokens_per_second = %d\nconcurrency = 32\n\n", i, sha256.Sum256([]byte{byte(i), byte(i >> 8)}), limit)
		limit = 500
	}
	return b.Bytes()
}

// BenchmarkUpdate creates and applies the update for one changed key, with 4,500 organisations.
// A confirmer and each VM do this once per change.
func BenchmarkUpdate(b *testing.B) {
	base := rollout.NewDocument(1, tree(4500, 500))
	next := rollout.NewDocument(2, tree(4500, 600))
	for _, from := range []struct {
		name string
		base rollout.Document
	}{{"patch", base}, {"whole", rollout.Document{}}} {
		u := rollout.NewUpdate(from.base, next)
		b.Run(from.name+"/make", func(b *testing.B) {
			for b.Loop() {
				u = rollout.NewUpdate(from.base, next)
			}
			b.ReportMetric(float64(len(u.Body)), "body-bytes")
			b.ReportMetric(float64(len(next.Text)), "text-bytes")
		})
		b.Run(from.name+"/apply", func(b *testing.B) {
			for b.Loop() {
				if _, err := u.Document(from.base); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
