package pipeline

import (
	"encoding/json"

	"github.com/juju/errors"
)

// tokenLimits are the fields that set a maximum or minimum of generated tokens.
var tokenLimits = []string{"max_tokens", "max_completion_tokens", "min_tokens"}

// errTokenLimitReached means that all requested tokens were generated before the stream broke off.
var errTokenLimitReached = errors.New("pipeline: token limit reached")

// continuation returns the chat request that continues after the text forwarded so far. That text becomes the
// final assistant message, to be continued, and the token limits are lowered by the tokens generated. Every
// other field is kept.
func continuation(request []byte, p *progress) ([]byte, error) {
	if p.text == "" {
		return request, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(request, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	if err := lowerLimits(fields, p.tokens); err != nil {
		return nil, err
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, errors.Trace(err)
	}
	messages, err := appendText(messages, p.text, string(fields["continue_final_message"]) == "true")
	if err != nil {
		return nil, err
	}
	if fields["messages"], err = json.Marshal(messages); err != nil {
		return nil, errors.Trace(err)
	}
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	out, err := json.Marshal(fields)
	return out, errors.Trace(err)
}

func lowerLimits(fields map[string]json.RawMessage, tokens int) error {
	for _, name := range tokenLimits {
		var limit int
		if absent(fields[name]) || json.Unmarshal(fields[name], &limit) != nil {
			continue
		}
		rest := limit - tokens
		if rest <= 0 && name != "min_tokens" {
			return errTokenLimitReached
		}
		fields[name], _ = json.Marshal(max(rest, 0)) // marshalling an int cannot fail
	}
	return nil
}

// appendText adds an assistant message, or extends the final one if the caller's request already asked to
// continue it.
func appendText(messages []json.RawMessage, text string, continues bool) ([]json.RawMessage, error) {
	last := message{Role: "assistant", Content: text}
	if !continues || len(messages) == 0 {
		raw, err := json.Marshal(last)
		return append(messages, raw), errors.Trace(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(messages[len(messages)-1], &fields); err != nil {
		return nil, errors.Trace(err)
	}
	var before string
	if err := json.Unmarshal(fields["content"], &before); err != nil {
		return nil, errors.Annotate(err, "the final message is not plain text")
	}
	fields["content"], _ = json.Marshal(before + text) // marshalling a string cannot fail
	raw, err := json.Marshal(fields)
	out := append(append([]json.RawMessage(nil), messages[:len(messages)-1]...), raw)
	return out, errors.Trace(err)
}
