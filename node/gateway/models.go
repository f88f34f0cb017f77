package gateway

import (
	"encoding/json"
	"net/http"
	"slices"

	"caperdrum.org/api/verdict"
)

// modelList is the response to GET /v1/models in the OpenAI API.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the model names that select a pipeline.
func (s *Service) handleModels(w http.ResponseWriter, _ *http.Request) {
	if refusal := s.checkServing(); refusal != nil {
		s.writeFailure(w, "", refusal)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, p := range s.p.Sync.View().Config.Pipelines {
		if p.Model != "" {
			list.Data = append(list.Data, model{ID: p.Model, Object: "model", OwnedBy: "caperdrum"})
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	data, err := json.Marshal(list)
	if err != nil {
		s.writeFailure(w, "", verdict.From(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}
