package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/springweir/springweir/duties/usage/usagepb"
)

// sendRounds is the number of successive rounds in which a change is sent, because datagrams can be
// lost.
const sendRounds = 3

// account holds the counts of one process.
type account struct {
	vm, zone string
	boot     uint64
	windows  map[Window]map[uint64]*counter
	// sealed is the last window that the process no longer changes; it is still to be sent
	// sealSends times.
	sealed    Window
	sealSends int
	// lastSeen is the time, by the VM's clock, of the last message of the process.
	lastSeen time.Time
}

// counter holds a count and the number of times it is still to be sent.
type counter struct {
	count          uint32
	remainingSends int
}

func newAccount(vm, zone string, boot uint64) *account {
	return &account{vm: vm, zone: zone, boot: boot, windows: map[Window]map[uint64]*counter{}}
}

// raise sets a count to n unless it is already higher.
func (a *account) raise(w Window, organisation uint64, n uint32) {
	entry := a.counter(w, organisation)
	if n > entry.count {
		entry.count, entry.remainingSends = n, sendRounds
	}
}

func (a *account) counter(w Window, organisation uint64) *counter {
	counts := a.windows[w]
	if counts == nil {
		counts = map[uint64]*counter{}
		a.windows[w] = counts
	}
	entry := counts[organisation]
	if entry == nil {
		entry = &counter{}
		counts[organisation] = entry
	}
	return entry
}

func (a *account) seal(w Window) {
	if w > a.sealed {
		a.sealed, a.sealSends = w, sendRounds
	}
}

// merge merges a received update into the account.
func (a *account) merge(update *usagepb.Account) {
	for i, organisation := range update.Organisation {
		a.raise(Window(update.Window), organisation, update.Count[i])
	}
	a.seal(Window(update.Sealed))
}

// pending returns the messages to send in this round, one for each window with changes. If there
// are none, the seal is sent alone while sends of it remain.
func (a *account) pending() []*usagepb.Account {
	var messages []*usagepb.Account
	for w, counts := range a.windows {
		message := a.message(w)
		for _, organisation := range slices.Sorted(maps.Keys(counts)) {
			if entry := counts[organisation]; entry.remainingSends > 0 {
				entry.remainingSends--
				message.Organisation, message.Count = append(message.Organisation, organisation), append(message.Count, entry.count)
			}
		}
		if len(message.Organisation) > 0 {
			messages = append(messages, message)
		}
	}
	if len(messages) == 0 && a.sealSends > 0 {
		messages = append(messages, a.message(a.sealed))
	}
	a.sealSends = max(0, a.sealSends-1)
	return messages
}

// export returns all counts of a window.
func (a *account) export(w Window) *usagepb.Account {
	message := a.message(w)
	counts := a.windows[w]
	for _, organisation := range slices.Sorted(maps.Keys(counts)) {
		message.Organisation, message.Count = append(message.Organisation, organisation), append(message.Count, counts[organisation].count)
	}
	return message
}

func (a *account) message(w Window) *usagepb.Account {
	return &usagepb.Account{Vm: a.vm, Zone: a.zone, Boot: a.boot, Window: uint64(w), Sealed: uint64(a.sealed)}
}

// dropBefore deletes the windows before the given one.
func (a *account) dropBefore(before Window) {
	maps.DeleteFunc(a.windows, func(w Window, _ map[uint64]*counter) bool { return w < before })
}
