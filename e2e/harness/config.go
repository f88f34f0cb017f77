package harness

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"caperdrum.org/api/wire"
)

// Desk is the name of the non-idempotent service.
const Desk = "order-desk"

// Customer is the customer of all requests.
const Customer = "foundry"

const textBody = `
[data_center:north]
region = test
[data_center:south]
region = test
[service:encoder]
kind = encoder
repeatable = true
[service:retriever]
kind = retriever
repeatable = true
[service:reranker]
kind = reranker
repeatable = true
[service:llm]
kind = engine
repeatable = true
concurrency = 16
[service:order-desk]
kind = plain
repeatable = false
concurrency = 16
[pipeline:quote]
deadline = 20s
[stage:quote/encode]
service = encoder
[stage:quote/retrieve]
service = retriever
after = encode
[stage:quote/rerank]
service = reranker
after = retrieve
[stage:quote/generate]
service = llm
after = rerank
[pipeline:chat]
deadline = 20s
model = desk-chat
[stage:chat/generate]
service = llm
[customer:foundry]
share = 3
`

// Text returns a valid configuration that is unique to the mark.
func Text(mark string) string { return "# " + mark + "\n" + textBody }

// Change returns a change request with a new change id.
func Change(number uint64, text string) wire.ChangeRequest {
	return wire.ChangeRequest{Number: number, Text: text, ChangeID: uuid.NewString()}
}

// MustApply applies a text as the given version and fails the test if it isn't accepted.
func (s *System) MustApply(number uint64, text string) wire.ChangeRequest {
	s.T.Helper()
	c := Change(number, text)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	res, err := s.Admin().Apply(ctx, c)
	if err != nil || !res.Accepted || res.Version != number {
		s.T.Fatalf("change %d: %+v %v", number, res, err)
	}
	return c
}

// AwaitVersion waits until every running process holds the version.
func (s *System) AwaitVersion(version uint64) {
	s.T.Helper()
	Eventually(s.T, func() string {
		for _, c := range s.Controls {
			if st := s.Status(c); c.PID() > 0 && (st == nil || st.ConfigVersion != version) {
				return fmt.Sprintf("version %d on %s: %+v", version, c.Name, st)
			}
		}
		rows, err := s.Admin().Members(context.Background())
		if err != nil {
			return err.Error()
		}
		for _, m := range rows {
			if m.ConfigVersion != version {
				return fmt.Sprintf("version %d on %s: %d", version, m.ID, m.ConfigVersion)
			}
		}
		return ""
	})
}
