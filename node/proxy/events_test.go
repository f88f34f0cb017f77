package proxy

import (
	"strings"
	"testing"
)

// TestEventSplitterLineEnds feeds streams with each end of a line, byte by byte and split at every position: the events
// come out whole, and a stream ends inside an event at all other positions.
func TestEventSplitterLineEnds(t *testing.T) {
	for name, eol := range map[string]string{"LF": "\n", "CR": "\r", "CRLF": "\r\n"} {
		lines := []string{": comment", "id: 1", "data: a", "data: b", "", ": comment", "", "retry: 5", "data: without id", "", "id:2", "data", ""}
		stream := strings.Join(lines, eol) + eol
		var bytewise eventSplitter
		got := ""
		for i := range len(stream) {
			got += string(bytewise.feed([]byte(stream[i : i+1])))
			var e eventSplitter
			whole := string(e.feed([]byte(stream[:i+1])))
			if whole += string(e.feed([]byte(stream[i+1:]))); whole != stream || e.lastID != "2" || !e.seen || e.insideEvent(false) {
				t.Fatalf("%s, split at %d: %q, %+v", name, i+1, whole, e)
			}
		}
		if got != stream || bytewise.lastID != "2" || bytewise.insideEvent(false) {
			t.Fatalf("%s, byte by byte: %q, %+v", name, got, bytewise)
		}
		for cut := range len(stream) {
			var e eventSplitter
			whole := string(e.feed([]byte(stream[:cut])))
			rest := strings.Trim(stream[len(whole):cut], "\r\n")
			if inside := e.insideEvent(false); rest != ": comment" && inside != (rest != "") {
				t.Errorf("%s, cut at %d: %q after the last event, inside an event %v", name, cut, stream[len(whole):cut], inside)
			}
		}
	}
}

// TestEndsOfEventStreams lists what may follow the last event of a stream.
func TestEndsOfEventStreams(t *testing.T) {
	for _, c := range []struct {
		tail            string
		framed, unknown bool // inside an event, where the framing states the end and where it does not
	}{
		{"", false, false},
		{"\n", false, false},
		{": bye\n", false, false},
		{": bye", false, true},
		{"id: 2", true, true},
		{"id: 2\n", true, true},
		{"data: b\r\n", true, true},
		{"unknown-field: 1\n", true, true},
		{": comment\ndata: b\n", true, true},
		{"x", true, true},
		{"data: " + strings.Repeat("long", 1<<16), true, true},
	} {
		var e eventSplitter
		if whole := string(e.feed([]byte("id: 1\ndata: a\n\n" + c.tail))); !strings.HasPrefix(whole, "id: 1\ndata: a\n\n") || e.lastID != "1" {
			t.Fatalf("%.20q: %q", c.tail, whole)
		}
		if framed, unknown := e.insideEvent(true), e.insideEvent(false); framed != c.framed || unknown != c.unknown {
			t.Errorf("%.20q: inside an event: %v if framed, %v if not", c.tail, framed, unknown)
		}
	}
}
