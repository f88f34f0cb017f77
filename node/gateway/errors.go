package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// errorBody is the JSON body of an error response: the format of the OpenAI API with the verdict added.
type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Param     *string         `json:"param"` // always null
	Code      verdict.Code    `json:"code"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID wire.RequestID  `json:"request_id"`
}

// errorType returns the matching error type of the OpenAI API.
func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func writeError(w http.ResponseWriter, id wire.RequestID, e *verdict.Error) {
	b := errorBody{errorObject{Message: e.Message, Type: errorType(e.Status), Code: e.Code, Verdict: e.Verdict, RequestID: id}}
	h := w.Header()
	h.Set(wire.HeaderVerdict, e.Verdict.String())
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set(wire.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	json.NewEncoder(w).Encode(b)
}
