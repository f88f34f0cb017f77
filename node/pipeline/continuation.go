package pipeline

import (
	"encoding/json"

	"github.com/juju/errors"
)

// tokenLimits are the fields that bound or demand generated tokens.
var tokenLimits = []string{"max_tokens", "max_completion_tokens", "min_tokens"}

// errComplete says that the limit of tokens was reached before the cut.
var errTokenLimitReached = errors.New("pipeline: all tokens were generated")

// continuation returns the chat request that goes on after what was passed on:
// the text so far stands as the final assistant message, to be continued, and
// the limits are lower by the tokens generated. Every other field is kept.
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
		fields[name], _ = json.Marshal(max(rest, 0)) // cannot fail for an int
	}
	return nil
}

// appendText adds an assistant message, or lengthens the final one when the
// caller's own request was to continue it.
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
	fields["content"], _ = json.Marshal(before + text) // cannot fail for a string
	raw, err := json.Marshal(fields)
	out := append(append([]json.RawMessage(nil), messages[:len(messages)-1]...), raw)
	return out, errors.Trace(err)
}
