package enginemodel

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// The stand-ins' responses have from minResponseTokens up to, not including,
// minResponseTokens+responseTokenRange tokens.
const (
	minResponseTokens  = 16
	responseTokenRange = 112
)

// AnswerTokens returns the length of the stand-ins' response to a prompt, and whether it
// ends before it would exceed the limit. A limit of zero means no limit.
func AnswerTokens(prompt string, limit int) (int, bool) {
	n := minResponseTokens + int(Seed(prompt)%responseTokenRange)
	if limit > 0 && n > limit {
		return limit, false
	}
	return n, true
}

// Seed returns the hash of a prompt that determines the response.
func Seed(prompt string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(prompt))
	return h.Sum32()
}

// TokenText returns one token of the response to a prompt with the seed. It contains the
// seed and the position, so that a test can check that a response is complete, in order and
// belongs to its prompt.
func TokenText(seed uint32, position int) string {
	return fmt.Sprintf("%08x.%d ", seed, position)
}

// AnswerText returns the text of the response tokens in the range [from, to).
func AnswerText(prompt string, from, to int) string {
	seed := Seed(prompt)
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(TokenText(seed, i))
	}
	return b.String()
}
