package pipeline

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
)

// Upstream paths by kind of service.
const (
	pathEmbeddings = "/v1/embeddings"
	pathSearch     = "/v1/search"
	pathRerank     = "/v1/rerank"
	pathChat       = "/v1/chat/completions"
	pathPlain      = "/"
	defaultTopK    = 8
)

type embedRequest struct {
	Input string `json:"input"`
}

type embedResponse struct {
	Data []struct {
		Embedding []float64 `json:"embedding"`
	} `json:"data"`
}

type searchRequest struct {
	Query  string    `json:"query"`
	Vector []float64 `json:"vector,omitempty"`
	TopK   int       `json:"top_k"`
}

// Document is a retrieved text.
type Document struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

type searchResponse struct {
	Documents []Document `json:"documents"`
}

type rerankRequest struct {
	Query     string     `json:"query"`
	Documents []Document `json:"documents"`
	TopN      int        `json:"top_n"`
}

type rerankResponse struct {
	Results []struct {
		Index int     `json:"index"`
		Score float64 `json:"relevance_score"`
	} `json:"results"`
	Documents []Document `json:"documents"`
}

type chatRequest struct {
	Model    string    `json:"model,omitempty"`
	Messages []message `json:"messages"`
	Stream   bool      `json:"stream,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type plainRequest struct {
	Query  string                     `json:"query"`
	Inputs map[string]json.RawMessage `json:"inputs,omitempty"`
}

// buildBody builds a stage's request from the caller's input and the responses of the stages that it depends
// on.
func buildBody(sv *optext.Service, st *optext.Stage, r *Request, responses map[string][]byte, stream bool) (path string, body []byte, err error) {
	in := r.Input
	var v any
	switch optext.Kind(sv.Kind) {
	case optext.Encoder:
		path, v = pathEmbeddings, embedRequest{Input: in.Query}
	case optext.Retriever:
		vector, err := vectorOf(st, r, responses)
		if err != nil {
			return "", nil, err
		}
		path, v = pathSearch, searchRequest{Query: in.Query, Vector: vector, TopK: topK(in)}
	case optext.Reranker:
		docs, err := documentsOf(st, r, responses)
		if err != nil {
			return "", nil, err
		}
		path, v = pathRerank, rerankRequest{Query: in.Query, Documents: docs, TopN: topK(in)}
	case optext.Engine:
		if len(st.After) == 0 && len(in.Messages) > 0 {
			return pathChat, in.Raw, nil // the caller's own chat request, unchanged
		}
		chat, err := chatOf(st, r, responses, stream)
		if err != nil {
			return "", nil, err
		}
		body, err = mergeCallerFields(in, chat)
		return pathChat, body, err
	default:
		path, v = pathPlain, plainOf(st, in, responses)
	}
	body, err = json.Marshal(v)
	return path, body, errors.Trace(err)
}

func topK(in Input) int {
	if in.TopK > 0 {
		return in.TopK
	}
	return defaultTopK
}

// eachInput calls f with the response of each stage that st depends on and whose service has the given kind.
func eachInput(st *optext.Stage, r *Request, responses map[string][]byte, kind optext.Kind, f func([]byte) error) error {
	for _, name := range st.After {
		for _, other := range r.Pipeline.Stages {
			if other.Name != name || optext.Kind(r.Config.Services[other.Service].Kind) != kind {
				continue
			}
			if err := f(responses[name]); err != nil {
				return errors.Annotatef(err, "answer of stage %s", name)
			}
		}
	}
	return nil
}

func vectorOf(st *optext.Stage, r *Request, responses map[string][]byte) ([]float64, error) {
	var vector []float64
	err := eachInput(st, r, responses, optext.Encoder, func(b []byte) error {
		var a embedResponse
		if err := json.Unmarshal(b, &a); err != nil {
			return err
		}
		if len(a.Data) == 0 {
			return errors.New("no embedding")
		}
		vector = a.Data[0].Embedding
		return nil
	})
	return vector, err
}

// documentsOf collects the retrieved documents; reranked ones are in their new order.
func documentsOf(st *optext.Stage, r *Request, responses map[string][]byte) ([]Document, error) {
	var docs []Document
	err := eachInput(st, r, responses, optext.Retriever, func(b []byte) error {
		var a searchResponse
		err := json.Unmarshal(b, &a)
		docs = append(docs, a.Documents...)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = eachInput(st, r, responses, optext.Reranker, func(b []byte) error {
		var a rerankResponse
		err := json.Unmarshal(b, &a)
		docs = append(docs, a.Documents...)
		return err
	})
	return docs, err
}

func chatOf(st *optext.Stage, r *Request, responses map[string][]byte, stream bool) (chatRequest, error) {
	docs, err := documentsOf(st, r, responses)
	if err != nil {
		return chatRequest{}, err
	}
	var context strings.Builder
	for _, d := range docs {
		context.WriteString("[" + d.ID + "] " + d.Text + "\n")
	}
	return chatRequest{Model: r.Input.Model, Stream: stream, Messages: []message{
		{Role: "system", Content: "Answer from these documents:\n" + context.String()},
		{Role: "user", Content: r.Input.Query},
	}}, nil
}

// pipelineOnlyFields are fields of a pipeline's input that the chat API lacks.
var pipelineOnlyFields = []string{"query", "top_k"}

// mergeCallerFields encodes a chat request and adds the caller's fields that this package does not know, such
// as temperature or stream_options.
func mergeCallerFields(in Input, c chatRequest) ([]byte, error) {
	own, err := json.Marshal(c)
	if err != nil || len(in.Raw) == 0 {
		return own, errors.Trace(err)
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(in.Raw, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	for _, name := range pipelineOnlyFields {
		delete(fields, name)
	}
	delete(fields, "stream")
	if err := json.Unmarshal(own, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	body, err := json.Marshal(fields)
	return body, errors.Trace(err)
}

func plainOf(st *optext.Stage, in Input, responses map[string][]byte) plainRequest {
	p := plainRequest{Query: in.Query, Inputs: map[string]json.RawMessage{}}
	for _, name := range st.After {
		if json.Valid(responses[name]) {
			p.Inputs[name] = responses[name]
		}
	}
	return p
}
