package rollout

import (
	"context"

	"github.com/springweir/springweir/contact"
)

// ExchangeResponse is the response of a peer of the zone to an exchange.
type ExchangeResponse struct {
	Ack contact.Ack
	// Confirmed reports whether the peer confirms this VM as an active member.
	Confirmed bool
	// Serving reports whether the peer itself may serve new requests.
	Serving bool
	// Roster is the peer's roster if it is newer, or the zero roster.
	Roster contact.Roster
}

// Peers calls other entry processes of the zone. Implementations never retry a call and bound
// its duration.
type Peers interface {
	// Exchange requests the peer's state, including whether it confirms this VM as a member.
	Exchange(ctx context.Context, vm contact.VM) (ExchangeResponse, error)
	// FetchConfig fetches the peer's configuration in effect, as an update from version have.
	FetchConfig(ctx context.Context, vm contact.VM, have Version) (Update, error)
	// PushRoster sends a newer roster to the peer and returns what the peer then holds.
	PushRoster(ctx context.Context, vm contact.VM, r contact.Roster) (contact.Ack, error)
}

// Pusher applies configurations on VMs of the zone.
type Pusher interface {
	// ApplyConfig sends a document to the VM and returns what the VM then holds.
	ApplyConfig(ctx context.Context, vm contact.VM, u Update) (contact.Ack, error)
	// Probe returns what the VM holds.
	Probe(ctx context.Context, vm contact.VM) (contact.Ack, error)
}
