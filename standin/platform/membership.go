package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"

	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/table"
)

func (p *Platform) membershipList(w http.ResponseWriter, r *http.Request) {
	vms, err := p.List.VMs(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, table.ErrorResponse{Problem: err.Error()})
		return
	}
	body := membership.ListResponse{VMs: visibleFrom(r.URL.Query().Get(membership.ZoneParameter), vms)}
	tag := etag(body)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// visibleFrom returns the VMs without the endpoints of other zones. With an empty zone it
// returns all VMs.
func visibleFrom(zone string, vms []membership.VM) []membership.VM {
	out := make([]membership.VM, 0, len(vms))
	for _, vm := range vms {
		if zone == "" || vm.Zone == zone || vm.Kind == membership.Entry {
			out = append(out, vm)
		}
	}
	return out
}

// etag returns the entity tag of the list, a digest of its JSON encoding.
func etag(list membership.ListResponse) string {
	h := fnv.New128a()
	_ = json.NewEncoder(h).Encode(list)
	return fmt.Sprintf("%q", fmt.Sprintf("%x", h.Sum(nil)))
}
