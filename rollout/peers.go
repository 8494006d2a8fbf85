package rollout

import (
	"context"

	"github.com/springweir/springweir/contact"
)

// ExchangeResponse is what a peer of the zone answers.
type ExchangeResponse struct {
	Ack contact.Ack
	// Confirmed tells that the peer has not shunned this VM.
	Confirmed bool
	// Serving tells that the peer itself may serve new requests.
	Serving bool
	// Roster is the peer's roster if it is newer, or the zero roster.
	Roster contact.Roster
}

// Peers asks other entries of the zone. Implementations never repeat a call by
// themselves and bound its time.
type Peers interface {
	// Exchange asks the peer to vouch for this VM.
	Exchange(ctx context.Context, vm contact.VM) (ExchangeResponse, error)
	// FetchConfig reads what the peer has in force, for one who holds have.
	FetchConfig(ctx context.Context, vm contact.VM, have Version) (Update, error)
	// PushRoster hands the peer a newer roster and returns what it then holds.
	PushRoster(ctx context.Context, vm contact.VM, r contact.Roster) (contact.Ack, error)
}

// Pusher puts configurations in force on VMs of the zone.
type Pusher interface {
	// ApplyConfig hands the VM a document and returns what it then holds.
	ApplyConfig(ctx context.Context, vm contact.VM, u Update) (contact.Ack, error)
	// Probe asks what the VM holds.
	Probe(ctx context.Context, vm contact.VM) (contact.Ack, error)
}
