package organisation

import "github.com/springweir/springweir/prompt"

// Limit bounds the use of an organisation on all VMs together by a token bucket. Its unit is either a
// request or a token of a prompt and its output.
type Limit struct {
	// PerSecond is the rate at which the bucket is filled, in units. Zero means no limit.
	PerSecond float64
	// Burst is the size of the bucket, in units.
	Burst float64
	// CountsTokens selects the unit. PlainTokens is the cost of a request that names no tokens.
	CountsTokens bool
	PlainTokens  int
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Cost returns what a request uses of the limit, in its unit. p is nil for a request that is no
// generation.
func (l Limit) Cost(p *prompt.Prompt) float64 {
	switch {
	case !l.CountsTokens:
		return 1
	case p == nil:
		return float64(l.PlainTokens)
	}
	return float64(p.Tokens + p.MaxOutput)
}
