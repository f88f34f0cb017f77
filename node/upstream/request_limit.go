package upstream

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// LimitStatement is what a response says about the upstream's request limit.
type LimitStatement int

// Statements about a request limit.
const (
	LimitUnstated LimitStatement = iota // nothing, or something invalid: what was known stays in force
	LimitNone                           // the upstream names no limit
	LimitNamed                          // the upstream names a limit
)

// RequestLimit is the limit that an upstream names on the requests that it takes from all processes together.
type RequestLimit struct {
	Statement LimitStatement
	PerSecond float64 // zero or more; it holds until a response names another one or none
	Invalid   string  // the quoted values if one of them is invalid, or if they differ; empty otherwise
}

// ParseRequestLimit parses the values of a header that names a limit in requests per second. Values that are
// not a finite decimal number of zero or more are invalid and ignored. If values differ, the least valid one
// holds.
func ParseRequestLimit(values []string) RequestLimit {
	if len(values) == 0 {
		return RequestLimit{Statement: LimitNone}
	}
	limit, differ, invalid := RequestLimit{}, false, false
	for raw := range strings.SplitSeq(strings.Join(values, ","), ",") {
		raw = strings.TrimSpace(raw)
		rate, err := strconv.ParseFloat(raw, 64)
		switch {
		case err != nil, math.IsNaN(rate), math.IsInf(rate, 0), rate < 0, strings.ContainsAny(raw, "xX_"): // no hexadecimal numbers
			invalid = true
		case limit.Statement != LimitNamed:
			limit.Statement, limit.PerSecond = LimitNamed, rate
		case rate != limit.PerSecond:
			differ, limit.PerSecond = true, min(limit.PerSecond, rate)
		}
	}
	if differ || invalid {
		limit.Invalid = fmt.Sprintf("%q", values)
	}
	return limit
}
