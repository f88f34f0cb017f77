package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"caperdrum.org/api/verdict"
	"caperdrum.org/node/settings"
)

// TestAnswerOfACrashedUpstreamIsNotWhole guards against a confirmation of which only a part arrived and which the gate
// records as whole: the upstream answers without a length and crashes, and the kernel closes its connection in order.
func TestAnswerOfACrashedUpstreamIsNotWhole(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nconfirmed")
			if crashes {
				l.Close()
			}
		}()
		s := &Service{set: settings.AgentRole{Upstream: l.Addr().String(), MaxAnswerBytes: 1 << 20}, upstream: newUpstreamClients(), table: newGateModel().table}
		a := &attempt{method: http.MethodPost, path: "/confirm", header: http.Header{}, body: []byte("order"), response: newResponseBuffer()}
		switch failure := s.call(context.Background(), a); {
		case !crashes && failure != nil:
			t.Errorf("a whole answer is taken for cut: %v", failure)
		case crashes && (failure == nil || failure.Verdict != verdict.Ran || failure.Code != verdict.CodeAnswerCut):
			t.Errorf("the answer of a crashed upstream is taken for whole: %v", failure)
		}
	}
}
