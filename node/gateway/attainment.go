package gateway

import (
	"expvar"
	"net/http"
	"time"
)

// Attainment: of all requests, those answered whole within their deadline.
// Refused ones and those answered with an upstream's 5xx are not attained. Keys are pipeline:NAME, service:NAME and
// customer:NAME, each followed by .all or .whole.
var attainmentVar = expvar.NewMap("attainment")

func (c *call) countAttainment(err error) {
	whole := err == nil && c.status < http.StatusInternalServerError && (c.deadlineAt.IsZero() || !time.Now().After(c.deadlineAt))
	for _, key := range c.attainmentKeys() {
		if whole {
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
