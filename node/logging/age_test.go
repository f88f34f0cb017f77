package logging

import (
	"testing"
	"time"
)

func TestAge(t *testing.T) {
	for age, want := range map[time.Duration]string{Never: "none", 1500 * time.Millisecond: "1.5s"} {
		if got := Age(age); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
