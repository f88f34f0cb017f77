package standin

import (
	"fmt"
	"strings"
)

// DefaultDocuments is how many documents a retriever stage asks for.
const DefaultDocuments = 8

// Token returns the i-th token that the engine answers to a prompt.
func Token(prompt string, i int) string { return token(hash(prompt), i) }

func token(h uint64, i int) string { return fmt.Sprintf("w%x-%d ", h&0xffffffff, i) }

// Text returns the whole answer to a prompt.
func Text(prompt string, tokens int) string {
	var b strings.Builder
	h := hash(prompt)
	for i := range tokens {
		b.WriteString(token(h, i))
	}
	return b.String()
}

// PipelineText returns the text that an encode, retrieve, rerank, generate
// pipeline over stand-ins answers to a query.
func PipelineText(query string, tokens int) string {
	return Text(GroundedPrompt(query, DefaultDocuments, true), tokens)
}

// GroundedPrompt returns the prompt of a pipeline's generate stage over the
// given number of retrieved documents, which a reranker turns round.
func GroundedPrompt(query string, documents int, reranked bool) string {
	var prompt strings.Builder
	prompt.WriteString("system:Answer from these documents:\n")
	for i := range documents {
		if reranked {
			i = documents - 1 - i
		}
		d := document(query, i)
		prompt.WriteString("[" + d.ID + "] " + d.Text + "\n")
	}
	return prompt.String() + "\nuser:" + query + "\n"
}

func document(query string, i int) Document {
	return Document{ID: fmt.Sprintf("d%d", i), Text: fmt.Sprintf("about %s, part %d", query, i)}
}
