package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"caperdrum.org/node/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const entryFile = `[node]
name = e
vm = v
data_center = d
roles = entry
[peers]
control = 127.0.0.1:7100
[entry]
listen = 127.0.0.1:8080
[debug]
listen = 127.0.0.1:7102
`

const proxyFile = `[node]
name = p
vm = v
data_center = d
roles = proxy
[debug]
listen = 127.0.0.1:7102
[proxy]
listen = 127.0.0.1:8080
ready = 127.0.0.1:8081
rotation = 1s
`

var _ = Describe("Parse", func() {
	It("accepts the files of the demo", func() {
		files, err := filepath.Glob(absolute("../../examples/demo/*.ini"))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(files)).To(BeNumerically(">", 10))
		GinkgoT().Chdir(GinkgoT().TempDir())
		for _, dir := range []string{"control-1", "control-2", "control-3"} {
			Expect(os.MkdirAll(filepath.Join("data", dir), 0o700)).To(Succeed())
		}
		for _, f := range files {
			if filepath.Base(f) == "text.ini" {
				continue
			}
			data, err := os.ReadFile(f)
			Expect(err).NotTo(HaveOccurred())
			_, err = settings.Parse(f, data)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	DescribeTable("rejects invalid settings with file, line and remedy",
		func(text, want string) {
			_, err := settings.Parse("s.ini", []byte(text))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("unknown key", entryFile+"colour = red\n", `s.ini:12: unknown key "colour" in [debug]; remove it`),
		Entry("bad address", entryFile[:len(entryFile)-len("127.0.0.1:7102\n")]+"localhost\n", `s.ini:11: "localhost" is not an address; write IP:PORT`),
		Entry("negative memory", strings.Replace(entryFile, "roles", "memory = -1\nroles", 1), `use MB, or 0 for no limit`),
		Entry("negative cpu", strings.Replace(entryFile, "roles", "cpu = -0.5\nroles", 1), "s.ini:5: cpu = -0.5: not a number of zero or more; write a number of zero or more"),
		Entry("cpu that is not a number", strings.Replace(entryFile, "roles", "cpu = NaN\nroles", 1), "s.ini:5: cpu = NaN: not a number of zero or more; write a number of zero or more"),
		Entry("cpu with a unit", strings.Replace(entryFile, "roles", "cpu = 352m\nroles", 1), "s.ini:5: cpu = 352m: "),
		Entry("infinite cpu", strings.Replace(entryFile, "roles", "cpu = inf\nroles", 1), "s.ini:5: cpu = +Inf is not a number of cores; write the share of a core, such as 0.5, or 0 if it is unknown"),
		Entry("hedge_stages that is no truth value", proxyFile+"hedge_stages = often\n", "s.ini:12: hedge_stages"),
		Entry("unknown section", entryFile+"[poem]\n", "s.ini:12: unknown section [poem]"),
		Entry("control without a data folder", "[node]\nname = c\nvm = v\ndata_center = d\nroles = control\n[peers]\ncontrol = 127.0.0.1:1\n[control]\nlisten = 127.0.0.1:1\nadmin = 127.0.0.1:2\n[debug]\nlisten = 127.0.0.1:3\n", "a control process needs a data folder"),
		Entry("missing section", "[node]\nname = c\nvm = v\ndata_center = d\nroles = entry\n", "section [peers] is missing"),
	)
})

func absolute(path string) string {
	abs, err := filepath.Abs(path)
	Expect(err).NotTo(HaveOccurred())
	return abs
}

// TestProxyBounds checks the values that a proxy derives from its settings: KeyAge, DrainTimeout and peer addresses.
func TestProxyBounds(t *testing.T) {
	text := `
[node]
name = p
vm = v
data_center = d
roles = proxy
kill_after = 8s
[peers]
control = 127.0.0.1:80, 127.0.0.2:80
port = 7100
listen = 127.0.0.3:7100
[debug]
listen = 127.0.0.3:7200
[proxy]
listen = 127.0.0.3:8080
ready = 127.0.0.3:8081
revoke_within = 3s
repeat_ratio = 0.1
repeat_fixed = 58
repeat_window = 5s
`
	if s, err := settings.Parse("proxy.ini", []byte(text)); err != nil || s.Proxy.HedgeStages {
		t.Fatalf("hedge_stages is %v without a line, %v", s.Proxy.HedgeStages, err)
	}
	s, err := settings.Parse("proxy.ini", []byte(text+"hedge_stages = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Proxy.KeyAge >= s.Proxy.RevokeWithin || s.Node.DrainTimeout >= s.Node.KillAfter {
		t.Fatalf("key_age is %v, drain_timeout is %v", s.Proxy.KeyAge, s.Node.DrainTimeout)
	}
	if s.Proxy.RepeatRatio != 0.1 || s.Proxy.RepeatFixed != 58 || s.Proxy.RepeatWindow != 5*time.Second {
		t.Fatalf("%+v", s.Proxy)
	}
	if !s.Proxy.HedgeStages {
		t.Fatal("hedge_stages is not read")
	}
	if s.Peers.Control[1] != "127.0.0.2:7100" || s.PeerAddress() != "127.0.0.3:7100" {
		t.Fatalf("%+v", s.Peers)
	}
}

// TestCPUShareInTheMemberRecord guards against a share that is lost or changed between the settings and the member record. A
// known share must not be rounded to an unknown one.
func TestCPUShareInTheMemberRecord(t *testing.T) {
	for line, want := range map[string]int{"": 0, "cpu = 0\n": 0, "cpu =\n": 0, "cpu = 0.352\n": 352, "cpu = 0.1445\n": 145, "cpu = 2\n": 2000, "cpu = 0.0001\n": 1, "cpu = 5e-01\n": 500} {
		s, err := settings.Parse("s.ini", []byte(strings.Replace(entryFile, "roles", line+"roles", 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Member().Millicores; got != want {
			t.Errorf("%q: %d millicores, want %d", line, got, want)
		}
	}
}

// TestFairStages checks that the rule is off unless the setting is on, and that a fault of its value is named with the
// remedy.
func TestFairStages(t *testing.T) {
	const text = "[node]\nname = p\nvm = v\ndata_center = d\nroles = proxy\n[peers]\ncontrol = 127.0.0.1:80\nlisten = 127.0.0.3:7100\n[debug]\nlisten = 127.0.0.3:7200\n[proxy]\nlisten = 127.0.0.3:8080\nready = 127.0.0.3:8081\n"
	for value, want := range map[string]bool{"": false, "fair_stages = false\n": false, "fair_stages = true\n": true} {
		s, err := settings.Parse("proxy.ini", []byte(text+value))
		if err != nil || s.Proxy.FairStages != want {
			t.Errorf("%q: %v, %v", value, s, err)
		}
	}
	_, err := settings.Parse("proxy.ini", []byte(text+"fair_stages = often\n"))
	if err == nil || !strings.Contains(err.Error(), "fair_stages") || !strings.Contains(err.Error(), "true or false") {
		t.Errorf("got %v", err)
	}
}
