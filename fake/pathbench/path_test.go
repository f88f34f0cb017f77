package pathbench

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	entry  = flag.String("entry", "", "address of an entry; without it nothing is measured")
	plain  = flag.String("plain", "", "address of a plain stand-in")
	engine = flag.String("engine", "", "address of an engine stand-in")
	length = flag.Duration("length", 5*time.Second, "time of one measurement")
	pids   = flag.String("pids", "", "NAME=PID,... of processes whose processor time is told")
	caFile = flag.String("ca", "", "PEM file of the authority, when the entry encrypts")
	fixed  = flag.Float64("rate", 0, "calls a second of the latency measurement; 0 means half of the full load")
	agents = flag.Int("workers", 64, "callers at full load")
)

const chat = `{"model":"desk-chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"hello"}]}`

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}

// load is what one measurement found.
type load struct {
	calls, tokens, failed atomic.Int64
	mu                    sync.Mutex
	whole, first, between []time.Duration
	failure               string // the first one
}

func (l *load) fail(why string) {
	l.failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == "" {
		l.failure = why
	}
}

func (l *load) add(whole, first time.Duration, between []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole = append(l.whole, whole)
	l.first = append(l.first, first)
	l.between = append(l.between, between...)
}

func (l *load) call(url, body string) {
	started := time.Now()
	req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	req.Header.Set("X-Customer-Id", "foundry")
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		l.fail(err.Error())
		return
	}
	defer resp.Body.Close()
	var first time.Duration
	var between []time.Duration
	last := started
	tokens := 0
	r := bufio.NewReader(resp.Body)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(r)
		l.fail(resp.Status + " " + string(text))
		return
	}
	for {
		line, err := r.ReadSlice('\n')
		if len(line) > 1 {
			now := time.Now()
			if tokens == 0 {
				first = now.Sub(started)
			} else {
				between = append(between, now.Sub(last))
			}
			last = now
			tokens += bytes.Count(line, []byte("data: {"))
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			l.fail(err.Error())
			return
		}
	}
	l.calls.Add(1)
	l.tokens.Add(int64(tokens))
	l.add(time.Since(started), first, between)
}

// closedLoop calls with a number of callers that each wait for their answer.
func closedLoop(workers int, url, body string) *load {
	l := &load{}
	end := time.Now().Add(*length)
	var done sync.WaitGroup
	for range workers {
		done.Go(func() {
			for time.Now().Before(end) {
				l.call(url, body)
			}
		})
	}
	done.Wait()
	return l
}

// openLoop calls at a steady rate, whatever the answers do.
func openLoop(rate float64, url, body string) *load {
	l := &load{}
	var done sync.WaitGroup
	started := time.Now()
	for i := 0; time.Since(started) < *length; i++ {
		time.Sleep(time.Until(started.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		done.Go(func() { l.call(url, body) })
	}
	done.Wait()
	return l
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}

func report(t *testing.T, what string, path, direct []time.Duration) {
	for _, q := range []float64{0.5, 0.99} {
		p, d := quantile(path, q), quantile(direct, q)
		t.Logf("%s p%g: path %v, direct %v, added %v, ratio %.1f", what, q*100, p.Round(time.Microsecond), d.Round(time.Microsecond),
			(p - d).Round(time.Microsecond), float64(p)/float64(max(d, 1)))
	}
}

func addTrustedCA(t *testing.T, file string) {
	ca, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		t.Fatalf("%s holds no certificate", file)
	}
	client.Transport.(*http.Transport).TLSClientConfig = &tls.Config{RootCAs: pool}
}

func TestPath(t *testing.T) {
	if *entry == "" {
		t.Skip("runs from scripts/bench_path.sh")
	}
	base := "http://" + *entry
	if *caFile != "" {
		base = "https://" + *entry
		addTrustedCA(t, *caFile)
	}
	for _, c := range []struct{ name, path, direct, body string }{
		{"small call", base + "/v1/services/order-desk/call", "http://" + *plain + "/call", `{"lot":1}`},
		{"stream of 200 tokens", base + "/v1/chat/completions", "http://" + *engine + "/v1/chat/completions", chat},
	} {
		t.Run(c.name, func(t *testing.T) { measure(t, c.name, c.path, c.direct, c.body) })
	}
}

func measure(t *testing.T, name, pathURL, directURL, body string) {
	direct := closedLoop(*agents, directURL, body)
	before := processorTimes(t)
	path := closedLoop(*agents, pathURL, body)
	for name, used := range processorTimes(t) {
		used -= before[name]
		t.Logf("%s: %v of processor a call, so two cores bear %.0f calls/s", name, used/time.Duration(max(path.calls.Load(), 1)),
			2*float64(path.calls.Load())/max(used.Seconds(), tick.Seconds()))
	}
	seconds := length.Seconds()
	rate := float64(path.calls.Load()) / seconds
	t.Logf("%s, full load: path %.0f calls/s %.0f tokens/s %d failed %s; direct %.0f calls/s %.0f tokens/s; ratio %.2f", name, rate,
		float64(path.tokens.Load())/seconds, path.failed.Load(), path.failure, float64(direct.calls.Load())/seconds, float64(direct.tokens.Load())/seconds,
		float64(path.calls.Load())/float64(max(direct.calls.Load(), 1)))
	partial := rate / 2
	if *fixed > 0 {
		partial = *fixed
	}
	half := openLoop(partial, pathURL, body)
	base := openLoop(partial, directURL, body)
	t.Logf("%s, partial load: %.0f calls/s, %d failed %s", name, partial, half.failed.Load(), half.failure)
	report(t, name+" whole", half.whole, base.whole)
	report(t, name+" first byte", half.first, base.first)
	report(t, name+" between tokens", half.between, base.between)
}
