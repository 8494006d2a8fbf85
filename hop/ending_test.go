package hop_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
)

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstChunk  = "2\r\nab\r\n"
)

// Replies of an endpoint that then keeps the connection open until the VM closes it.
var unfinished = map[string]string{
	"before the head": "",
	"after the head":  chunkedHead,
	"in the body":     chunkedHead + firstChunk,
}

// endedAt waits until the VM has closed a connection to the endpoint, and returns when.
func (s *site) endedAt() time.Time {
	<-s.ended
	return time.Now()
}

// When the first VM gives up, the request to the endpoint ends at once.
func TestCancelReachesTheEndpoint(t *testing.T) {
	for name, response := range unfinished {
		t.Run(name, func(t *testing.T) {
			inSite(t, raw(response), func(t *testing.T, s *site) {
				ctx, cancel := context.WithCancel(t.Context())
				start := time.Now()
				time.AfterFunc(time.Second, cancel)
				got, err := s.do(ctx, get())
				if err == nil {
					_, err = io.Copy(io.Discard, got)
					got.Close()
				}
				if !errors.Is(err, context.Canceled) && !errors.Is(ctx.Err(), context.Canceled) || err == nil {
					t.Errorf("got %v", err)
				}
				if took := s.endedAt().Sub(start); took != time.Second {
					t.Errorf("the request to the endpoint ended after %v, want 1s", took)
				}
			})
		})
	}
}

// hopRequest returns the bytes of a request of another VM.
func hopRequest(deadline time.Duration, body string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nSpringweir-Hop: vm-a\r\nSpringweir-Attempt: a\r\nSpringweir-Endpoint: e1\r\n"+
		"Springweir-Incarnation: e1@7\r\nSpringweir-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", deadline.Milliseconds(), len(body), body)
}

func (s *site) dialVM() net.Conn {
	s.t.Helper()
	c, err := s.network.Dial(s.t.Context(), "tcp", vmAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// The VM ends a request at its deadline, whatever the first VM does, and whether or not that reads.
func TestDeadlineOfTheVM(t *testing.T) {
	const deadline = 2 * time.Second
	for name, response := range unfinished {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reads: %t", name, reads), func(t *testing.T) {
				inSite(t, raw(response), func(t *testing.T, s *site) {
					s.cfg.MaxConcurrent = 1
					s.startVM()
					c := s.dialVM()
					defer c.Close()
					start := time.Now()
					if _, err := io.WriteString(c, hopRequest(deadline, "body")); err != nil {
						t.Fatal(err)
					}
					if !reads {
						if took := s.endedAt().Sub(start); took != deadline {
							t.Errorf("ended after %v, want %v", took, deadline)
						}
						return
					}
					got, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						t.Fatal(err)
					}
					body, err := io.ReadAll(got.Body)
					if response == "" {
						if reason := got.Header.Get(wire.HeaderReason); reason != string(failure.EndpointBroke) || err != nil {
							t.Errorf("reason %q, %v", reason, err)
						}
					} else if err == nil {
						t.Errorf("the response looks complete: %q", body)
					}
					if took := s.endedAt().Sub(start); took != deadline {
						t.Errorf("ended after %v, want %v", took, deadline)
					}
				})
			})
		}
	}
}

// A VM that stops reading in the middle of a long response holds the request until its deadline only.
func TestFirstVMStopsReading(t *testing.T) {
	const deadline = 2 * time.Second
	long := strings.Repeat("x", 1<<20)
	inSite(t, raw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)), func(t *testing.T, s *site) {
		s.cfg.MaxConcurrent = 1
		s.startVM()
		c := s.dialVM()
		defer c.Close()
		if _, err := io.WriteString(c, hopRequest(deadline, "")); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(deadline - time.Millisecond)
		var busy *hop.Error
		if _, err := s.do(t.Context(), get()); !errors.As(err, &busy) || !busy.Busy {
			t.Errorf("before the deadline: got %v", err)
		}
		time.Sleep(2 * time.Millisecond)
		response, err := s.do(t.Context(), get())
		if err != nil {
			t.Fatalf("after the deadline: %v", err)
		}
		body, err := response.ReadAll(int64(len(long)))
		response.Close()
		if string(body) != long || err != nil {
			t.Errorf("got %d bytes, %v", len(body), err)
		}
	})
}

