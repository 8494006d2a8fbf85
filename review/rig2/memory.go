package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/platform/standin"
)

const (
	// memoryMB is memory-mb of the machines, over which the platform kills a process.
	memoryMB = 184
	// routesMore is what each big_config adds, and timesMore how often it comes.
	routesMore, timesMore = 1400, 3
	// stormFor and stormGap are those of a config_storm.
	stormFor, stormGap = 4 * time.Second, 250 * time.Millisecond
	// calm is the time without a change before the first storm. storms is the time for storms at most.
	calm, storms = 10 * time.Second, 88 * time.Second
	// startedAgain is how long after its end the platform starts a process again.
	startedAgain = 300 * time.Millisecond
	// streamTime is how long a stream lasts, and streamDeadline the time of its client.
	streamEvents, streamPace, streamDeadline = 20, 100 * time.Millisecond, 15 * time.Second
)

// streamed is one stream of a client.
type streamed struct {
	id, gateway    string
	sentAt, ended  time.Time
	status, events int
	whole          bool
}

// streamClients keep streams open at each gateway.
type streamClients struct {
	record *record
	next   atomic.Int64

	mu   sync.Mutex
	list []streamed
}

// stream sends a request and reads its answer to the end.
func (c *streamClients) stream(ctx context.Context, g *gateway) streamed {
	s := streamed{id: fmt.Sprintf("%016x", 0x2c41d07be2a30000+c.next.Add(1)), gateway: g.name, sentAt: time.Now()}
	defer func() { s.ended = time.Now() }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+"/reply/"+s.id, strings.NewReader("a short question"))
	if err != nil {
		return s
	}
	request.Host = host
	for name, value := range map[string]string{
		"Request-Id": s.id, wire.Deadline: strconv.Itoa(int(streamDeadline.Milliseconds())),
		wire.Model: "m", wire.Tokens: "220,90", wire.Prefix: "5c1e07a2:79," + s.id + ":141",
	} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			s.events++
		}
	}
	s.whole = lines.Err() == nil
	_, _ = io.Copy(io.Discard, response.Body) // at its end
	return s
}

// run keeps n streams open at a gateway until ctx ends. Those that are open then are not judged.
func (c *streamClients) run(ctx context.Context, g *gateway, n int) {
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for ctx.Err() == nil {
				s := c.stream(ctx, g)
				if ctx.Err() != nil {
					return
				}
				s.ended = time.Now()
				c.record.addAt(s.sentAt, "sent: %s to %s; status %d, %d events, whole: %t, after %d ms", s.id, s.gateway, s.status, s.events, s.whole, s.ended.Sub(s.sentAt).Milliseconds())
				c.mu.Lock()
				c.list = append(c.list, s)
				c.mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// resident returns the resident memory of a process in bytes.
func (g *gateway) resident() int {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb << 10
		}
	}
	return 0
}

// watchMemory does as the platform: it kills a process over memory-mb, and starts it again.
func watchMemory(ctx context.Context, r *record, g *gateway, killed *atomic.Int64) {
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(50 * time.Millisecond)
		bytes := g.resident()
		if round%100 == 0 {
			r.add("%s: %d MB resident", g.name, bytes>>20)
		}
		if bytes <= memoryMB<<20 {
			continue
		}
		r.add("%s: %d MB resident, over memory-mb = %d: killed by the platform", g.name, bytes>>20, memoryMB)
		g.kill()
		killed.Add(1)
		time.Sleep(startedAgain)
		if ctx.Err() == nil && g.start() != nil {
			return
		}
	}
}

// configOf returns a configuration with some routes more than the one that is used.
func configOf(version, more int) config {
	reply := route("/reply/", "assistant", "streaming", 15000)
	reply["max-attempts"], reply[wire.Pause] = 1, 200
	c := config{Version: version, Routes: []map[string]any{reply}, Limits: usualLimits(), Services: []map[string]any{{
		"name": "assistant", "health-path": "/health", "max-conns": 580,
		"engine": map[string]any{"slots": 32, "kv-capacity": 872000, "kv-token-bytes": 131072, "link-mbps": 5.9e6, "handle-ttl-s": 5, "switch-s": 3, "models": []map[string]any{{"name": "m"}}},
	}}}
	for i := range more {
		added := route(fmt.Sprintf("/pule%06x/", i*7919), "assistant", "idempotent", 1000)
		added["name"] = fmt.Sprintf("r-pule%06x", i*7919)
		if i == 0 {
			added["timeout-ms"] = 1000 + version%7 // what a version changes
		}
		c.Routes = append(c.Routes, added)
	}
	return c
}

