package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/peer/entrypb"
	"github.com/springweir/springweir/peer/share"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/withhold"
)

// Server serves the calls of peers and of the zone's controller.
type Server struct {
	instance uint64
	member   *contact.Member
	applier  *rollout.Applier
	gate     *withhold.Gate
	reports  *share.ReportStore
	leaving  *leaving.Set
}

// ServerConfig holds the components that a server exposes.
type ServerConfig struct {
	// Instance is unique for each start of the process, and not zero.
	Instance uint64
	Member   *contact.Member
	Applier  *rollout.Applier
	Gate     *withhold.Gate
	Reports  *share.ReportStore
	Leaving  *leaving.Set
}

// NewServer returns the server of an entry.
func NewServer(p ServerConfig) *Server {
	return &Server{
		instance: p.Instance, member: p.Member, applier: p.Applier,
		gate: p.Gate, reports: p.Reports, leaving: p.Leaving,
	}
}

// Handler returns the HTTP handler, and the path under which it is mounted.
func (s *Server) Handler() (string, http.Handler) {
	h := entrypb.NewEntryServer(s)
	return h.PathPrefix(), http.MaxBytesHandler(withoutDate(h), maxMessage)
}

// withoutDate omits the Date header, which no client reads.
func withoutDate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// ack returns this process's state. The roster is read first: its revision never decreases,
// so the response never claims a newer revision than the process has when it is sent.
func (s *Server) ack() *entrypb.Ack {
	return &entrypb.Ack{
		Instance: s.instance,
		Roster:   s.member.Roster().Revision,
		Config:   uint64(s.applier.Current().Version),
	}
}

// Exchange implements entrypb.Entry. A process that has just started takes its first roster only from a VM that
// serves. This VM is not one for it while it knows of a decision to withhold that its roster lacks: the process would
// send to an endpoint that this VM has confirmed as withheld.
func (s *Server) Exchange(_ context.Context, req *entrypb.ExchangeRequest) (*entrypb.ExchangeResponse, error) {
	roster := s.member.Roster()
	callerRevision := req.GetHolds().GetRoster()
	resp := &entrypb.ExchangeResponse{
		Holds:   s.ack(),
		Vouched: s.member.ConfirmMember(req.GetFrom()),
		Serving: s.member.Allow() == nil && s.gate.Epoch() <= roster.Revision,
	}
	// Batches are indexed by the roster that the caller has after this response.
	resp.Holds.Roster = roster.Revision
	switch {
	case callerRevision < roster.Revision:
		resp.Roster = roster.Encode()
		resp.Batches = s.reports.NewerBatches(roster, nil)
	case callerRevision == roster.Revision && callerRevision != 0:
		resp.Batches = s.reports.NewerBatches(roster, req.Seen)
	}
	return resp, nil
}

// ConfigVersion implements entrypb.Entry.
func (s *Server) ConfigVersion(context.Context, *entrypb.ConfigVersionRequest) (*entrypb.Ack, error) {
	return s.ack(), nil
}

// FetchConfig implements entrypb.Entry.
func (s *Server) FetchConfig(_ context.Context, req *entrypb.FetchConfigRequest) (*entrypb.ConfigUpdate, error) {
	return updateTo(s.applier.UpdateFor(rollout.Version(req.Have))), nil
}

// ApplyConfig implements entrypb.Entry. A document that cannot be applied does not fail the
// call: the response contains the active version.
func (s *Server) ApplyConfig(_ context.Context, req *entrypb.ConfigUpdate) (*entrypb.Ack, error) {
	if err := s.applier.ApplyUpdate(updateFrom(req)); err != nil {
		klog.Warningf("peer: configuration %d not applied: %v", req.Version, err)
	}
	return s.ack(), nil
}

// Shun implements entrypb.Entry.
func (s *Server) Shun(_ context.Context, req *entrypb.ShunRequest) (*entrypb.Ack, error) {
	r, err := contact.Decode(req.Roster)
	if err != nil {
		return nil, twirp.NewError(twirp.Malformed, err.Error()).WithMeta("reason", string(failure.ReasonOf(err)))
	}
	s.member.ApplyRoster(r)
	return s.ack(), nil
}

// Withhold implements entrypb.Entry.
func (s *Server) Withhold(_ context.Context, req *entrypb.WithholdRequest) (*entrypb.WithholdResponse, error) {
	return s.withholdResponse(s.gate.Withhold(req.Endpoint, req.Epoch)), nil
}

// Restore implements entrypb.Entry.
func (s *Server) Restore(_ context.Context, req *entrypb.WithholdRequest) (*entrypb.WithholdResponse, error) {
	return s.withholdResponse(s.gate.Restore(req.Endpoint, req.Epoch)), nil
}

func (s *Server) withholdResponse(st withhold.State) *entrypb.WithholdResponse {
	return &entrypb.WithholdResponse{
		Instance: s.instance, Epoch: st.Epoch, Withheld: st.Withheld, Streams: uint32(st.Streams),
	}
}

// NoteLeaving implements entrypb.Entry.
func (s *Server) NoteLeaving(_ context.Context, req *entrypb.LeavingNotice) (*entrypb.Ack, error) {
	s.leaving.Record(req.Endpoint, req.Incarnation, true)
	return s.ack(), nil
}
