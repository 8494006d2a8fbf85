package engine

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/loopback"
)

// checkOrderUnknown fails the test if a response with the head and a refusal as its body says that an order did not run.
func checkOrderUnknown(t *testing.T, head string) {
	t.Helper()
	const refusal = `{"reason":"engine-busy","message":"another order runs","not_run":true}`
	address := loopback.Answer(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(refusal), refusal))
	client := NewClient(Options{Address: address})
	defer client.Close()
	_, err := client.Order(t.Context(), Order{ID: "o1", Fence: 1, Incarnation: "i1"}, time.Now().Add(time.Second))
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) || !unreachable.Sent {
		t.Errorf("%q gave %v", head, err)
	}
}

// Guards against an order that counts as refused by a response that is none.
func TestStatusBelow100IsNoRefusal(t *testing.T) {
	checkOrderUnknown(t, "HTTP/1.1 000 In Trouble\r\n")
}

// Guards against the same of a head with a malformed field name.
func TestMalformedFieldNamesAreNoRefusal(t *testing.T) {
	checkOrderUnknown(t, "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding : chunked\r\n")
}
