package standin

import "fmt"

const defaultDocuments = 8

// PipelineText returns the text that an encode, retrieve, rerank, generate
// pipeline over stand-ins answers to a query.
func PipelineText(query string, tokens int) string {
	prompt := "system:Answer from these documents:\n"
	for i := defaultDocuments - 1; i >= 0; i-- {
		d := document(query, i)
		prompt += "[" + d.ID + "] " + d.Text + "\n"
	}
	return Text(prompt+"\nuser:"+query+"\n", tokens)
}

func document(query string, i int) Document {
	return Document{ID: fmt.Sprintf("d%d", i), Text: fmt.Sprintf("about %s, part %d", query, i)}
}
