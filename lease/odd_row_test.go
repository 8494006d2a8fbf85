package lease

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// Guards against a lease that nobody can take again because its row holds something that no holder writes: the duties
// that need the lease would then never be done again. The next fencing token is above the earlier ones.
func TestOddRowIsTakenOver(t *testing.T) {
	for name, value := range map[string]string{
		"nothing":            "",
		"null":               "null",
		"no JSON":            "\xff{",
		"another type":       "[1,2]",
		"deeply nested":      strings.Repeat("[", 200_000),
		"a huge duration":    `{"holder":{"vm":"x"},"fence":1,"ttl_ms":9000000000000}`,
		"a duration beyond":  `{"holder":{"vm":"x"},"fence":1,"ttl_ms":9000000000000000000}`,
		"a negative one":     `{"holder":{"vm":"x"},"fence":1,"ttl_ms":-5}`,
		"no fence":           `{"holder":{"vm":"x"},"ttl_ms":9000}`,
		"the highest fence":  `{"holder":{"vm":"x"},"fence":18446744073709551615,"ttl_ms":9000}`,
		"a number too large": `{"holder":{"vm":"x"},"fence":1e999,"ttl_ms":9000}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rows := memtable.New()
				a := start(t, rows, "vm-a", 0)
				waitUntil(t, "the first tenure", a.holds)
				before := a.current().Fence()
				b := start(t, rows, "vm-b", 1)
				if _, err := rows.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: Key("chat", "a"), Value: []byte(value)}}}); err != nil {
					t.Fatal(err)
				}
				waitUntil(t, "the end of the first tenure", func() bool { return !a.holds() })
				took := waitUntil(t, "the next tenure", func() bool { return a.holds() || b.holds() })
				if took > 3*DefaultTTL || took < DefaultTTL/2 {
					t.Errorf("the lease was taken after %v", took)
				}
				for _, c := range []*contender{a, b} {
					if l := c.current(); c.holds() && l.Fence() <= before {
						t.Errorf("fence %d after %d", l.Fence(), before)
					}
				}
				time.Sleep(time.Minute)
				if a.holds() == b.holds() {
					t.Errorf("held by the first: %v, by the second: %v", a.holds(), b.holds())
				}
			})
		})
	}
}
