package peer

import (
	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/peer/entrypb"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/withhold"
)

func ackFrom(a *entrypb.Ack) contact.Ack {
	return contact.Ack{Instance: a.GetInstance(), Config: a.GetConfig(), Roster: a.GetRoster()}
}

func updateTo(u rollout.Update) *entrypb.ConfigUpdate {
	return &entrypb.ConfigUpdate{
		Version: uint64(u.Version), Digest: u.Digest[:], Base: uint64(u.Base),
		Prefix: uint64(u.Prefix), Suffix: uint64(u.Suffix), Body: u.Body,
	}
}

// updateFrom does not validate: a malformed message fails the check of its digest.
func updateFrom(m *entrypb.ConfigUpdate) rollout.Update {
	u := rollout.Update{
		Version: rollout.Version(m.Version), Base: rollout.Version(m.Base),
		Prefix: int(m.Prefix), Suffix: int(m.Suffix), Body: m.Body,
	}
	copy(u.Digest[:], m.Digest)
	return u
}

func entryStateFrom(m *entrypb.WithholdResponse) withhold.EntryState {
	return withhold.EntryState{
		Instance: m.GetInstance(),
		State:    withhold.State{Epoch: m.GetEpoch(), Withheld: m.GetWithheld(), Streams: int(m.GetStreams())},
	}
}
