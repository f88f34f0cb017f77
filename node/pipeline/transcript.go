package pipeline

import (
	"bytes"
	"encoding/json"
	"strings"
)

// transcript holds the data of all forwarded chunks of a chat. It is kept as bytes and parsed only if the
// stream breaks off, since most never do.
type transcript struct {
	chunks [][]byte // slices of blocks
	block  []byte
	size   int
}

const transcriptBlock = 16 << 10 // bytes

func (t *transcript) add(data []byte) {
	if len(t.block)+len(data) > cap(t.block) {
		t.block = make([]byte, 0, max(transcriptBlock, len(data)))
	}
	start := len(t.block)
	t.block = append(t.block, data...)
	t.chunks = append(t.chunks, t.block[start:len(t.block):len(t.block)])
	t.size += len(data)
}

// progress is the parsed content of a transcript.
type progress struct {
	first     map[string]json.RawMessage // fields of the first chunk, such as id, created and model
	text      string
	tokens    int  // chunks with content; each counts as one token
	finished  bool // a finish reason was forwarded
	resumable bool // the stream is one choice of plain text
}

type chunk struct {
	Choices []struct {
		Index        int             `json:"index"`
		FinishReason *string         `json:"finish_reason"`
		Delta        json.RawMessage `json:"delta"`
	} `json:"choices"`
}

type delta struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
	Function  json.RawMessage `json:"function_call"`
	Reasoning *string         `json:"reasoning_content"`
	Refusal   *string         `json:"refusal"`
}

func (t *transcript) progress() progress {
	p := progress{resumable: t.size <= maxResponse}
	var text strings.Builder
	for _, data := range t.chunks {
		if p.first == nil && json.Unmarshal(data, &p.first) != nil {
			p.first = nil
		}
		var c chunk
		if json.Unmarshal(data, &c) != nil {
			p.resumable = false
			continue
		}
		for _, choice := range c.Choices {
			var d delta
			if len(choice.Delta) > 0 && json.Unmarshal(choice.Delta, &d) != nil {
				p.resumable = false
			}
			if choice.Index != 0 || !absent(d.ToolCalls) || !absent(d.Function) || nonEmpty(d.Reasoning) || nonEmpty(d.Refusal) {
				p.resumable = false
			}
			if nonEmpty(d.Content) {
				text.WriteString(*d.Content)
				p.tokens++
			}
			p.finished = p.finished || choice.FinishReason != nil
		}
	}
	p.text = text.String()
	return p
}

func absent(m json.RawMessage) bool { return len(m) == 0 || bytes.Equal(m, []byte("null")) }

func nonEmpty(s *string) bool { return s != nil && *s != "" }

// identityFields identify a stream and must not change within it.
var identityFields = []string{"id", "created", "model", "system_fingerprint", "object"}

// rewrite makes a chunk of another engine part of the stream that began elsewhere: it gets the identity of
// the first engine's chunks, no second role, and a usage that includes the text generated before. It returns
// nil for a chunk without new content.
func (p *progress) rewrite(data []byte) ([]byte, error) {
	if p.first == nil {
		return data, nil // nothing was forwarded yet, so this engine's stream is the first one
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	for _, name := range identityFields {
		if v, ok := p.first[name]; ok {
			fields[name] = v
		} else {
			delete(fields, name)
		}
	}
	hasContent, err := rewriteChoices(fields)
	if err != nil {
		return nil, err
	}
	if usage := fields["usage"]; !absent(usage) {
		hasContent = true
		if fields["usage"], err = p.addUsage(usage); err != nil {
			return nil, err
		}
	}
	if !hasContent {
		return nil, nil
	}
	return json.Marshal(fields)
}

// rewriteChoices removes roles and reports whether any choice has new content.
func rewriteChoices(fields map[string]json.RawMessage) (hasContent bool, err error) {
	if absent(fields["choices"]) {
		return true, nil
	}
	var choices []map[string]json.RawMessage
	if err := json.Unmarshal(fields["choices"], &choices); err != nil {
		return false, err
	}
	for _, c := range choices {
		if !absent(c["finish_reason"]) {
			hasContent = true
		}
		if absent(c["delta"]) {
			continue
		}
		var d map[string]json.RawMessage
		if err := json.Unmarshal(c["delta"], &d); err != nil {
			return false, err
		}
		delete(d, "role")
		for _, v := range d {
			hasContent = hasContent || !absent(v) && !bytes.Equal(v, []byte(`""`))
		}
		if c["delta"], err = json.Marshal(d); err != nil {
			return false, err
		}
	}
	fields["choices"], err = json.Marshal(choices)
	return hasContent, err
}

// addUsage counts the text generated before as completion and not as prompt.
func (p *progress) addUsage(usage json.RawMessage) (json.RawMessage, error) {
	var u map[string]json.RawMessage
	if err := json.Unmarshal(usage, &u); err != nil {
		return nil, err
	}
	for name, by := range map[string]int{"completion_tokens": p.tokens, "prompt_tokens": -p.tokens} {
		var n int
		if json.Unmarshal(u[name], &n) != nil {
			continue
		}
		u[name], _ = json.Marshal(max(n+by, 0)) // marshalling an int cannot fail
	}
	return json.Marshal(u)
}
