package upstream

import "testing"

// TestParseRequestLimit parses values of the header that names a request limit. A value that is no finite decimal
// number of zero or more neither names a limit nor ends one.
func TestParseRequestLimit(t *testing.T) {
	named := func(rate float64) RequestLimit { return RequestLimit{Statement: LimitNamed, PerSecond: rate} }
	for _, x := range []struct {
		values []string
		want   RequestLimit
	}{
		{nil, RequestLimit{Statement: LimitNone}},
		{[]string{"1"}, named(1)},
		{[]string{" 0.5 "}, named(0.5)},
		{[]string{"0"}, named(0)},
		{[]string{"1e308"}, named(1e308)},
		{[]string{"2", "2.0"}, named(2)},
		{[]string{"20", "1"}, RequestLimit{LimitNamed, 1, `["20" "1"]`}},
		{[]string{"3, 4"}, RequestLimit{LimitNamed, 3, `["3, 4"]`}},
		{[]string{"soon", "4"}, RequestLimit{LimitNamed, 4, `["soon" "4"]`}},
		{[]string{""}, RequestLimit{Invalid: `[""]`}},
		{[]string{"-1"}, RequestLimit{Invalid: `["-1"]`}},
		{[]string{"NaN"}, RequestLimit{Invalid: `["NaN"]`}},
		{[]string{"Inf"}, RequestLimit{Invalid: `["Inf"]`}},
		{[]string{"1e309"}, RequestLimit{Invalid: `["1e309"]`}},
		{[]string{"0x10"}, RequestLimit{Invalid: `["0x10"]`}},
		{[]string{"1_0"}, RequestLimit{Invalid: `["1_0"]`}},
	} {
		if got := ParseRequestLimit(x.values); got != x.want {
			t.Errorf("%q: %+v, want %+v", x.values, got, x.want)
		}
	}
}
