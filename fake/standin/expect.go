package standin

import (
	"fmt"
	"strings"
)

// DefaultDocuments is how many documents a retriever stage asks for.
const DefaultDocuments = 8

// Token returns the i-th token of the engine's answer to a prompt.
func Token(prompt string, i int) string { return token(hash(prompt), i) }

func token(h uint64, i int) string { return fmt.Sprintf("w%x-%d ", h&0xffffffff, i) }

// Text returns the engine's whole answer to a prompt.
func Text(prompt string, tokens int) string {
	var b strings.Builder
	h := hash(prompt)
	for i := range tokens {
		b.WriteString(token(h, i))
	}
	return b.String()
}

// PipelineText returns the answer of an encode, retrieve, rerank, generate pipeline of stand-ins to a query.
func PipelineText(query string, tokens int) string {
	return Text(GroundedPrompt(query, DefaultDocuments, true), tokens)
}

// GroundedPrompt returns the prompt of a pipeline's generate stage for the given number of retrieved
// documents. The reranker reverses their order.
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
