package entry

import (
	"context"

	"github.com/springweir/springweir/membership"
)

// endpointList reads the platform's membership list and passes the state of entry VMs to
// the rest of the entry. The list it returns names the endpoints of the settings tree in
// place of their VMs. It implements membership.List.
type endpointList struct{ entry *Entry }

// VMs implements membership.List.
func (l *endpointList) VMs(ctx context.Context) ([]membership.VM, error) {
	vms, err := l.entry.platform.Members.VMs(ctx)
	if err != nil {
		return nil, err
	}
	l.entry.common.zones.setMembers(vms)
	l.entry.limits.SetNodes(l.entry.common.now(), countEntries(vms))
	return l.entry.byEndpointName(vms), nil
}

func countEntries(vms []membership.VM) int {
	n := 0
	for _, vm := range vms {
		if vm.Kind == membership.Entry && !vm.Leaving {
			n++
		}
	}
	return n
}

// byEndpointName replaces the names of VMs by those of the zone's endpoints on them; one VM
// may host several endpoints.
func (e *Entry) byEndpointName(vms []membership.VM) []membership.VM {
	v := e.cat.current.Load()
	if v == nil {
		return vms
	}
	names := map[string][]string{}
	for _, endpoint := range v.endpoints() {
		vm := endpoint.VM
		if vm == "" {
			vm = endpoint.Name
		}
		names[vm] = append(names[vm], endpoint.Name)
	}
	var list []membership.VM
	for _, vm := range vms {
		for _, name := range names[vm.Name] {
			renamed := vm
			renamed.Name = name
			list = append(list, renamed)
		}
	}
	return list
}
