package debug

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// excludedVars are variables that package expvar publishes itself: the command line and the runtime's memory
// statistics.
var excludedVars = []string{"cmdline", "memstats"}

// writeMetrics writes all metrics in the Prometheus text format, one sample per line:
// NAME{of="...",what="..."} VALUE. A string value becomes a label of a sample with the value 1.
func writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	var b strings.Builder
	expvar.Do(func(kv expvar.KeyValue) {
		if slices.Contains(excludedVars, kv.Key) {
			return
		}
		var value any
		if err := json.Unmarshal([]byte(kv.Value.String()), &value); err != nil {
			fmt.Fprintf(&b, "metric_unreadable{of=%q} 1\n", kv.Key)
			return
		}
		writeValue(&b, kv.Key, nil, value)
	})
	io.WriteString(w, b.String()) // the client may have disconnected; there is nobody to report the error to
}

// labelNames are the labels for the levels of a nested value; deeper levels are omitted.
var labelNames = [...]string{"of", "what", "value"}

func writeValue(b *strings.Builder, name string, labels []string, value any) {
	switch v := value.(type) {
	case float64:
		writeSample(b, name, labels, strconv.FormatFloat(v, 'f', -1, 64))
	case bool:
		writeSample(b, name, labels, map[bool]string{false: "0", true: "1"}[v])
	case string:
		writeSample(b, name, append(slices.Clip(labels), v), "1")
	case map[string]any:
		for _, key := range sortedKeys(v) {
			writeValue(b, name, append(slices.Clip(labels), key), v[key])
		}
	}
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func writeSample(b *strings.Builder, name string, labels []string, value string) {
	if len(labels) > len(labelNames) {
		return
	}
	b.WriteString(name)
	for i, label := range labels {
		b.WriteString(map[bool]string{true: "{", false: ","}[i == 0])
		b.WriteString(labelNames[i] + "=" + strconv.Quote(label))
	}
	if len(labels) > 0 {
		b.WriteString("}")
	}
	b.WriteString(" " + value + "\n")
}
