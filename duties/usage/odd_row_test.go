package usage

import (
	"bytes"
	"compress/gzip"
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/springweir/springweir/table"
)

// compressed returns a text as a row holds it.
func compressed(t *testing.T, text string) []byte {
	t.Helper()
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if _, err := z.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against a sum that is reported without having been one, and against a small row that fills the memory of the VM
// that reads it.
func TestOddSumsAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"null": "null", "no counts": `{"id":"x"}`, "another type": `{"counts":[1]}`, "negative": `{"counts":{"a":-5}}`, "a fraction": `{"counts":{"a":1.5}}`,
		"too large a number": `{"counts":{"a":1e999}}`, "26 digits": `{"counts":{"a":12345678901234567890123456}}`, "deeply nested": `{"counts":` + strings.Repeat("[", 200_000),
	} {
		r, err := decode(table.Row{Value: compressed(t, text)})
		var malformed *table.MalformedRowError
		if !errors.As(err, &malformed) {
			t.Errorf("%s was decoded as %+v, %v", name, r, err)
		}
	}
}

func TestDecompressionIsBounded(t *testing.T) {
	const expandedBytes = 64 << 20
	row := table.Row{Value: compressed(t, `{"counts":{"`+strings.Repeat("a", expandedBytes)+`":1}}`)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := decode(row); err == nil {
		t.Error("accepted")
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > expandedBytes/2 {
		t.Errorf("reading a row of %d bytes took %d bytes of memory", len(row.Value), got)
	}
}
