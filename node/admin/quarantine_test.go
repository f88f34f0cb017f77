package admin_test

import (
	"context"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/admin"
	"caperdrum.org/node/state"
)

var _ = Describe("quarantined calls", func() {
	It("are listed, and released only by their fingerprint", func() {
		a := start()
		key := a.init()
		var report wire.CrashReport
		for i := range 3 {
			report.Crashes = append(report.Crashes, wire.Crash{Upstream: wire.Start{ID: wire.MemberID(fmt.Sprint("i-", i)), Incarnation: 1},
				Calls: []wire.CallSummary{{Fingerprint: "f", Customer: "foundry", Route: "chat", Bytes: 4}}})
		}
		_, err := a.control.Replica().Propose(context.Background(), state.Command{Crashes: &report})
		Expect(err).NotTo(HaveOccurred())
		var list []wire.QuarantineEntry
		Expect(a.call(key, "GET", "/v1/quarantine", nil, &list)).To(Equal(http.StatusOK))
		Expect(list).To(HaveLen(1))
		Expect(list[0].State).To(Equal(wire.QuarantineBarred))
		Expect(list[0].Upstreams).To(HaveLen(3))

		var refusal admin.Error
		Expect(a.call(key, "DELETE", "/v1/quarantine/g", nil, &refusal)).To(Equal(http.StatusNotFound))
		Expect(refusal.Remedy).NotTo(BeEmpty())
		Expect(a.call("", "DELETE", "/v1/quarantine/f", nil, &refusal)).To(Equal(http.StatusUnauthorized))
		Expect(a.call(key, "GET", "/v1/quarantine", nil, &list)).To(Equal(http.StatusOK))
		Expect(list).To(HaveLen(1))

		Expect(a.call(key, "DELETE", "/v1/quarantine/f", nil, nil)).To(Equal(http.StatusOK))
		Expect(a.call(key, "GET", "/v1/quarantine", nil, &list)).To(Equal(http.StatusOK))
		Expect(list).To(BeEmpty())
	})
})
