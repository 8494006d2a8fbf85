package forward_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
	standin "github.com/springweir/springweir/standin/engine"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/weightstore"
)

// standIn starts a stand-in engine behind its own listener.
func standIn(t *testing.T, name string) (*httptest.Server, *engine.Client) {
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	s := standin.New(standin.Options{
		Address: address, Incarnation: name, Role: engine.Mixed, Params: enginemodel.DefaultParams(),
		Loaded: []weightstore.Artifact{{Model: "m"}},
	})
	server.Config.Handler = s
	server.Start()
	ctx, stop := context.WithCancel(t.Context())
	go s.Run(ctx)
	client := engine.NewClient(engine.Options{Address: address})
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
		stop()
	})
	return server, client
}

// kvMutator alters the reference of an exported KV cache in transit.
type kvMutator struct {
	forward.Generator
	mutate func(*engine.KVRef)
}

// Generate implements forward.Generator.
func (s kvMutator) Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	stream, err := s.Generator.Generate(ctx, req)
	return kvMutatorStream{stream, s.mutate}, err
}

type kvMutatorStream struct {
	engine.Stream
	mutate func(*engine.KVRef)
}

// Next implements engine.Stream.
func (s kvMutatorStream) Next(ctx context.Context) (engine.Frame, error) {
	f, err := s.Stream.Next(ctx)
	if f.KV != nil {
		s.mutate(f.KV)
	}
	return f, err
}

// TestStandInsOverHTTP runs generations through the real clients and stand-in engines, whose text
// depends on prompt, position and imported cache.
func TestStandInsOverHTTP(t *testing.T) {
	tests := []struct {
		name       string
		mutate     func(*engine.KVRef)
		disconnect bool
	}{
		{"handed over", func(*engine.KVRef) {}, false},
		{"cache is not the one named", func(kv *engine.KVRef) { kv.Digest = "0" }, false},
		{"cache is gone", func(kv *engine.KVRef) { kv.Handle += "x" }, false},
		{"exporter restarted", func(kv *engine.KVRef) { kv.Incarnation = "old" }, false},
		{"serving engine cut off in the stream", func(*engine.KVRef) {}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, a := standIn(t, "a1")
			server, b := standIn(t, "b1")
			router := fakeforward.Router{
				Targets:       []forward.Target{{Name: "b", Engine: b}, {Name: "a", Engine: a}},
				PrefillTarget: &forward.Target{Name: "a", Engine: kvMutator{a, tt.mutate}},
			}
			f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}})
			work := testWork()
			work.Deadline = time.Now().Add(time.Minute)
			var sink fakeforward.Sink
			sink.BeforeEmit = func(n int) error {
				if tt.disconnect && n == 3 {
					server.CloseClientConnections()
				}
				return nil
			}
			if _, err := f.Generate(t.Context(), work, &sink); err != nil {
				t.Fatal(err)
			}
			f.Wait()
			if diff := cmp.Diff(enginemodel.AnswerText(testPrompt, 0, 12), sink.Text.String()); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
		})
	}
}
