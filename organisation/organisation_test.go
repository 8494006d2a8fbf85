package organisation

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
)

func digests(names ...string) []Digest {
	var list []Digest
	for _, name := range names {
		list = append(list, DigestOf(name))
	}
	return list
}

func TestIdentify(t *testing.T) {
	urgent := 1
	r, shared := NewRegistry([]Organisation{
		{Name: "north", Priority: &urgent, Keys: digests("a", "b", "both")},
		{Name: "south", Keys: digests("c", "both", "c")},
		{Name: "keyless"},
	})
	if diff := cmp.Diff(digests("both"), shared); diff != "" {
		t.Error(diff)
	}
	for _, tc := range []struct {
		name string
		c    Credential
		want string
		code failure.Reason
	}{
		{"first key", Credential{Key: DigestOf("a")}, "north", ""},
		{"second key", Credential{Key: DigestOf("b")}, "north", ""},
		{"another organisation's", Credential{Key: DigestOf("c")}, "south", ""},
		{"claimed by two", Credential{Key: DigestOf("both")}, "north", ""},
		{"never held", Credential{Key: DigestOf("d")}, "", failure.KeyUnknown},
		{"the empty key", Credential{Key: DigestOf("")}, "", failure.KeyUnknown},
		{"the name of an organisation", Credential{Key: DigestOf("keyless")}, "", failure.KeyUnknown},
		{"none", Credential{Problem: failure.KeyMissing}, "", failure.KeyMissing},
		{"a known key in a malformed header", Credential{Key: DigestOf("a"), Problem: failure.KeyMalformed}, "", failure.KeyMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o, err := r.Identify(tc.c)
			var refused *CredentialError
			if tc.code != "" {
				if o != nil || !errors.As(err, &refused) || refused.Code != tc.code || IsUnknown(err) != (tc.code == failure.KeyUnknown) {
					t.Errorf("got %v, %v", o, err)
				}
				return
			}
			if err != nil || o.Name != tc.want {
				t.Errorf("got %v, %v", o, err)
			}
		})
	}
}

func TestParseDigest(t *testing.T) {
	want := DigestOf("key")
	if got, err := ParseDigest(want.String()); err != nil || got != want {
		t.Errorf("got %v, %v", got, err)
	}
	for _, text := range []string{"", "a-secret", "zz", want.String()[2:], want.String() + "00"} {
		_, err := ParseDigest(text)
		var bad *DigestError
		if !errors.As(err, &bad) {
			t.Errorf("ParseDigest(%q): error %v", text, err)
		}
		if text != "" && strings.Contains(err.Error(), text) {
			t.Errorf("the error contains %q, which may be a key", text)
		}
	}
}

// Measures Identify with many keys. A registry is built once per configuration and queried for each
// request.
func BenchmarkIdentify(b *testing.B) {
	var list []Organisation
	for i := range 4500 {
		o := Organisation{Name: fmt.Sprint("o", i)}
		for k := range 22 {
			o.Keys = append(o.Keys, DigestOf(fmt.Sprint(i, "-", k)))
		}
		list = append(list, o)
	}
	r, _ := NewRegistry(list)
	b.ResetTimer()
	for i := range b.N {
		if _, err := r.Identify(Credential{Key: DigestOf(fmt.Sprint(i%4500, "-", 3))}); err != nil {
			b.Fatal(err)
		}
	}
}
