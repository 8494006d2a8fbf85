package lease

import "github.com/springweir/springweir/table"

// Checks returns the condition under which a write of another package holds
// only while this lease stands: the lease's row at the version last written by
// this tenure. A renewal in between makes such a write conflict, which its
// caller then tries again. The error is *LostError.
func (l *Lease) Checks() ([]table.Check, error) {
	if _, err := l.Authority(); err != nil {
		return nil, err
	}
	return l.withGuard(nil), nil
}
