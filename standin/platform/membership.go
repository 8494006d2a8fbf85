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
		answer(w, http.StatusServiceUnavailable, table.ErrorResponse{Problem: err.Error()})
		return
	}
	body := membership.ListResponse{VMs: seenFrom(r.URL.Query().Get(membership.ZoneParameter), vms)}
	tag := etag(body)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	answer(w, http.StatusOK, body)
}

// seenFrom leaves out the endpoints of other zones; an empty zone keeps all.
func seenFrom(zone string, vms []membership.VM) []membership.VM {
	out := make([]membership.VM, 0, len(vms))
	for _, vm := range vms {
		if zone == "" || vm.Zone == zone || vm.Kind == membership.Entry {
			out = append(out, vm)
		}
	}
	return out
}

// etag is a digest of the list as sent.
func etag(a membership.ListResponse) string {
	h := fnv.New128a()
	_ = json.NewEncoder(h).Encode(a)
	return fmt.Sprintf("%q", fmt.Sprintf("%x", h.Sum(nil)))
}
