package control

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
)

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const (
	benchChanges = 20
	benchIdle    = 5 * time.Second
)

// BenchmarkMembers runs three control processes and many members in this process. It measures the time from
// the acceptance of a change until it is in force in all members, bytes and CPU time per member while idle,
// the cost of a restart of a third of the members, and the time until a change is in force after the leader
// was partitioned. CPU times include the members' own work.
//
//	go test ./node/control -run - -bench Members -benchtime 1x
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{1, 10, 50, 200, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				s := startSystem(b, 3, n)
				inForceTimes(b, s)
				idleCost(b, s)
				restartStorm(b, s)
				failOver(b, s)
			}
		})
	}
}

func inForceTimes(b *testing.B, s *system) {
	var times []time.Duration
	for i := range benchChanges {
		version, at := s.apply(customers(100, i, 2))
		for _, t := range s.inForce(version) {
			times = append(times, t.Sub(at))
		}
	}
	slices.Sort(times)
	b.ReportMetric(ms(times[len(times)/2]), "inforce-p50-ms")
	b.ReportMetric(ms(times[len(times)*99/100]), "inforce-p99-ms")
	b.ReportMetric(ms(times[len(times)-1]), "inforce-max-ms")
}

func idleCost(b *testing.B, s *system) {
	time.Sleep(time.Second)
	cpu, bytes := processorTime(), s.network.bytes.Load()
	time.Sleep(benchIdle)
	cpu, bytes = processorTime()-cpu, s.network.bytes.Load()-bytes
	n := float64(len(s.members))
	b.ReportMetric(float64(cpu.Microseconds())/benchIdle.Seconds()/n, "idle-cpu-us/s/member")
	b.ReportMetric(float64(bytes)/benchIdle.Seconds()/n, "idle-B/s/member")
}

// restartStorm restarts a third of the members at the same time.
func restartStorm(b *testing.B, s *system) {
	n := len(s.members)
	commands, bytes, cpu := s.leader().replica.Status().Committed, s.network.bytes.Load(), processorTime()
	restarted := slices.Clone(s.members[n-n/3:])
	s.members = s.members[:n-n/3]
	began := time.Now()
	for _, m := range restarted {
		m.cancel()
	}
	for i := range restarted {
		s.addMember(n - n/3 + i)
	}
	s.wait("all know the new incarnations", func() bool {
		for _, m := range s.members {
			for _, g := range restarted {
				if known := m.View(); known == nil || startOf(known, g.Self().ID) <= g.Self().Incarnation {
					return false
				}
			}
		}
		return true
	})
	b.ReportMetric(ms(time.Since(began)), "storm-ms")
	b.ReportMetric(float64(s.leader().replica.Status().Committed-commands), "storm-commands")
	b.ReportMetric(float64(s.network.bytes.Load()-bytes)/float64(n), "storm-B/member")
	b.ReportMetric(ms(processorTime()-cpu)/float64(n), "storm-cpu-ms/member")
}

func failOver(b *testing.B, s *system) {
	s.cutLeader()
	lost := time.Now()
	version, accepted := s.apply(customers(100, 0, 3))
	at := s.inForce(version)
	b.ReportMetric(ms(accepted.Sub(lost)), "cut-accept-ms")
	b.ReportMetric(ms(slices.MaxFunc(at, time.Time.Compare).Sub(lost)), "cut-inforce-ms")
	if got := len(s.leader().replica.View().Members); got != len(s.members) {
		b.Fatalf("%d of %d members remain", got, len(s.members))
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// BenchmarkChange measures bytes and CPU time per member for a change of one customer among 25,000.
func BenchmarkChange(b *testing.B) {
	const n = 25_000
	s := startSystem(b, 1, 4)
	version, _ := s.apply(customers(n, 0, 1))
	s.inForce(version)
	b.ResetTimer()
	cpu, bytes := processorTime(), s.network.bytes.Load()
	for i := range b.N {
		version, _ = s.apply(customers(n, i%n, 2+i))
		s.inForce(version)
	}
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N)/1000, "cpu-ms/change")
	b.ReportMetric(float64(s.network.bytes.Load()-bytes)/float64(b.N*len(s.members)), "B/change/member")
}

// startOf returns the incarnation of a member in a view, or zero if it is not a member.
func startOf(v *configsync.View, id wire.MemberID) uint64 {
	m, _ := v.Members.Get(id)
	return m.Incarnation
}
