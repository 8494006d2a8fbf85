package memtable

import (
	"context"
	"fmt"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// Op is a kind of call.
type Op string

// The kinds of call.
const (
	OpGet    Op = "get"
	OpScan   Op = "scan"
	OpCommit Op = "commit"
)

// Call describes a call that is about to be served.
type Call struct {
	Op Op
	// Keys are the rows of a Get, or the table and prefix of a Scan.
	Keys []table.Key
	// Txn is the transaction of a Commit.
	Txn table.Txn
}

// Fault is a fault to inject into one call. The zero value injects none.
type Fault struct {
	// Delay is how long the call waits before anything else happens.
	Delay time.Duration
	// Fail refuses the call before it has any effect.
	Fail bool
	// ApplyAfter returns *table.UnknownError at once and applies the transaction after this time,
	// if its checks hold then.
	ApplyAfter time.Duration
	// LoseResponse applies the transaction and returns *table.UnknownError.
	LoseResponse bool
	// Hang blocks until the caller's context ends. A Commit is then not applied, but returns
	// *table.UnknownError.
	Hang bool
}

// Counts are the calls served and the rows read and written since the start.
type Counts struct {
	// Gets, Scans and Commits count calls, including refused ones.
	Gets    uint64 `json:"gets"`
	Scans   uint64 `json:"scans"`
	Commits uint64 `json:"commits"`
	// Conflicts counts transactions refused by a check.
	Conflicts uint64 `json:"conflicts"`
	// Failed counts calls refused by a fault.
	Failed      uint64 `json:"failed"`
	RowsRead    uint64 `json:"rows_read"`
	RowsWritten uint64 `json:"rows_written"`
}

// FaultError is an injected fault.
type FaultError struct{ Name string }

// Error implements error.
func (e *FaultError) Error() string { return fmt.Sprintf("injected fault: %s", e.Name) }

// Reason implements failure.Coded.
func (e *FaultError) Reason() failure.Reason { return failure.TableUnavailable }

// faults are the faults that apply to every call.
type faults struct {
	down bool
	all  Fault
	hook func(Call) Fault
}

// SetDown sets whether every call fails before it has any effect.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.down = down
}

// SetFault applies f to every call; the zero Fault ends that.
func (t *Table) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.all = f
}

// SetHook sets a function that returns the fault for each call; nil removes it. The hook is
// called without locks held and may call the table.
func (t *Table) SetHook(hook func(Call) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.hook = hook
}

// Counts returns the counts so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// beginCall counts a call and applies the faults that precede its effect.
func (t *Table) beginCall(ctx context.Context, c Call) (Fault, error) {
	f, hook := t.count(c.Op)
	if ctx.Err() != nil {
		return f, &table.UnavailableError{Cause: context.Cause(ctx)}
	}
	if hook != nil {
		f = merge(f, hook(c))
	}
	if f.Delay > 0 && !loop.Sleep(ctx, f.Delay) {
		return f, cancelledError(c.Op, context.Cause(ctx))
	}
	if f.Hang {
		<-ctx.Done()
		return f, cancelledError(c.Op, context.Cause(ctx))
	}
	// An outage that began while the call waited also fails it.
	if f.Fail || t.down() {
		t.mu.Lock()
		t.counts.Failed++
		t.mu.Unlock()
		return f, &table.UnavailableError{Cause: &FaultError{Name: "refused"}}
	}
	return f, nil
}

func (t *Table) beginRead(ctx context.Context, c Call) error {
	_, err := t.beginCall(ctx, c)
	return err
}

// count counts a call and returns the present faults.
func (t *Table) count(op Op) (Fault, func(Call) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch op {
	case OpGet:
		t.counts.Gets++
	case OpScan:
		t.counts.Scans++
	case OpCommit:
		t.counts.Commits++
	}
	return t.faults.all, t.faults.hook
}

func (t *Table) down() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults.down
}

// merge combines two faults, taking the worse value of each field.
func merge(a, b Fault) Fault {
	return Fault{
		Delay:        max(a.Delay, b.Delay),
		Fail:         a.Fail || b.Fail,
		ApplyAfter:   max(a.ApplyAfter, b.ApplyAfter),
		LoseResponse: a.LoseResponse || b.LoseResponse,
		Hang:         a.Hang || b.Hang,
	}
}

// cancelledError returns the error of a call whose context ended while it waited. A real client
// couldn't determine that a write had no effect, so a Commit returns *table.UnknownError.
func cancelledError(op Op, cause error) error {
	if op == OpCommit {
		return &table.UnknownError{Cause: cause}
	}
	return &table.UnavailableError{Cause: cause}
}
