package optext

import "testing"

// TestKeysRequired checks that whether callers need a key does not depend on how many keys there are.
func TestKeysRequired(t *testing.T) {
	for text, want := range map[string]bool{
		"": false,
		"[limits:callers]\nmax_header_bytes = 1\n":                false,
		"[customer:c]\nkeys = k\n":                                true,
		"[customer:c]\nshare = 2\n":                               true,
		"[authentication:callers]\nrequired = true\n":             true,
		"[authentication:callers]\nrequired = true\n[customer:c]": true,
	} {
		c, err := Parse("t", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if c.KeysRequired != want {
			t.Errorf("%q: required %t", text, c.KeysRequired)
		}
	}
	if _, err := Parse("t", []byte("[authentication:callers]\nrequired = false\n")); err == nil {
		t.Error("required = false is accepted, though it would have no effect")
	}
}
