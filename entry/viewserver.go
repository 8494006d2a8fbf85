package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/peer/viewpb"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/weightstore"
)

// viewServer implements viewpb.View: what this entry sees, for the controllers
// of its zone and for the entries of other zones. It only reads.
type viewServer struct{ e *Entry }

// Demand implements viewpb.View.
func (s *viewServer) Demand(_ context.Context, req *viewpb.DemandRequest) (*viewpb.DemandResponse, error) {
	d := s.e.common.expected.demand(req.Pool)
	resp := &viewpb.DemandResponse{WindowMs: d.Window.Milliseconds()}
	for _, c := range d.Classes {
		resp.Classes = append(resp.Classes, &viewpb.DemandClass{
			Kind: int32(c.Kind), Rate: c.Rate, Prompt: c.Prompt, Output: c.Output,
			DeadlineMs: c.Deadline.Milliseconds(),
		})
	}
	for a, rate := range s.e.common.expected.artifacts() {
		if s.e.cat.poolOf(a.Model) != req.Pool {
			continue
		}
		resp.Artifacts = append(resp.Artifacts, &viewpb.ArtifactDemand{
			Model: a.Model, Adapter: a.Adapter, Version: a.Version, Rate: rate,
		})
	}
	return resp, nil
}

// Fleet implements viewpb.View.
func (s *viewServer) Fleet(_ context.Context, req *viewpb.FleetRequest) (*viewpb.FleetResponse, error) {
	resp := &viewpb.FleetResponse{
		Vm:       s.e.process.VM,
		Zone:     s.e.process.Zone,
		Config:   uint64(s.e.applier.Current().Version),
		Standing: string(s.e.member.Status()),
	}
	if req.Brief {
		return resp, nil
	}
	resp.Roster = s.e.member.Roster().Encode()
	now := s.e.common.now()
	for _, endpoint := range s.e.common.store.Snapshot().Endpoints() {
		resp.Endpoints = append(resp.Endpoints, s.view(endpoint, now))
	}
	return resp, nil
}

func (s *viewServer) view(e *fleet.Endpoint, now time.Duration) *viewpb.EndpointView {
	return &viewpb.EndpointView{
		Name:          e.Name,
		Pool:          e.Pool,
		Service:       e.Service,
		Role:          string(e.Role),
		Incarnation:   e.Incarnation,
		Streams:       uint32(s.e.gate.Streams(e.Name)),
		Leaving:       e.Leaving || e.SelfLeaving,
		Withheld:      s.e.gate.Withheld(e.Name),
		Ejected:       e.Health.Phase != health.Healthy,
		Known:         e.Reported || e.Kind == fleet.Service,
		AgeMs:         e.Age(now).Milliseconds(),
		Loaded:        loadedArtifacts(e.Loaded),
		Waiting:       int32(e.Load.Waiting),
		Running:       int32(e.Load.Running),
		WaitingTokens: int64(e.Load.WaitingTokens),
		DecodeTokens:  int64(e.Load.DecodeTokens),
		KvUsed:        int64(e.Load.KVUsed),
		KvTotal:       int64(e.Load.KVTotal),
	}
}

func loadedArtifacts(list []weightstore.Artifact) []*viewpb.LoadedArtifact {
	var out []*viewpb.LoadedArtifact
	for _, a := range list {
		out = append(out, &viewpb.LoadedArtifact{Model: a.Model, Adapter: a.Adapter, Version: a.Version})
	}
	return out
}

// Room implements viewpb.View. An entry that is about to stop has none, and
// neither has one with requests of its own waiting.
func (s *viewServer) Room(_ context.Context, req *viewpb.RoomRequest) (*viewpb.RoomResponse, error) {
	if s.e.stopping.Load() {
		return &viewpb.RoomResponse{}, nil
	}
	c := s.e.common
	return roomResponse(roomOf(c.store.Snapshot(), c.now(), s.e.upstreams.waiting(), c.zones.entriesElsewhere()), req.Held), nil
}

// roomOf is the room that this entry offers an entry of another zone, of which
// there are so many senders. The speeds are the default ones: the zone's pools
// may have several.
func roomOf(s *fleet.Snapshot, now time.Duration, waiting, senders int) fleet.ZoneSummary {
	if waiting > 0 {
		return fleet.ZoneSummary{Zone: s.Zone, Reachable: true}
	}
	return routing.New(routing.DefaultConfig()).Summary(s, now, senders)
}

// roomResponse tells of a zone's room, and of its models unless they have the
// digest held.
func roomResponse(r fleet.ZoneSummary, held uint64) *viewpb.RoomResponse {
	resp := &viewpb.RoomResponse{
		Tokens:     int64(r.PromptBudget),
		TtftUs:     r.TTFT.Microseconds(),
		PerTokenUs: r.PerToken.Microseconds(),
		Digest:     modelsDigest(r.Models),
	}
	if resp.Digest != held {
		resp.Models = loadedArtifacts(r.Models)
	}
	return resp
}

// modelsDigest is never zero, which stands for no list.
func modelsDigest(models []weightstore.Artifact) uint64 {
	d := xxhash.New()
	for _, a := range models {
		for _, part := range []string{a.Model, a.Adapter, a.Version} {
			_, _ = d.WriteString(part) // a digest takes all
			_, _ = d.Write([]byte{0})
		}
	}
	return max(1, d.Sum64())
}
