package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/admin"
	"caperdrum.org/node/control"
	"caperdrum.org/node/kernel"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/settings"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

const (
	text1 = "[service:desk]\nkind = plain\n[service:llm]\nkind = engine\n[customer:a]\nshare = 1\n"
	text2 = "[service:desk]\nkind = plain\nconcurrency = 3\n[service:llm]\nkind = engine\n[customer:a]\nshare = 1\n"
	text3 = "[service:desk]\nkind = plain\nconcurrency = 3\n[service:llm]\nkind = engine\n[customer:a]\nshare = 9\n"
)

// api is one control process with its administration handler.
type api struct {
	handler http.Handler
	control *control.Service
	logs    *gbytes.Buffer
	flush   func() // flushes and closes the log
	ring    *timeline.Ring
}

func start() *api {
	a := &api{logs: gbytes.NewBuffer(), ring: timeline.NewRing("c", "v", 100)}
	set := &settings.Settings{Node: settings.Node{Name: "c", VM: "v", DataCenter: "d", DataDir: GinkgoT().TempDir()},
		Control: settings.ControlRole{Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Lease: time.Second, Voters: 1}}
	log, flush := logging.New(a.logs, "c", "debug")
	a.flush = flush
	DeferCleanup(flush)
	svc, err := control.New(control.Params{Settings: set, Kernel: kernel.New(log), Log: log, Ring: a.ring, Dial: peer.DialTCP})
	Expect(err).NotTo(HaveOccurred())
	Expect(svc.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { svc.Stop(context.Background()) })
	a.control = svc
	a.handler = admin.New(admin.Params{Settings: set, Ring: a.ring, Control: svc}).Handler()
	return a
}

func (a *api) call(key, method, path string, in, out any) int {
	body, err := json.Marshal(in)
	Expect(err).NotTo(HaveOccurred())
	req := httptest.NewRequest(method, path, bytes.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, req)
	if out != nil {
		Expect(json.Unmarshal(w.Body.Bytes(), out)).To(Succeed(), w.Body.String())
	}
	return w.Code
}

func (a *api) init() string {
	var reply wire.InitReply
	Expect(a.call("", "POST", "/v1/init", nil, &reply)).To(Equal(http.StatusOK))
	return reply.Key.Key
}

func (a *api) newKey(root, team string, info wire.TeamInfo) wire.NewKey {
	Expect(a.call(root, "PUT", "/v1/teams/"+team, info, nil)).To(Equal(http.StatusOK))
	var key wire.NewKey
	Expect(a.call(root, "POST", "/v1/teams/"+team+"/keys", nil, &key)).To(Equal(http.StatusOK))
	return key
}

func (a *api) apply(key string, number uint64, id, text string, out any) int {
	return a.call(key, "POST", "/v1/config", wire.ChangeRequest{Number: number, ChangeID: id, Text: text}, out)
}

