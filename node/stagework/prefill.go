package stagework

import "caperdrum.org/node/upstream"

// prefill is the work of an engine before a call's first event.
type prefill struct {
	tokens int64
	pairs  float64 // millions of pairs of a token and an earlier one, as attention takes time for each
}

func (r prefill) plus(o prefill) prefill  { return prefill{r.tokens + o.tokens, r.pairs + o.pairs} }
func (r prefill) minus(o prefill) prefill { return prefill{r.tokens - o.tokens, r.pairs - o.pairs} }

// pairsPerUnit is how many pairs of tokens count as one in prefill.pairs.
const pairsPerUnit = 1e6

// prefillAfter is the work to prefill a part behind that many tokens of the same prompt.
func prefillAfter(before, tokens int64) prefill {
	t := float64(max(0, tokens))
	return prefill{max(0, tokens), t * (float64(before) + t/2) / pairsPerUnit}
}

// prefillOf returns the work for the shared parts of a prompt, from the first one that is not
// cached on, and the work for the last part, which is never cached. A cached part is only usable
// behind the same parts of the prompt.
func prefillOf(parts []upstream.PromptPart, has func(id string) bool) (missing, own prefill) {
	before, kept := int64(0), true
	for i, p := range parts {
		part := prefillAfter(before, p.Tokens)
		before += part.tokens
		if i == len(parts)-1 {
			return missing, part
		}
		if kept = kept && has(p.ID); !kept {
			missing = missing.plus(part)
		}
	}
	return missing, own
}

// sharedParts returns the parts of a prompt that other calls may share: all but the last.
func sharedParts(parts []upstream.PromptPart) []upstream.PromptPart {
	return parts[:max(0, len(parts)-1)]
}
