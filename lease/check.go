package lease

import "github.com/springweir/springweir/table"

// Checks returns the condition that makes a write of another package take effect only while this
// lease is held: the lease's row at the version last written in this tenure. A renewal in between
// makes the write conflict, and the caller retries it. The error is *LostError.
func (l *Lease) Checks() ([]table.Check, error) {
	if _, err := l.Authority(); err != nil {
		return nil, err
	}
	return l.withGuard(nil), nil
}
