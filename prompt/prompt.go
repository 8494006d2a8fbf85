// Package prompt describes a prompt by its parts, which are identified sequences of tokens.
// Requests can share a prefix of parts, and an engine that has cached the KV cache of that prefix
// does not have to prefill it again.
package prompt

// Part is a sequence of tokens that is identified by its ID.
type Part struct {
	ID string
	// Tokens is the number of tokens.
	Tokens int
}

// Prompt describes the generation that a request asks for.
type Prompt struct {
	// Model is the name of the model.
	Model string
	// Tokens is the length of the prompt, and MaxOutput the limit for the length of the output.
	Tokens, MaxOutput int
	// OutputHint is the caller's estimate of the output length, in tokens; zero means none.
	OutputHint int
	// Parts are the prompt's parts in order. The last is specific to the request or its session,
	// the others may be shared with other requests. It is empty if the caller gave no parts.
	Parts []Part
}

// Shared returns the parts that other requests may share, which are all but the last.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedTokens returns the total length of the shared parts, in tokens.
func (p *Prompt) SharedTokens() int { return Tokens(p.Shared()) }

// Output returns the expected length of the output, in tokens: OutputHint if it is set and less
// than MaxOutput (or if MaxOutput is not set), otherwise MaxOutput.
func (p *Prompt) Output() int {
	if p.OutputHint > 0 && (p.MaxOutput <= 0 || p.OutputHint < p.MaxOutput) {
		return p.OutputHint
	}
	return p.MaxOutput
}

// Tokens returns the total length of parts, in tokens.
func Tokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}
