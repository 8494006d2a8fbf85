// Package origin knows which software version began each stream that callers may take up again.
//
// A caller whose stream broke off takes it up at any VM and names the request that brought its first
// event. The stream may go on only at endpoints of the software that sent that event. The VM that began
// the stream therefore sends a record of it to other VMs (package loadshare), which keep it for as long
// as the stream can be taken up. While only one software version of a service exists, no records are
// sent: a stream without a record then began on that version.
//
// A VM that has no record asks the others. If the software cannot be determined, the request is refused.
package origin

import (
	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/loadshare"
)

// streamHash identifies the stream whose first event was brought by a request.
func streamHash(request string) uint64 { return xxhash.Sum64String(request) }

// softwareHash identifies software between VMs. It is never zero, which stands for unknown software.
func softwareHash(s directory.Software) uint32 {
	return max(1, loadshare.Hash(s.Service+"\x00"+s.Version))
}
