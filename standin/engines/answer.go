package engines

import (
	"hash/fnv"
	"strings"
)

// words make up every answer.
var words = strings.Fields(`barcode margin allergen bleed contrast lot ean panel fold glyph ink
	proof slot aisle tote pallet bin pick count shelf carton scan label plate press`)

// Answer returns the tokens with which every engine answers a prompt to a model
// or adapter: the same prompt always gets the same answer, and another prompt
// or target another, so an oracle can tell whose answer it sees.
func Completion(target, prompt string, count int) []string {
	tokens := make([]string, 0, count)
	state := seedOf(target, prompt)
	for len(tokens) < count {
		const multiplier, increment, shift = 6364136223846793005, 1442695040888963407, 33
		state = state*multiplier + increment
		tokens = append(tokens, words[(state>>shift)%uint64(len(words))]+" ")
	}
	return tokens
}

func seedOf(target, prompt string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(target + "\x00" + prompt)) // never fails
	return hash.Sum64()
}

// countTokens is the length of a prompt: words, at least one.
func countTokens(prompt string) int {
	return max(1, len(strings.Fields(prompt)))
}
