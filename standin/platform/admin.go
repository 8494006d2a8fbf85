package platform

import (
	"net/http"
	"time"

	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/object/memobject"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
	"github.com/springweir/springweir/weightstore/fakestore"
)

// Paths of the admin interface.
const (
	// FaultsPath accepts a POST of Faults, which replace the active ones.
	FaultsPath = "/admin/faults"
	// VMsPath accepts a POST of a membership.VM, which is added or replaced, and a DELETE
	// of VMsPath + "/" + name. Both become visible after the membership lag.
	VMsPath = "/admin/vms"
	// CountsPath responds to a GET with Counts.
	CountsPath = "/admin/counts"
	// HealthPath responds to a GET with status 200.
	HealthPath = "/admin/health"
)

// Faults are the injected faults. The zero value is a healthy platform.
type Faults struct {
	Table      TableFaults      `json:"table"`
	Objects    ObjectFaults     `json:"objects"`
	Membership MembershipFaults `json:"membership"`
	// WeightsDown makes the weight store fail.
	WeightsDown bool `json:"weights_down"`
}

// TableFaults are the injected faults of the table service.
type TableFaults struct {
	// Down makes every call fail without any effect.
	Down bool `json:"down"`
	// SlowMillis delays every call.
	SlowMillis int64 `json:"slow_ms"`
	// LoseAnswers applies writes but closes the connection without a response.
	LoseAnswers bool `json:"lose_answers"`
	// ApplyAfterMillis closes the connection of a write immediately and applies the
	// write after this delay.
	ApplyAfterMillis int64 `json:"apply_after_ms"`
}

// ObjectFaults are the injected faults of the object store; see TableFaults for the fields.
type ObjectFaults struct {
	Down        bool  `json:"down"`
	SlowMillis  int64 `json:"slow_ms"`
	LoseAnswers bool  `json:"lose_answers"`
}

// MembershipFaults are the injected faults of the membership list.
type MembershipFaults struct {
	Down       bool  `json:"down"`
	SlowMillis int64 `json:"slow_ms"`
	// LagMillis is the delay after which changes become visible; nil keeps the current lag.
	LagMillis *int64 `json:"lag_ms,omitempty"`
}

// Counts are the numbers of calls since the start of the process.
type Counts struct {
	Table           memtable.Counts  `json:"table"`
	Objects         memobject.Counts `json:"objects"`
	MembershipReads uint64           `json:"membership_reads"`
	Weights         fakestore.Counts `json:"weights"`
}

func (p *Platform) handleAdmin(mux *http.ServeMux) {
	mux.HandleFunc("POST "+FaultsPath, p.setFaults)
	mux.HandleFunc("POST "+VMsPath, p.putVM)
	mux.HandleFunc("DELETE "+VMsPath+"/{name}", p.removeVM)
	mux.HandleFunc("GET "+CountsPath, p.showCounts)
	mux.HandleFunc("GET "+HealthPath, func(http.ResponseWriter, *http.Request) {})
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	p.Apply(f)
	writeJSON(w, http.StatusOK, f)
}

// Apply replaces the active faults by f.
func (p *Platform) Apply(f Faults) {
	p.Table.SetDown(f.Table.Down)
	p.Table.SetFault(memtable.Fault{
		Delay:        millis(f.Table.SlowMillis),
		LoseResponse: f.Table.LoseAnswers,
		ApplyAfter:   millis(f.Table.ApplyAfterMillis),
	})
	p.Objects.SetFault(memobject.Fault{
		Down:         f.Objects.Down,
		Delay:        millis(f.Objects.SlowMillis),
		LoseResponse: f.Objects.LoseAnswers,
	})
	p.List.SetDown(f.Membership.Down)
	p.List.SetDelay(millis(f.Membership.SlowMillis))
	if f.Membership.LagMillis != nil {
		p.List.SetLag(millis(*f.Membership.LagMillis))
	}
	p.Weights.SetDown(f.WeightsDown)
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm membership.VM
	if !decode(w, r, &vm) {
		return
	}
	if vm.Name == "" || vm.Zone == "" || vm.Kind != membership.Entry && vm.Kind != membership.Endpoint {
		writeJSON(w, http.StatusBadRequest, table.ErrorResponse{Problem: "name, kind and zone must be given"})
		return
	}
	p.List.Put(vm)
	writeJSON(w, http.StatusOK, vm)
}

func (p *Platform) removeVM(w http.ResponseWriter, r *http.Request) {
	p.List.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) showCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Counts{
		Table:           p.Table.Counts(),
		Objects:         p.Objects.Counts(),
		MembershipReads: p.List.Reads(),
		Weights:         p.Weights.Counts(),
	})
}