// playConfigHistory lets the configuration grow, and then come in quick succession.
func playConfigHistory(r *record, trouble bool) (outcome, error) {
	s, err := newSite(r)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	s.memoryMB = memoryMB
	version := 3
	if err := s.put("op", "config", configOf(version, 0)); err != nil {
		return notRun, err
	}
	var engines []*standin.Endpoint
	for i := range 4 {
		e, err := standin.NewEndpoint(s.store, standin.EndpointOptions{
			Service: "assistant", Zone: "a", Stage: []string{"decode", "prefill", "decode", "decode"}[i], WorkDuration: streamPace, Events: streamEvents, Capacity: standin.Capacity{Slots: 32},
		})
		if err != nil {
			return notRun, err
		}
		defer e.Close()
		engines = append(engines, e)
	}
	gateways, err := s.startGateways(3)
	if err != nil {
		return notRun, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var killed atomic.Int64
	var all sync.WaitGroup
	clients := &streamClients{record: r}
	for _, g := range gateways {
		all.Go(func() { clients.run(ctx, g, 6) })
		all.Go(func() { watchMemory(ctx, r, g, &killed) })
	}
	for n := range timesMore {
		time.Sleep(time.Second)
		version++
		if err := s.put("op", "config", configOf(version, (n+1)*routesMore)); err != nil {
			return notRun, err
		}
		r.add("operator: version %d, the configuration has grown by %d routes", version, routesMore)
	}
	time.Sleep(calm)
	from := time.Now()
	for trouble && time.Since(from) < storms && killed.Load() < int64(len(gateways)) {
		begin := version
		for storm := time.Now(); time.Since(storm) < stormFor; time.Sleep(stormGap) {
			version++
			if err := s.put("op", "config", configOf(version, timesMore*routesMore)); err != nil {
				return notRun, err
			}
		}
		r.add("operator: versions %d to %d, one each %v", begin+1, version, stormGap)
	}
	if !trouble {
		time.Sleep(storms)
	}
	time.Sleep(2 * time.Second)
	stop()
	all.Wait()
	r.add("processes over memory-mb, killed: %d", killed.Load())
	return judgeStreams(r, clients, engines, from), nil
}

// judgeStreams returns whether a gateway cut requests beside the configurations that it had passed on to an endpoint, and over
// three times as often as at other times. Before the first storm no configuration was new for as long as it counts.
func judgeStreams(r *record, c *streamClients, engines []*standin.Endpoint, from time.Time) outcome {
	ran := map[string]bool{}
	for _, e := range engines {
		for _, run := range e.Runs() {
			ran[run.ID] = true
		}
	}
	type counts struct{ before, beside, cutBefore, cutBeside int }
	each := map[string]*counts{}
	for _, s := range c.list {
		n := each[s.gateway]
		if n == nil {
			n = &counts{}
			each[s.gateway] = n
		}
		cut := ran[s.id] && !(s.whole && s.status != 0) && s.ended.Sub(s.sentAt) < streamDeadline*7/10
		if s.ended.Before(from) {
			n.before++
			if cut {
				n.cutBefore++
			}
			continue
		}
		n.beside++
		if cut {
			n.cutBeside++
			r.addAt(s.ended, "cut: %s at %s, passed on to an endpoint, after %d events", s.id, s.gateway, s.events)
		}
	}
	found := held
	for _, name := range slices.Sorted(maps.Keys(each)) {
		n := each[name]
		r.add("%s: requests before the storms: %d, cut: %d; beside them: %d, cut: %d", name, n.before, n.cutBefore, n.beside, n.cutBeside)
		switch {
		case n.before == 0 || n.beside == 0:
			return notRun
		case n.cutBeside > 0 && n.cutBeside*n.before > 3*n.cutBefore*n.beside:
			found = broken
		}
	}
	if len(each) == 0 {
		return notRun
	}
	return found
}
