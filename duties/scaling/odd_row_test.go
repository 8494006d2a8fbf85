package scaling

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// Guards against a service whose endpoints are never restored because its row holds no base: the row is replaced by a base
// determined anew.
func TestOddBaseIsReplaced(t *testing.T) {
	for name, value := range map[string]string{
		"nothing": "", "null": "null", "another type": `"many"`, "deeply nested": strings.Repeat("[", 200_000), "too large a number": `{"base":1e999}`,
		"zero": `{"base":0}`, "negative": `{"base":-5}`, "a fraction": `{"base":1.5}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p, rows := newPlatform(t), memtable.New()
				if _, err := rows.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: baseKey("llm"), Value: []byte(value)}}}); err != nil {
					t.Fatal(err)
				}
				simulate(t, p, rows, 30, func(int) {}, func(time.Duration, int) {})
				p.lose("z1")
				simulate(t, p, rows, 40, func(int) {}, func(time.Duration, int) {})
				p.mu.Lock()
				defer p.mu.Unlock()
				if n := len(p.endpoints[zoneKey{"llm", "z1", true}]) + len(p.endpoints[zoneKey{"llm", "z1", false}]); n == 0 {
					t.Error("nothing was ordered in a zone without endpoints")
				}
				if base, _, err := readBase(t.Context(), rows, "llm"); err != nil || base != testBase {
					t.Errorf("the stored base is %d, %v", base, err)
				}
			})
		})
	}
}