var _ = Describe("administration", func() {
	It("rejects requests without a valid key", func() {
		a := start()
		root := a.init()
		Expect(a.call("", "GET", "/v1/status", nil, nil)).To(Equal(http.StatusUnauthorized))
		Expect(a.call(root+"0", "GET", "/v1/status", nil, nil)).To(Equal(http.StatusUnauthorized))
		Expect(a.call("cdk_x", "GET", "/v1/status", nil, nil)).To(Equal(http.StatusUnauthorized))
		Expect(a.call(root, "GET", "/v1/status", nil, nil)).To(Equal(http.StatusOK))
		Expect(a.call("", "POST", "/v1/init", nil, nil)).To(Equal(http.StatusConflict))
	})

	It("lets a team change only its own sections", func() {
		a := start()
		root := a.init()
		Expect(a.apply(root, 1, "one", text1, nil)).To(Equal(http.StatusOK))
		desk := a.newKey(root, "desk-team", wire.TeamInfo{Role: wire.RoleOperator, Services: []string{"desk"}}).Key
		viewer := a.newKey(root, "watchers", wire.TeamInfo{Role: wire.RoleViewer}).Key

		Expect(a.apply(viewer, 2, "v", text2, nil)).To(Equal(http.StatusForbidden))
		Expect(a.call(desk, "PUT", "/v1/teams/x", wire.TeamInfo{Role: wire.RoleAdministrator}, nil)).To(Equal(http.StatusForbidden))
		Expect(a.apply(desk, 2, "two", text2, nil)).To(Equal(http.StatusOK))
		var refusal admin.Error
		Expect(a.apply(desk, 3, "three", text3, &refusal)).To(Equal(http.StatusUnprocessableEntity))
		Expect(refusal.Problems[0].Fault).To(ContainSubstring("[customer:a]"))
		Expect(refusal.Problems[0].Remedy).NotTo(BeEmpty())

		var history []wire.ChangeInfo
		Expect(a.call(viewer, "GET", "/v1/config/history", nil, &history)).To(Equal(http.StatusOK))
		Expect(history).To(HaveLen(2))
		Expect(history[1].Author).To(Equal("desk-team"))
		Expect(history[1].Sections).To(Equal([]string{"service:desk"}))
	})

	It("does not propose a change whose base version does not exist yet", func() {
		// Permissions are checked against the text in force. Without this rejection a change numbered further
		// ahead could be applied after another change, unchecked.
		a := start()
		root := a.init()
		Expect(a.apply(root, 1, "one", text1, nil)).To(Equal(http.StatusOK))
		var res wire.ChangeResult
		Expect(a.apply(root, 3, "ahead", text3, &res)).To(Equal(http.StatusConflict))
		Expect(a.apply(root, 2, "two", text2, nil)).To(Equal(http.StatusOK))
		Expect(a.apply(root, 3, "ahead", text3, &res)).To(Equal(http.StatusOK))
		Expect(res.Accepted).To(BeTrue())
	})

	It("rotates keys without interruption and never discloses a secret again", func() {
		a := start()
		root := a.init()
		first := a.newKey(root, "ops", wire.TeamInfo{Role: wire.RoleViewer})
		second := a.newKey(root, "ops", wire.TeamInfo{Role: wire.RoleViewer})
		Expect(a.call(root, "DELETE", "/v1/keys/"+first.ID+"?after=1h", nil, nil)).To(Equal(http.StatusOK))
		Expect(a.call(first.Key, "GET", "/v1/status", nil, nil)).To(Equal(http.StatusOK))
		Expect(a.call(second.Key, "GET", "/v1/status", nil, nil)).To(Equal(http.StatusOK))
		Expect(a.call(root, "DELETE", "/v1/keys/"+first.ID, nil, nil)).To(Equal(http.StatusOK))
		Expect(a.call(first.Key, "GET", "/v1/status", nil, nil)).To(Equal(http.StatusUnauthorized))
		Expect(a.call(second.Key, "GET", "/v1/status", nil, nil)).To(Equal(http.StatusOK))

		var teams json.RawMessage
		Expect(a.call(root, "GET", "/v1/teams", nil, &teams)).To(Equal(http.StatusOK))
		a.flush()
		seen := string(teams) + string(a.logs.Contents()) + fmt.Sprint(a.ring.Events(timeline.Filter{}))
		for _, key := range []string{root, first.Key, second.Key} {
			Expect(seen).NotTo(ContainSubstring(key[strings.LastIndex(key, "_")+1:]))
		}
	})

	It("keeps the last team of administrators", func() {
		a := start()
		root := a.init()
		Expect(a.call(root, "DELETE", "/v1/teams/administrators", nil, nil)).To(Equal(http.StatusConflict))
		Expect(a.call(root, "PUT", "/v1/teams/administrators", wire.TeamInfo{Role: wire.RoleViewer}, nil)).To(Equal(http.StatusConflict))
	})

	DescribeTable("names the invalid field and a remedy",
		func(method, path string, in any, status int, field string) {
			a := start()
			root := a.init()
			var e admin.Error
			Expect(a.call(root, method, path, in, &e)).To(Equal(status))
			Expect(fmt.Sprint(e)).To(ContainSubstring(field))
		},
		Entry("role", "PUT", "/v1/teams/x", wire.TeamInfo{Role: "king"}, http.StatusBadRequest, "role"),
		Entry("team", "PUT", "/v1/teams/X_Y", wire.TeamInfo{Role: wire.RoleViewer}, http.StatusBadRequest, "team"),
		Entry("after", "DELETE", "/v1/keys/x?after=soon", nil, http.StatusBadRequest, "after"),
		Entry("text", "POST", "/v1/config/validate", wire.ChangeRequest{Text: "[service:a]\nkind = toaster\n"}, http.StatusUnprocessableEntity, "toaster"),
	)
})
