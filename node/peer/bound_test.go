package peer

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/juju/errors"
)

// TestObjectWithoutEnd checks that an object above the bound is given up, and that the bound holds for each object by itself.
func TestObjectWithoutEnd(t *testing.T) {
	object := `"` + strings.Repeat("x", 900) + `" `
	r := &objectReader{r: strings.NewReader(strings.Repeat(object, 5) + strings.Repeat("x", 5000)), limit: 2000}
	d := json.NewDecoder(r)
	var v string
	for range 5 {
		r.read = 0
		if err := d.Decode(&v); err != nil || len(v) != 900 {
			t.Fatalf("%d bytes, %v", len(v), err)
		}
	}
	r = &objectReader{r: strings.NewReader(`"` + strings.Repeat("x", 5000)), limit: 2000}
	if err := json.NewDecoder(r).Decode(&v); !errors.Is(err, errObjectTooLarge) {
		t.Fatalf("got %v", err)
	}
}