// A request that does not arrive completely is not passed on, whether its connection closes or the
// rest never comes.
func TestRequestBreaksOff(t *testing.T) {
	for _, closes := range []bool{true, false} {
		t.Run(fmt.Sprintf("closes: %t", closes), func(t *testing.T) {
			inSite(t, raw(emptyOK), func(t *testing.T, s *site) {
				s.cfg.MaxConcurrent = 1
				s.startVM()
				c := s.dialVM()
				defer c.Close()
				request := hopRequest(time.Second, "body")
				if _, err := io.WriteString(c, request[:len(request)-1]); err != nil {
					t.Fatal(err)
				}
				if closes {
					_ = c.Close()
				} else {
					go func() { _, _ = io.Copy(io.Discard, c) }()
					time.Sleep(time.Second)
				}
				synctest.Wait()
				if n := len(s.requests()); n != 0 {
					t.Errorf("%d requests reached the endpoint", n)
				}
				response, err := s.do(t.Context(), get())
				if err != nil {
					t.Fatalf("the next request: %v", err)
				}
				response.Close()
			})
		})
	}
}

// The VM is told the time that is left when the request is written, and ends with the first VM's
// deadline.
func TestDeadlineIsSent(t *testing.T) {
	inSite(t, raw(""), func(t *testing.T, s *site) {
		var got []string
		handler := s.vm.Handler
		s.vm.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got = append(got, r.Header.Get(wire.HeaderDeadline), r.Header.Get(wire.HeaderHop))
			handler.ServeHTTP(w, r)
		})
		ctx, cancel := clock.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		out := get()
		out.BeforeWrite = func(*h1.Request) error {
			time.Sleep(time.Second)
			return nil
		}
		start := time.Now()
		_, err := s.do(ctx, out)
		// Both VMs give up at the same time. Either way it is unknown whether the request ran.
		if failure.ReasonOf(err) != failure.EndpointBroke {
			t.Errorf("got %v", err)
		}
		if took := s.endedAt().Sub(start); took != 3*time.Second {
			t.Errorf("ended after %v, want 3s", took)
		}
		if want := []string{"2000", "vm-a"}; !slices.Equal(got, want) {
			t.Errorf("the VM was told %q, want %q", got, want)
		}
	})
}

func TestMalformedDeadline(t *testing.T) {
	for _, value := range []string{"0", "-1", "soon", "99999999999999999999"} {
		inSite(t, raw(emptyOK), func(t *testing.T, s *site) {
			c := s.dialVM()
			defer c.Close()
			request := strings.Replace(hopRequest(time.Second, ""), wire.HeaderDeadline+": 1000", wire.HeaderDeadline+": "+value, 1)
			if _, err := io.WriteString(c, request); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			failed, err := hop.ReadFailure(response.Header, response.Body)
			if err != nil || failed.Code != failure.BadRequest || failed.Ran != failure.NotRun {
				t.Errorf("%s: got %v, %v", value, failed, err)
			}
		})
	}
}

// A planned stop waits for the requests under way and passes their responses on completely.
func TestShutdownWaits(t *testing.T) {
	reply := func(c net.Conn, _ rawRequest) bool {
		_, _ = io.WriteString(c, chunkedHead+firstChunk)
		time.Sleep(3 * time.Second)
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	inSite(t, reply, func(t *testing.T, s *site) {
		response, err := s.do(t.Context(), get())
		if err != nil {
			t.Fatal(err)
		}
		defer response.Close()
		start := time.Now()
		stopped := make(chan time.Duration, 1)
		go func() {
			if err := s.vm.Shutdown(t.Context()); err != nil {
				t.Error(err)
			}
			stopped <- time.Since(start)
		}()
		body, err := response.ReadAll(100)
		if string(body) != "ab" || err != nil {
			t.Errorf("got %q, %v", body, err)
		}
		if took := <-stopped; took < 3*time.Second {
			t.Errorf("stopped after %v, while the request was under way", took)
		}
	})
}

// Drain waits for the request under way, after which others are refused.
func TestDrain(t *testing.T) {
	reply := func(c net.Conn, _ rawRequest) bool {
		time.Sleep(3 * time.Second)
		_, err := io.WriteString(c, emptyOK)
		return err == nil
	}
	inSite(t, reply, func(t *testing.T, s *site) {
		start, drained := time.Now(), make(chan time.Duration, 1)
		time.AfterFunc(time.Second, func() {
			if err := s.server.Drain(t.Context()); err != nil {
				t.Error(err)
			}
			drained <- time.Since(start)
		})
		response, err := s.do(t.Context(), get())
		if err != nil {
			t.Fatal(err)
		}
		response.Close()
		if took := <-drained; took != 3*time.Second {
			t.Errorf("drained after %v, want 3s", took)
		}
		var busy *hop.Error
		if _, err := s.do(t.Context(), get()); !errors.As(err, &busy) || !busy.NotRun() {
			t.Errorf("a request after the drain: %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := s.server.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a drain that cannot end: %v", err)
		}
	})
}
