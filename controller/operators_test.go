package controller

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/operator"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/table/memtable"
	"github.com/springweir/springweir/weightstore"
)

// TestConcurrentEditsThroughTwoControllers has two operators edit the same version concurrently,
// each through the controller of a different VM. One edit is committed. The other fails with a
// conflict that names the committed version's author. Its merge succeeds if the edits touch
// different keys, and reports the keys if they touch the same.
func TestConcurrentEditsThroughTwoControllers(t *testing.T) {
	for _, tt := range []struct {
		name string
		// Each operator replaces old with new.
		old, new [2]string
		// conflicts are the keys that both operators changed.
		conflicts []string
	}{
		{name: "different keys", old: [2]string{"copies = 2", "version = 1"}, new: [2]string{"copies = 1", "version = 2"}},
		{name: "the same key", old: [2]string{"copies = 2", "copies = 2"}, new: [2]string{"copies = 1", "copies = 3"},
			conflicts: []string{`model "chat" copies`}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(t, copiesOfTwo, engineSpec{"engine-1", engine.Mixed, []weightstore.Artifact{chat}})
				defer z.shutDown()
				ops := [2]*operator.Client{z.operatorAt(1), z.operatorAt(2)}
				base, err := ops[0].GetConfig(t.Context(), 0)
				if err != nil {
					t.Fatal(err)
				}
				// Both have read the head before either commits.
				z.rows.SetHook(func(c memtable.Call) memtable.Fault {
					if c.Op == memtable.OpCommit {
						return memtable.Fault{Delay: 100 * time.Millisecond}
					}
					return memtable.Fault{}
				})
				var texts [2]string
				results := make(chan error, 2)
				for i, op := range ops {
					texts[i] = strings.Replace(string(base.Text), tt.old[i], tt.new[i], 1)
					go func() { results <- put(t, op, base.Version, texts[i], i) }()
				}
				conflictErr := errors.Join(<-results, <-results)
				var conflict *operator.ConflictError
				if !errors.As(conflictErr, &conflict) || conflict.Newest.Version != base.Version+1 {
					t.Fatalf("no conflict: %v", conflictErr)
				}
				winner := 0
				if conflict.Newest.Author == author(1) {
					winner = 1
				}
				loser := 1 - winner
				newest, err := ops[loser].GetConfig(t.Context(), 0)
				if err != nil || newest.Version != base.Version+1 || string(newest.Text) != texts[winner] {
					t.Fatalf("version %d is not that of the winner: %v", newest.GetVersion(), err)
				}
				merged, err := settings.Merge(base.Text, []byte(texts[loser]), newest.Text)
				if diff := cmp.Diff(tt.conflicts, keysOf(t, err)); diff != "" {
					t.Fatalf("conflicts (-want +got):\n%s", diff)
				}
				if len(tt.conflicts) > 0 {
					return
				}
				if err := put(t, ops[loser], newest.Version, string(merged.Text), loser); err != nil {
					t.Fatal(err)
				}
				z.await("the merge is active on every VM", func() bool {
					state, err := ops[winner].ConfigStatus(t.Context(), 0)
					return err == nil && state.Version == base.Version+2 && state.Accepted
				})
				if got := z.headText(); !strings.Contains(got, tt.new[0]) || !strings.Contains(got, tt.new[1]) {
					t.Errorf("an edit was lost:\n%s", got)
				}
			})
		})
	}
}

func author(i int) string { return fmt.Sprint("operator-", i+1) }

func put(t *testing.T, op *operator.Client, base uint64, text string, i int) error {
	_, err := op.PutConfig(t.Context(), &pb.PutConfigRequest{
		Base: base, Text: []byte(text), Author: author(i), WriteId: fmt.Sprintf("%s-on-%d", author(i), base),
	})
	return err
}

func keysOf(t *testing.T, err error) (keys []string) {
	t.Helper()
	var conflict *settings.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		t.Fatal(err)
	}
	if conflict != nil {
		for _, c := range conflict.Conflicts {
			keys = append(keys, fmt.Sprintf("%s %s", c.Section, c.Key))
		}
	}
	return keys
}

// operatorAt returns an operator client of the controller of VM n.
func (z *testZone) operatorAt(n int) *operator.Client {
	return operator.NewClient([]string{fmt.Sprintf("10.0.1.%d:8090", n)}, z.client)
}

func (z *testZone) headText() string {
	z.t.Helper()
	c, err := z.operatorAt(1).GetConfig(z.t.Context(), 0)
	if err != nil {
		z.t.Fatal(err)
	}
	return string(c.Text)
}
