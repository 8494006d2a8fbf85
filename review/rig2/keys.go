package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/platform/standin"
)

const (
	keptKey    = "kkept8qjnirth5mgjy5r"
	revokedKey = "krevoked4vhhkmgjqnir"
	// revokeWithin is revoke-ms.
	revokeWithin = 5 * time.Second
	// copyAge is how old the copy is from which the store comes back, and storeAway how long it is away.
	copyAge, storeAway = 6 * time.Second, 300 * time.Millisecond
	// writtenAgain is how long after its return the operator and the endpoints write again what they wrote.
	writtenAgain = 2 * time.Second
)

// asked is one request with a key.
type asked struct {
	id, key, gateway string
	sentAt           time.Time
}

// asker sends requests with both keys to the gateways.
type asker struct {
	record *record
	next   atomic.Int64

	mu   sync.Mutex
	sent map[string]asked
}

// ask sends one request over a new connection and records its answer.
func (a *asker) ask(g *gateway, key string) (status int, id string) {
	id = fmt.Sprintf("%016x", 0x1c41d07be2a30000+a.next.Add(1))
	request, err := http.NewRequest(http.MethodGet, "http://"+g.callers+"/lookup/7", nil)
	if err != nil {
		return 0, id
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set(wire.Deadline, "600")
	request.Header.Set("Authorization", "Bearer "+key)
	a.mu.Lock()
	a.sent[id] = asked{id: id, key: key, gateway: g.name, sentAt: time.Now()}
	a.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, id
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, id
	}
	return response.StatusCode, id
}

// askAll sends a request with each key to each gateway every 50 ms until ctx ends.
func (a *asker) askAll(ctx context.Context, list []*gateway) {
	var all sync.WaitGroup
	for _, g := range list {
		for _, key := range []string{keptKey, revokedKey} {
			all.Go(func() {
				for ctx.Err() == nil {
					at := time.Now()
					status, id := a.ask(g, key)
					a.record.addAt(at, "sent: request %s to %s with key %s; answered %d after %d ms", id, g.name, key[:5], status, time.Since(at).Milliseconds())
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	all.Wait()
}

// playRevokedKey takes a key away, and more than revoke-ms later has the store come back from a copy while a gateway is
// started again.
func playRevokedKey(r *record, trouble bool) (outcome, error) {
	s, err := newSite(r)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	configOf := func(version int, keys ...string) config {
		return config{
			Version: version, Routes: []map[string]any{route("/lookup/", "register", "idempotent", 600)},
			Services: []map[string]any{{"name": "register", "health-path": "/health", "max-conns": 300}}, Limits: usualLimits(),
			Tenants: []map[string]any{{"name": "yard", "api-keys": keys}},
		}
	}
	if err := s.put("op", "config", configOf(3, keptKey, revokedKey)); err != nil {
		return notRun, err
	}
	var endpoints []*standin.Endpoint
	for range 3 {
		e, err := standin.NewEndpoint(s.store, standin.EndpointOptions{Service: "register", Zone: "a", WorkDuration: 15 * time.Millisecond})
		if err != nil {
			return notRun, err
		}
		defer e.Close()
		endpoints = append(endpoints, e)
	}
	gateways, err := s.startGateways(3)
	if err != nil {
		return notRun, err
	}
	a := &asker{record: r, sent: map[string]asked{}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	over := make(chan struct{})
	go func() {
		a.askAll(ctx, gateways)
		close(over)
	}()
	time.Sleep(3 * time.Second)
	copied := s.store.Backup()
	r.add("store: copy taken")
	time.Sleep(500 * time.Millisecond)
	if err := s.put("op", "config", configOf(5, keptKey)); err != nil {
		return notRun, err
	}
	revokedAt := time.Now()
	r.add("operator: configuration 5 acknowledged, key %s is taken away", revokedKey[:5])
	time.Sleep(copyAge - 500*time.Millisecond - storeAway)
	if trouble {
		if err := drill(r, s, copied, gateways[2], func() error { return s.put("op", "config", configOf(5, keptKey)) }, endpoints); err != nil {
			return notRun, err
		}
	} else {
		time.Sleep(storeAway + writtenAgain)
	}
	time.Sleep(2 * time.Second)
	stop()
	<-over
	return judgeKeys(r, a, endpoints, revokedAt), nil
}

// drill has the store come back from a copy, with a gateway that is killed as it goes away and started again as it returns.
func drill(r *record, s *site, copied standin.Backup, g *gateway, writeConfig func() error, endpoints []*standin.Endpoint) error {
	s.store.SetFault(standin.Reset)
	r.add("store: away")
	g.kill()
	r.add("%s: killed", g.name)
	time.Sleep(storeAway)
	s.store.Restore(copied)
	s.store.SetFault(standin.Healthy)
	returned := time.Now()
	r.add("store: back from the copy, Store-Era %d", s.store.Era())
	if err := g.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(returned.Add(writtenAgain)))
	if err := writeConfig(); err != nil {
		return err
	}
	for _, e := range endpoints {
		e.Heartbeat()
	}
	r.add("store: the operator and the endpoints have written again what they wrote")
	return nil
}

// judgeKeys returns whether a request with the revoked key ran that was sent more than revoke-ms after the ack.
func judgeKeys(r *record, a *asker, endpoints []*standin.Endpoint, revokedAt time.Time) outcome {
	late, kept := 0, 0
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range endpoints {
		for _, run := range e.Runs() {
			sent := a.sent[run.ID]
			if sent.key == keptKey {
				kept++
			}
			after := sent.sentAt.Sub(revokedAt)
			if sent.key != revokedKey || after <= revokeWithin {
				continue
			}
			late++
			r.addAt(run.StartedAt, "ran: request %s with the revoked key, sent to %s %.3f s after the ack, runs at %s (%s)", run.ID, sent.gateway, after.Seconds(), e.ID, strings.TrimSpace(run.Target))
		}
	}
	r.add("runs with the kept key: %d; with the revoked key, sent more than %v after the ack: %d", kept, revokeWithin, late)
	switch {
	case kept == 0:
		return notRun
	case late > 0:
		return broken
	}
	return held
}
