package contact

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxConcurrentQueries bounds the number of VMs queried concurrently.
const maxConcurrentQueries = 16

// Query queries one VM and returns what that VM then holds.
type Query func(ctx context.Context, vm VM) (Ack, error)

// Collect queries the VMs concurrently and returns the responses by name. A VM that fails to
// respond is missing from the result.
func Collect(ctx context.Context, vms []VM, query Query) map[string]Ack {
	var mu sync.Mutex
	acks := make(map[string]Ack, len(vms))
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for _, vm := range vms {
		g.Go(func() error {
			ack, err := query(ctx, vm)
			if err != nil {
				return nil // the VM stays missing from acks, which the caller checks
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

// ConfirmStable queries every VM in two rounds, with first and then with second. It succeeds
// only if every response of both rounds is sufficient and no VM's process changed between them.
// The error is *UnstableError.
//
// Two rounds are needed because a restarted process receives its state from a peer. A process
// that starts after the first round receives it from a peer that already holds enough. A
// process that started earlier is queried by the second round, under a new instance. So when
// ConfirmStable succeeds, every process that runs or later starts on these VMs holds enough,
// even if it never reaches the table.
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

// ConfirmOnce queries every VM once and succeeds if every response is sufficient. It guarantees
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
