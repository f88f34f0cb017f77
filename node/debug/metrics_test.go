package debug

import (
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestMetricsAsText checks the text format for every kind of value.
func TestMetricsAsText(t *testing.T) {
	expvar.NewInt("test_calls").Set(7)
	refused := expvar.NewMap("test_refused")
	refused.Add("busy", 3)
	refused.Add(`a "quoted" one`, 1)
	expvar.Publish("test_control", expvar.Func(func() any {
		return map[string]any{"leads": true, "term": 4, "owner": "vm-1", "members": map[string]int{"ready": 2}}
	}))
	w := httptest.NewRecorder()
	writeMetrics(w, nil)
	for _, want := range []string{
		"test_calls 7\n",
		"test_refused{of=\"busy\"} 3\n",
		"test_refused{of=\"a \\\"quoted\\\" one\"} 1\n",
		"test_control{of=\"leads\"} 1\n",
		"test_control{of=\"term\"} 4\n",
		"test_control{of=\"owner\",what=\"vm-1\"} 1\n",
		"test_control{of=\"members\",what=\"ready\"} 2\n",
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("%q is missing in\n%s", want, w.Body)
		}
	}
	if strings.Contains(w.Body.String(), "cmdline") {
		t.Error("cmdline is exported as a metric")
	}
}
