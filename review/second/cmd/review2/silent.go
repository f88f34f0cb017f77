package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// calm is how long after the connections went silent the first streams are sent. It is more than contactMs (3 s) after
	// that, and after the election that may follow (0.6 s to 1.2 s).
	calm = 8 * time.Second
	// perRound is the number of streams in a round.
	perRound = 24
)

// silentCase: all open connections between machines go silent for good, without a reset, while new ones work. From contactMs
// on, clients take up streams at other machines.
func silentCase(e env) int {
	s, err := newSystem(e.r, []bool{true, true, true, true})
	if err != nil {
		return e.fail("addresses", err)
	}
	defer s.stop()
	relays, err := s.addRelays()
	if err != nil {
		return e.fail("relays", err)
	}
	if err := s.startAll(); err != nil {
		return e.fail("start", err)
	}
	if _, ok := s.put(e.ctx, document(4)); !ok {
		return e.fail("desired state", fmt.Errorf("not acknowledged"))
	}
	for i, w := range [][2]string{{"pool", "v1"}, {"pool", "v1"}, {"pool", "v2"}, {"pool", "v2"}, {"trace", "v1"}} {
		_, err := s.startWorker(fmt.Sprint("w", i+1), "-id", fmt.Sprint("i-", i+1), "-service", w[0], "-version", w[1], "-addr", fmt.Sprintf("%s.%d:8080", s.net, 101+i),
			"-events", fmt.Sprint(streamEvents), "-pause", "50ms", "-born", fmt.Sprint(time.Now().UnixMilli()))
		if err != nil {
			return e.fail("worker", err)
		}
	}
	for _, n := range s.nodes {
		if !await(e.ctx, n.isReady) || !await(e.ctx, func() bool { return s.begins(e, n, "warm-"+n.name, "staged.example") }) {
			return e.fail("warm-up", fmt.Errorf("%s serves no stream", n.name))
		}
	}
	sleep(e.ctx, trafficStart)
	before := s.takeUps(e, 0)
	e.r.add("before: %s", before)
	if before.begun < perRound || before.wentOn < perRound {
		return e.fail("streams before", fmt.Errorf("%s", before))
	}
	if e.trouble {
		open := 0
		for _, r := range relays {
			open += r.silence()
		}
		e.r.add("%d open connections between machines go silent", open)
	}
	sleep(e.ctx, calm)
	var rounds []takeUpResult
	for i := range 3 {
		r := s.takeUps(e, i+1)
		e.r.add("round %d: %s", i+1, r)
		rounds = append(rounds, r)
		sleep(e.ctx, 4*time.Second)
	}
	last := rounds[len(rounds)-1]
	ready := 0
	for _, n := range s.nodes {
		if n.isReady() {
			ready++
		}
	}
	return e.verdict(last.taken >= 12 && 2*last.wentOn*perRound < last.begun*last.taken, "before: %s; last round: %s; %d of %d machines are ready", before, last, ready, len(s.nodes))
}

// addRelays puts a relay between the machines' peer addresses and their processes.
func (s *system) addRelays() ([]*relay, error) {
	var out []*relay
	for _, n := range s.nodes {
		private := strings.Replace(n.ip, s.net+".", s.net+".20", 1) + ":" + s.ports[3]
		r, err := startRelay(n.ip+":"+s.ports[3], private, func() int { return n.p.cmd.Process.Pid })
		if err != nil {
			return nil, err
		}
		out = append(out, r)
		n.private = private
	}
	return out, nil
}

// takeUpResult counts the streams of a round.
type takeUpResult struct{ begun, taken, wentOn, staged int }

func (t takeUpResult) String() string {
	return fmt.Sprintf("%d of %d new streams began, %d of %d that were taken up went on, %d of %d streams with a stage began", t.begun, perRound, t.wentOn, t.taken, t.staged, perRound)
}

// takeUps has clients begin streams, lose their connections and take the streams up at another machine.
func (s *system) takeUps(e env, round int) (t takeUpResult) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range perRound {
		from, to := s.nodes[i%len(s.nodes)], s.nodes[(i+1+i/len(s.nodes)%(len(s.nodes)-1))%len(s.nodes)]
		all.Go(func() {
			id := fmt.Sprintf("%08x%08x", 0x5712ea00+round, 2*i)
			last := s.firstEvents(e, from, id, headers("resume.example", id, 12000))
			wentOn := false
			if last != "" {
				next := fmt.Sprintf("%08x%08x", 0x5712ea00+round, 2*i+1)
				h := headers("resume.example", next, 11000)
				h["Last-Event-Id"], h["Resumes"] = last, id
				wentOn = s.firstEvents(e, to, next, h) != ""
			}
			staged := fmt.Sprintf("%08x%08x", 0x57a9ed00+round, i)
			h := headers("staged.example", staged, 6000)
			h[name("pieces")], h[name("pieceKey")] = "2", "7c1e07a291bd"
			withStage := s.firstEvents(e, from, staged, h) != ""
			mu.Lock()
			defer mu.Unlock()
			t.begun += count(last != "")
			t.taken += count(last != "")
			t.wentOn += count(wentOn)
			t.staged += count(withStage)
		})
	}
	all.Wait()
	return t
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// firstEvents reads the first events of a stream, breaks the connection off and returns the id of the last one.
func (s *system) firstEvents(e env, n *node, id string, h map[string]string) (last string) {
	ctx, cancel := context.WithTimeout(e.ctx, 8*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+"/chat/x", strings.NewReader("hello "+id))
	for name, value := range h {
		req.Header.Set(name, value)
	}
	req.Host = h["Host"]
	resp, err := oneShot.Do(req)
	if err != nil {
		e.r.add("client: %s at %s, after event %q of %q: %v", id, n.name, h["Last-Event-Id"], h["Resumes"], err)
		return ""
	}
	defer resp.Body.Close()
	lines, seen, first := bufio.NewScanner(resp.Body), 0, ""
	for seen < 3 && resp.StatusCode == http.StatusOK && lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "id: "); found {
			last = value
		}
		if strings.HasPrefix(lines.Text(), "data: ") {
			seen++
			if first == "" {
				first = lines.Text()
			}
		}
	}
	if resp.StatusCode != http.StatusOK {
		lines.Scan()
		first = lines.Text()
	}
	e.r.add("client: %s at %s, after event %q of %q: status %d, %s", id, n.name, h["Last-Event-Id"], h["Resumes"], resp.StatusCode, first)
	return last
}
