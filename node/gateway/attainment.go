package gateway

import (
	"expvar"
	"net/http"
	"time"
)

// attainmentVar counts requests and, of those, the ones answered completely within their deadline. Refused
// requests and upstream responses with a 5xx status do not count as attained. Keys are pipeline:NAME,
// service:NAME and customer:NAME, each followed by .all or .whole.
var attainmentVar = expvar.NewMap("attainment")

func (c *call) countAttainment(err error) {
	complete := err == nil && c.status < http.StatusInternalServerError && (c.deadlineAt.IsZero() || !time.Now().After(c.deadlineAt))
	for _, key := range c.attainmentKeys() {
		if complete {
			attainmentVar.Add(key+".whole", 1)
		}
		attainmentVar.Add(key+".all", 1)
	}
}

func (c *call) attainmentKeys() []string {
	var keys []string
	if c.pipeline != nil {
		keys = append(keys, "pipeline:"+c.pipeline.Name)
	}
	if c.service != "" {
		keys = append(keys, "service:"+c.service)
	}
	if c.customer != nil {
		keys = append(keys, "customer:"+c.customer.Name)
	}
	return keys
}
