package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"caperdrum.org/api/wire"
)

// finishingWriter ends the response once its first bytes were written.
type finishingWriter struct {
	*httptest.ResponseRecorder
	a *attempt
}

func (w *finishingWriter) Write(p []byte) (int, error) {
	w.a.response.finish(nil)
	return w.ResponseRecorder.Write(p)
}

// An event stream is flushed as it arrives. An entry can use any other response only once it is complete, so
// that one is not flushed in parts.
func TestOnlyEventStreamsAreFlushed(t *testing.T) {
	for contentType, flushed := range map[string]bool{wire.ContentEventStream + "; charset=utf-8": true, "application/json": false, "": false} {
		m := newGateModel()
		s := &Service{table: m.table}
		a := &attempt{response: newResponseBuffer()}
		a.response.start(http.StatusOK, nil)
		a.response.append([]byte("first part"))
		w := &finishingWriter{httptest.NewRecorder(), a}
		w.Header().Set("Content-Type", contentType)
		s.copyResponse(w, httptest.NewRequest(http.MethodPost, "/", nil), a, 0)
		if w.Flushed != flushed {
			t.Errorf("%q: flushed %v before its end", contentType, w.Flushed)
		}
		if w.Body.String() != "first part" || w.Header().Get(wire.TrailerEnd) != wire.EndWhole {
			t.Errorf("%q: response %q, end %q", contentType, w.Body, w.Header().Get(wire.TrailerEnd))
		}
	}
}
