package origin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/network"
)

// A VM answers with what it knows, and one of an older build with nothing. One that is down gives no answer.
func TestVMsAnswerEachOther(t *testing.T) {
	tracker := New(Config{Window: func() time.Duration { return testWindow }})
	d := directory.New(func(_, next *directory.Snapshot) { tracker.SetEndpoints(next) })
	software := directory.Software{Service: "llm", Version: "v1"}
	d.Put(directory.Registration{ID: "i", Service: software.Service, SoftwareVersion: software.Version})
	tracker.SetCurrent(true)
	tracker.ledger.put(tracker.cfg.Now(), 7, softwareHash(software))
	mux := http.NewServeMux()
	mux.Handle(PathPrefix, tracker.Handler())
	vm, older, down := httptest.NewServer(mux), httptest.NewServer(http.NotFoundHandler()), httptest.NewServer(http.NotFoundHandler())
	defer vm.Close()
	defer older.Close()
	down.Close()
	client := NewClient(network.TCP())
	for _, tc := range []struct {
		name   string
		server *httptest.Server
		stream uint64
		want   Answer
		fails  bool
	}{
		{"a record", vm, 7, Answer{Software: softwareHash(software), Versions: []uint32{softwareHash(software)}, Current: true}, false},
		{"no record", vm, 8, Answer{Versions: []uint32{softwareHash(software)}, Current: true}, false},
		{"an older build", older, 7, Answer{}, false},
		{"a VM that is down", down, 7, Answer{}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := client.Find(t.Context(), strings.TrimPrefix(tc.server.URL, "http://"), tc.stream, "llm")
			if got.Age > time.Second {
				t.Errorf("the record is %v old", got.Age)
			}
			got.Age = 0
			if diff := cmp.Diff(tc.want, got); diff != "" || (err != nil) != tc.fails {
				t.Errorf("%v, %s", err, diff)
			}
		})
	}
}
