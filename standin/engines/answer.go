package engines

import (
	"hash/fnv"
	"strings"
)

// vocabulary holds the words of all generated text.
var vocabulary = strings.Fields(`barcode margin allergen bleed contrast lot ean panel fold glyph ink
	proof slot aisle tote pallet bin pick count shelf carton scan label plate press`)

// Completion returns the tokens that every engine generates for a prompt to a model or adapter. They depend only on
// the prompt and the target, so that tests can match a response to its request.
func Completion(target, prompt string, count int) []string {
	tokens := make([]string, 0, count)
	state := generatorSeed(target, prompt)
	for len(tokens) < count {
		const multiplier, increment, shift = 6364136223846793005, 1442695040888963407, 33
		state = state*multiplier + increment
		tokens = append(tokens, vocabulary[(state>>shift)%uint64(len(vocabulary))]+" ")
	}
	return tokens
}

func generatorSeed(target, prompt string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(target + "\x00" + prompt)) // never fails
	return hash.Sum64()
}

// countTokens returns the number of words of a prompt, at least one.
func countTokens(prompt string) int {
	return max(1, len(strings.Fields(prompt)))
}
