package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/springweir/springweir/duties/usage/usagepb"
)

// tellRounds is how often a change is told, a round apart: datagrams get lost.
const tellRounds = 3

// account is what one process counted.
type account struct {
	vm, zone string
	boot     uint64
	windows  map[Window]map[uint64]*cell
	// sealed is the last window in which the process counts nothing more, to be told sealRounds
	// times.
	sealed     Window
	sealRounds int
	// heard is when the process last told anything, by the VM's clock.
	heard time.Time
}

// cell is a count, and how often it is still to be told.
type cell struct {
	count  uint32
	rounds int
}

func newAccount(vm, zone string, boot uint64) *account {
	return &account{vm: vm, zone: zone, boot: boot, windows: map[Window]map[uint64]*cell{}}
}

// raise makes a count at least n.
func (a *account) raise(w Window, organisation uint64, n uint32) {
	c := a.cell(w, organisation)
	if n > c.count {
		c.count, c.rounds = n, tellRounds
	}
}

func (a *account) cell(w Window, organisation uint64) *cell {
	counts := a.windows[w]
	if counts == nil {
		counts = map[uint64]*cell{}
		a.windows[w] = counts
	}
	c := counts[organisation]
	if c == nil {
		c = &cell{}
		counts[organisation] = c
	}
	return c
}

func (a *account) seal(w Window) {
	if w > a.sealed {
		a.sealed, a.sealRounds = w, tellRounds
	}
}

// take takes in what was told of the account.
func (a *account) take(told *usagepb.Account) {
	for i, organisation := range told.Organisation {
		a.raise(Window(told.Window), organisation, told.Count[i])
	}
	a.seal(Window(told.Sealed))
}

// due returns what is to be told in this round, a message for each window with changes.
func (a *account) due() []*usagepb.Account {
	var list []*usagepb.Account
	for w, counts := range a.windows {
		m := a.message(w)
		for _, organisation := range slices.Sorted(maps.Keys(counts)) {
			if c := counts[organisation]; c.rounds > 0 {
				c.rounds--
				m.Organisation, m.Count = append(m.Organisation, organisation), append(m.Count, c.count)
			}
		}
		if len(m.Organisation) > 0 {
			list = append(list, m)
		}
	}
	if len(list) == 0 && a.sealRounds > 0 {
		list = append(list, a.message(a.sealed))
	}
	a.sealRounds = max(0, a.sealRounds-1)
	return list
}

// whole returns all of a window.
func (a *account) whole(w Window) *usagepb.Account {
	m := a.message(w)
	counts := a.windows[w]
	for _, organisation := range slices.Sorted(maps.Keys(counts)) {
		m.Organisation, m.Count = append(m.Organisation, organisation), append(m.Count, counts[organisation].count)
	}
	return m
}

func (a *account) message(w Window) *usagepb.Account {
	return &usagepb.Account{Vm: a.vm, Zone: a.zone, Boot: a.boot, Window: uint64(w), Sealed: uint64(a.sealed)}
}

// forget drops windows before one.
func (a *account) forget(before Window) {
	maps.DeleteFunc(a.windows, func(w Window, _ map[uint64]*cell) bool { return w < before })
}
