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

// leftOut are the variables that package expvar publishes by itself: a command line, and
// the collector's figures, of which memory is written alone.
var leftOut = []string{"cmdline", "memstats"}

// writeText writes all metrics as text, a value a line, in the format that monitoring
// systems scrape: NAME{of="...",what="..."} VALUE. A text value is a label of the value 1.
func writeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	var b strings.Builder
	expvar.Do(func(kv expvar.KeyValue) {
		if slices.Contains(leftOut, kv.Key) {
			return
		}
		var value any
		if err := json.Unmarshal([]byte(kv.Value.String()), &value); err != nil {
			fmt.Fprintf(&b, "metric_unreadable{of=%q} 1\n", kv.Key)
			return
		}
		writeValue(&b, kv.Key, nil, value)
	})
	io.WriteString(w, b.String()) // a reader that left needs no answer
}

// labelNames name the levels of a nested value; deeper ones are left out.
var labelNames = [...]string{"of", "what", "value"}

func writeValue(b *strings.Builder, name string, labels []string, value any) {
	switch v := value.(type) {
	case float64:
		writeLine(b, name, labels, strconv.FormatFloat(v, 'f', -1, 64))
	case bool:
		writeLine(b, name, labels, map[bool]string{false: "0", true: "1"}[v])
	case string:
		writeLine(b, name, append(slices.Clip(labels), v), "1")
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

func writeLine(b *strings.Builder, name string, labels []string, value string) {
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
