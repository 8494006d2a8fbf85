package relay

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestArrivalPayments(t *testing.T) {
	a := arrivals{}
	got := []payment{a.prefill(), a.run(false)}
	a.retries++
	got = append(got, a.prefill(), a.run(true), a.run(false))
	want := []payment{paidByFirst, paidByFirst, paidByRetry, paidByBackup, unpaid}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("payments (-want +got):\n%s", diff)
	}
}
