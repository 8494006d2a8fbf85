package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/internal/pipenet"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/weightstore"
)

// TestMissedAnnouncementReachesPeersByReports drops every announcement that an engine is
// leaving. In a zone too large for each entry to poll every engine, the other entries then
// get the leaving state from the shared reports, and send no new work to the engine after
// leaving.MaxStopDelay. There is no platform at all.
func TestMissedAnnouncementReachesPeersByReports(t *testing.T) {
	const vms, engines = 5, directPollLimit + 8
	for at := time.Duration(0); at < leaving.EndpointPollInterval; at += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			entries, stop := idleZone(t, vms, engines)
			defer stop()
			poller := entries[0].reports
			entries[0].common.announce = func(context.Context, string, string) {}
			start := time.Now()
			var polls sync.WaitGroup
			polls.Go(func() {
				for n := range 8 {
					isLeaving := time.Since(start) >= at+leaving.EndpointPollInterval
					state := engine.State{
						Incarnation: "first", Role: engine.Mixed, Leaving: isLeaving,
						Loaded: []weightstore.Artifact{{Model: "chat", Version: "1"}},
						Load:   engine.Load{Sequence: uint64(n + 1)},
					}
					report := fleet.Report{Endpoint: engineName(0), State: state, MeasuredAt: entries[0].common.now()}
					entries[0].common.store.ApplyReports(entries[0].common.now(), report)
					poller.recordPolled(report)
					time.Sleep(leaving.EndpointPollInterval)
				}
			})
			defer polls.Wait()
			time.Sleep(at + leaving.EndpointPollInterval + leaving.MaxStopDelay)
			for i, e := range entries {
				available := e.common.store.Snapshot().Engines(weightstore.Artifact{Model: "chat"}, engine.Mixed)
				if len(available) != engines-1 {
					t.Errorf("leaving at %v: entry %d may use %d engines, want %d", at, i, len(available), engines-1)
				}
			}
		})
	}
}

// idleZone returns the entries of a zone, which have the same roster and share their
// reports but poll no engine.
func idleZone(t *testing.T, vms, engines int) (entries []*Entry, stop func()) {
	n := pipenet.NewNetwork()
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	roster := contact.Roster{}
	var servers []*http.Server
	for i := range vms {
		address := fmt.Sprintf("10.0.1.%d:7100", i+1)
		p := &settings.Process{VM: fmt.Sprint("vm", i+1), Zone: "a", Peers: address, Advertise: address}
		e := idleEntryOn(t, n.Network(), p, engines)
		_, handler := e.server.Handler()
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(e.listeners.peers) }()
		servers = append(servers, server)
		roster = roster.Join("a", p.VM, address)
		entries = append(entries, e)
	}
	for _, e := range entries {
		e.member.RecordJoin(roster, time.Now())
		loops.Go(func() { e.exchanger.Run(ctx) })
		loops.Go(func() { e.reports.runSharing(ctx) })
	}
	return entries, func() {
		cancel()
		loops.Wait()
		for _, s := range servers {
			_ = s.Close()
		}
	}
}
