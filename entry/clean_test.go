package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/claim"
)

// TestClaimsAreCleaned checks that an entry deletes claims after the claim-retention of
// their service, and keeps those of other services.
func TestClaimsAreCleaned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.extraSettings = "[service \"brief\"]\nclaim-retention = 10m\n[endpoint \"brief-1\"]\nzone = a\nservice = brief\naddress = " + o.listenAt(2, 9600) + "\n"
		s := newTestZone(t, o)
		defer s.shutDown()
		s.listenFor(s.services, o.listenAt(2, 9600))
		claims := func() []string {
			rows, err := s.rows.Scan(t.Context(), claim.Table, "", "", 10)
			if err != nil {
				t.Fatal(err)
			}
			var keys []string
			for _, row := range rows {
				keys = append(keys, row.Key.Row)
			}
			return keys
		}
		for _, service := range []string{"brief", "slots"} {
			status, _, _ := s.do(t.Context(), request{
				method: http.MethodPost, path: "/s/" + service + "/confirm",
				header: map[string]string{"Idempotency-Key": "k1"},
			})
			if status != http.StatusOK {
				t.Fatalf("%s: status %d", service, status)
			}
		}
		got := [][]string{claims()}
		time.Sleep(9 * time.Minute)
		got = append(got, claims())
		time.Sleep(3 * time.Minute)
		got = append(got, claims())
		both := []string{"trial/brief/k1", "trial/slots/k1"}
		if diff := cmp.Diff([][]string{both, both, {"trial/slots/k1"}}, got); diff != "" {
			t.Errorf("claims at the start, after 9 and after 12 minutes (-want +got):\n%s", diff)
		}
	})
}
