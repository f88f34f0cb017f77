package pipeline

import (
	"bytes"
	"strconv"
)

var (
	keyCached = []byte(`"cached_tokens":`)
	keyPrompt = []byte(`"prompt_tokens":`)
)

// cachedShare returns the share of the prompt that the engine had cached, from the token usage at the end of
// its response. It reports false if there is none.
func cachedShare(tail []byte) (float64, bool) {
	cached, ok := numberAfter(tail, keyCached)
	if !ok {
		return 0, false
	}
	prompt, ok := numberAfter(tail, keyPrompt)
	if !ok || prompt <= 0 {
		return 0, false
	}
	return float64(cached) / float64(prompt), true
}

func numberAfter(text, key []byte) (int, bool) {
	i := bytes.LastIndex(text, key)
	if i < 0 {
		return 0, false
	}
	rest := bytes.TrimLeft(text[i+len(key):], " ")
	end := 0
	for end < len(rest) && rest[end] >= '0' && rest[end] <= '9' {
		end++
	}
	n, err := strconv.Atoi(string(rest[:end]))
	return n, err == nil
}
