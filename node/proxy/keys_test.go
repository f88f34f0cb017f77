package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"caperdrum.org/api/optext"
)

// TestNoKeyIsValid checks that keys are still required when no customer has one, so that revoking the last
// key does not admit every caller.
func TestNoKeyIsValid(t *testing.T) {
	customers := testConfig[strings.Index(testConfig, "[customer:"):]
	for name, replacement := range map[string]string{
		"a customer without keys": "[customer:foundry]\nshare = 1\n",
		"no customers":            "[authentication:callers]\nrequired = true\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.upstream("desk", "d1", answerOK)
			f.wantStatus(http.StatusOK, http.MethodPost, "/confirm/x", map[string]string{"Authorization": "Bearer secret"})
			text := strings.Replace(testConfig, customers, replacement, 1)
			c, err := optext.Parse("t", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			f.view.Config, f.view.Version = c, f.view.Version+1
			next := f.view
			f.service.applyView(&next)
			for _, key := range []string{"Bearer secret", "Bearer never-valid", ""} {
				f.wantStatus(http.StatusUnauthorized, http.MethodPost, "/confirm/x", map[string]string{"Authorization": key})
			}
			f.wantStatus(http.StatusOK, http.MethodPost, "/reserve/deep/x", nil)
		})
	}
}

// TestKeyRevokedDuringAnOutage lets a process get a new view without a key, and its confirmation, at the moment at which it
// reads the age of its last confirmation. The key must be checked against that view, not against the one before.
func TestKeyRevokedDuringAnOutage(t *testing.T) {
	f := newFixture(t)
	f.upstream("desk", "d1", answerOK)
	c, err := optext.Parse("t", []byte(strings.Replace(testConfig, "keys = secret, older", "keys = older", 1)))
	if err != nil {
		t.Fatal(err)
	}
	f.views.age = time.Hour
	f.wantStatus(http.StatusServiceUnavailable, http.MethodPost, "/confirm/x", nil)
	f.views.onRead = func() {
		next := f.view
		next.Config, next.Version = c, f.view.Version+1
		f.service.applyView(&next)
		f.views.age = 0
	}
	f.wantStatus(http.StatusUnauthorized, http.MethodPost, "/confirm/x", nil)
}
