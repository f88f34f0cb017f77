package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"caperdrum.org/fake/standin"
)

// Layout assigns loopback addresses to the processes of a deployment. Net is the first two bytes, such as
// 127.1, so that several deployments can run on one machine.
type Layout struct{ Net string }

const (
	hostControl = iota + 1
	hostEntry
	hostBench
	hostUpstream
)

const (
	portPeer     = 7100
	portAdmin    = 7101
	portDebug    = 7102
	portGate     = 7200
	portEntry    = 8080
	portUpstream = 9000
)

func (l Layout) address(part, host, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", l.Net, part, host, port)
}

// Standins returns the control address of the stand-ins.
func (l Layout) Standins() string { return l.address(hostBench, 1, portUpstream) }

// Entries returns the addresses of a deployment's entries.
func (l Layout) Entries(d Deployment) []string { return l.addresses(hostEntry, d.Entries, portEntry) }

// Admin returns the administration addresses of a deployment.
func (l Layout) Admin(d Deployment) []string { return l.addresses(hostControl, d.Controls, portAdmin) }

func (l Layout) addresses(part, n, port int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = l.address(part, i+1, port)
	}
	return out
}

// Prepare writes the files of a loopback deployment into a directory: the settings of every process, the
// stand-ins, the operators' configuration and, for scripts, the list of processes in start order.
func Prepare(dir string, d Deployment, l Layout, text string, seed uint64) error {
	text, err := d.ConfigText(text)
	if err != nil {
		return err
	}
	files := map[string]string{"text.ini": text}
	var names []string
	add := func(name, content string) {
		files["settings/"+name+".ini"] = content
		names = append(names, name)
	}
	peers := strings.Join(l.addresses(hostControl, d.Controls, portPeer), ", ")
	for i := range d.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		host := i + 1
		add(name, nodeSections(name, d.dataCenterAt(i), "control", "data/"+name, peers)+
			iniSection("control", "listen", l.address(hostControl, host, portPeer), "admin", l.address(hostControl, host, portAdmin))+
			iniSection("debug", "listen", l.address(hostControl, host, portDebug)))
	}
	host := 0
	var standins strings.Builder
	standins.WriteString(iniSection("control", "listen", l.Standins()))
	for _, p := range d.Pools {
		for _, member := range p.Members() {
			host++
			upstream := l.address(hostUpstream, host, portUpstream)
			standins.WriteString(standinSection(member, upstream, p.Options, seed+uint64(host)))
			name := "agent-" + member
			add(name, nodeSections(name, d.dataCenterAt(host), "agent", "", peers)+
				iniSection("agent", "listen", l.address(hostUpstream, host, portGate), "service", p.Service, "upstream", upstream)+
				iniSection("debug", "listen", l.address(hostUpstream, host, portDebug)))
		}
	}
	for i := range d.Entries {
		name := fmt.Sprintf("entry-%d", i+1)
		add(name, nodeSections(name, d.dataCenterAt(i), "entry", "", peers)+
			iniSection("entry", "listen", l.address(hostEntry, i+1, portEntry))+
			iniSection("debug", "listen", l.address(hostEntry, i+1, portDebug)))
	}
	files["standins.ini"] = standins.String()
	files["processes"] = strings.Join(names, "\n") + "\n"
	files["entries"] = strings.Join(l.Entries(d), ",") + "\n"
	files["admin"] = strings.Join(l.Admin(d), ",") + "\n"
	return writeFiles(dir, d, files)
}

func writeFiles(dir string, d Deployment, files map[string]string) error {
	for i := range d.Controls {
		if err := os.MkdirAll(filepath.Join(dir, "data", fmt.Sprintf("control-%d", i+1)), 0o755); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(filepath.Join(dir, "settings"), 0o755); err != nil {
		return err
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (d Deployment) dataCenterAt(i int) string { return d.DataCenters[i%len(d.DataCenters)] }

// ConfigText returns the operators' configuration with the concurrency of each service set to the number of slots of
// its stand-ins.
func (d Deployment) ConfigText(text string) (string, error) {
	return editSections(text, func(s *ini.Section, kind string) {
		if p := d.Pool(strings.TrimPrefix(s.Name(), "service:")); kind == "service" && p.Count > 0 {
			s.Key("concurrency").SetValue(strconv.Itoa(p.Slots))
		}
	})
}

func nodeSections(name, dataCenter, role, dataDir, peers string) string {
	pairs := []string{"name", name, "vm", "vm-" + name, "data_center", dataCenter, "roles", role}
	if dataDir != "" {
		pairs = append(pairs, "data_dir", dataDir)
	}
	return iniSection("node", pairs...) + iniSection("peers", "control", peers)
}

// iniSection formats an INI section from alternating keys and values.
func iniSection(name string, pairs ...string) string {
	var b strings.Builder
	b.WriteString("[" + name + "]\n")
	for i := 0; i+1 < len(pairs); i += 2 {
		b.WriteString(pairs[i] + " = " + pairs[i+1] + "\n")
	}
	b.WriteString("\n")
	return b.String()
}

func standinSection(name, listen string, o standin.Options, seed uint64) string {
	number := strconv.Itoa
	pairs := []string{"listen", listen, "kind", o.Kind, "seed", strconv.FormatUint(seed, 10), "delay", o.Delay.String()}
	if o.Kind == standin.KindEngine {
		pairs = append(pairs, "token_delay", o.TokenDelay.String(), "sequence_delay", o.SequenceDelay.String(), "prefill_delay", o.PrefillDelay.String(),
			"tokens", number(o.Tokens), "max_batch", number(o.MaxBatch), "cache_blocks", number(o.CacheBlocks), "load_lag", o.LoadLag.String(),
			"event_lag", o.EventLag.String(), "event_loss", fmt.Sprint(o.EventLoss), "transfer_delay", o.TransferDelay.String())
	} else {
		pairs = append(pairs, "concurrency", number(o.Concurrency), "sigma", fmt.Sprint(o.Sigma), "per_kilobyte", o.PerKilobyte.String())
	}
	return iniSection("standin:"+name, pairs...)
}
