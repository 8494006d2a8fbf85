package contact

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// askWorkers bounds how many VMs are asked at the same time.
const maxConcurrentQueries = 16

// Query asks one VM and returns what it then holds.
type Query func(ctx context.Context, vm VM) (Ack, error)

// Collect asks the VMs side by side and returns the answers by name. A VM that
// fails to answer is missing from them.
func Collect(ctx context.Context, vms []VM, query Query) map[string]Ack {
	var mu sync.Mutex
	acks := make(map[string]Ack, len(vms))
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for _, vm := range vms {
		g.Go(func() error {
			ack, err := query(ctx, vm)
			if err != nil {
				return nil // the VM stays missing, which is the caller's finding
			}
			mu.Lock()
			defer mu.Unlock()
			acks[vm.Name] = ack
			return nil
		})
	}
	_ = g.Wait() // the workers return no error
	return acks
}

// ConfirmStable asks every VM in two rounds, by first and then by second, and succeeds only if each answer of both
// is enough and no VM's process changed between them. The error is
// *UnstableError.
//
// Why two: a process that restarts learns its state from a peer. One that
// starts after the first round learns from a peer that already holds enough.
// One that started earlier is met by the second round, under a new instance.
// So when ConfirmStable succeeds, every process that is or comes to be on these VMs
// holds enough, even if it never reaches the table.
func ConfirmStable(ctx context.Context, vms []VM, first, second Query, sufficient func(Ack) bool) error {
	before, err := queryRound(ctx, vms, first, sufficient)
	if err != nil {
		return err
	}
	after := Collect(ctx, vms, second)
	same := func(name string, ack Ack) bool {
		return sufficient(ack) && ack.Instance == before[name].Instance
	}
	if missing := missingVMs(vms, after, same); len(missing) > 0 {
		return &UnstableError{Missing: missing}
	}
	return nil
}

// ConfirmOnce asks every VM once and succeeds if each answer is enough. That says
// nothing about processes that start later. The error is *UnstableError.
func ConfirmOnce(ctx context.Context, vms []VM, query Query, sufficient func(Ack) bool) error {
	_, err := queryRound(ctx, vms, query, sufficient)
	return err
}

func queryRound(ctx context.Context, vms []VM, query Query, sufficient func(Ack) bool) (map[string]Ack, error) {
	acks := Collect(ctx, vms, query)
	missing := missingVMs(vms, acks, func(_ string, ack Ack) bool { return sufficient(ack) })
	if len(missing) > 0 {
		return acks, &UnstableError{Missing: missing}
	}
	return acks, nil
}

func missingVMs(vms []VM, acks map[string]Ack, ok func(string, Ack) bool) []string {
	var missing []string
	for _, vm := range vms {
		ack, responded := acks[vm.Name]
		if !responded || !ok(vm.Name, ack) {
			missing = append(missing, vm.Name)
		}
	}
	slices.Sort(missing)
	return missing
}
