package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"caperdrum.org/e2e/harness"
)

// TestExitStatus runs both binaries as an operator does, and checks the exit status
// and the messages.
func TestExitStatus(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const node = "[node]\nname = x\nvm = v\ndata_center = d\nroles = entry\n[peers]\ncontrol = 127.0.0.1:1\n[debug]\nlisten = 127.0.0.1:2\n"
	good := write("good.ini", node+"[entry]\nlisten = 127.0.0.1:3\n")
	unknown := write("unknown.ini", node+"[entry]\nlisten = 127.0.0.1:3\ncolour = red\n")
	name := write("name.ini", node+"[entry]\nlisten = localhost:3\n")
	folder := write("folder.ini", "[node]\nname = x\nvm = v\ndata_center = d\nroles = control\ndata_dir = "+dir+"/none\n"+
		"[peers]\ncontrol = 127.0.0.1:1\n[debug]\nlisten = 127.0.0.1:2\n[control]\nlisten = 127.0.0.1:1\nadmin = 127.0.0.1:4\n")
	text := write("text.ini", harness.Text("good"))
	badText := write("bad-text.ini", harness.Text("bad")+"[stage:chat/more]\nservice = nothing\n")
	for _, c := range []struct {
		name   string
		argv   []string
		status int
		says   []string
	}{
		{"daemon version", []string{harness.Daemon(), "-version"}, 0, []string{"caperdrumd "}},
		{"command version", []string{harness.Command(), "-version"}, 0, []string{"caperdrum "}},
		{"good settings", []string{harness.Daemon(), "-check", "-settings", good}, 0, nil},
		{"no settings", []string{harness.Daemon()}, 2, []string{"usage"}},
		{"no such file", []string{harness.Daemon(), "-settings", dir + "/absent.ini"}, 2, []string{"absent.ini", "name a readable settings file"}},
		{"unknown key", []string{harness.Daemon(), "-settings", unknown}, 2, []string{unknown + ":12", "colour"}},
		{"host name", []string{harness.Daemon(), "-settings", name}, 2, []string{name + ":11", "write IP:PORT"}},
		{"missing data folder", []string{harness.Daemon(), "-settings", folder}, 2, []string{folder + ":6", "mkdir -p"}},
		{"unknown flag", []string{harness.Daemon(), "-nothing"}, 2, []string{"-nothing"}},
		{"valid text", []string{harness.Command(), "validate", text}, 0, []string{"valid"}},
		{"invalid text", []string{harness.Command(), "validate", badText}, 2, []string{badText + ":", "nothing"}},
		{"no administration address", []string{harness.Command(), "status"}, 2, []string{"-admin"}},
		{"no leader", []string{harness.Command(), "apply", "-timeout", "200ms", "-admin", "127.0.0.1:1", text}, 1, []string{"no leader answered"}},
		{"unknown command", []string{harness.Command(), "nothing"}, 2, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			cmd := exec.Command(c.argv[0], c.argv[1:]...)
			cmd.Env = []string{}
			out := harness.Output(cmd)
			if got := cmd.ProcessState.ExitCode(); got != c.status {
				t.Errorf("exit status %d, want %d: %s", got, c.status, out)
			}
			harness.MustHold(t, out, c.says...)
		})
	}
}
