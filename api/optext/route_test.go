package optext_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"caperdrum.org/api/optext"
)

func example() string {
	text, err := os.ReadFile("../../examples/routes.ini")
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("routes", func() {
	It("reads the example", func() {
		c, err := optext.Parse("routes.ini", []byte(example()))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Routes).To(HaveLen(3))
		quote, confirm, track := c.Routes[0], c.Routes[1], c.Routes[2]
		Expect(quote.Repeatable()).To(BeTrue(), "the stream is resumable")
		Expect(quote.Stages[0].Service).To(Equal("trace"))
		Expect(confirm.Repeatable()).To(BeFalse())
		Expect(track.Weights).To(Equal([]optext.Weight{{Service: "desk", Weight: 90}, {Service: "desk-next", Weight: 10}}))
		Expect(c.Customers["foundry"].Keys).To(HaveLen(2))
		Expect(c.Customers["foundry"].Priority).To(Equal(optext.NoPriority))
	})

	DescribeTable("rejects invalid text with the line and a remedy",
		func(from, to, want string) {
			changed := strings.Replace(example(), from, to, 1)
			Expect(changed).NotTo(Equal(example()), "the replacement does not match the example")
			_, err := optext.Parse("routes.ini", []byte(changed))
			Expect(err).To(MatchError(MatchRegexp(`routes\.ini:\d+: .*` + want)))
		},
		Entry("an unknown service", "service = pool", "service = none", "service none does not exist; add"),
		Entry("a service with agents", "upstreams = announced\nmax_connections = 220\nengine", "engine", "has agents beside its upstreams; use it in a pipeline"),
		Entry("two routes with one host and path", "/confirm/", "/quote/", "has the host and path of route quote; change"),
		Entry("weights of zero", "desk:90, desk-next:10", "desk:0, desk-next:0", "add up to zero; give"),
		Entry("an element without a weight", "desk:90", "desk", "has no weight; write"),
		Entry("service and split", "split = desk", "service = desk\nsplit = desk", "or both service and split; write"),
		Entry("no timeout", "timeout = 1200ms\ngoal", "timeout = 0s\ngoal", "timeout is zero; write"),
		Entry("a path without its last slash", "/confirm/", "/confirm", "not a whole path; begin and end"),
		Entry("a stage of an unknown route", "route_stage:quote/0", "route_stage:none/0", "route none does not exist; add"),
		Entry("stages out of order", "route_stage:quote/0", "route_stage:quote/1", "out of order; number"),
		Entry("a stage after itself", "service = trace", "service = trace\nafter = 0", "not an earlier stage of the route; name"),
		Entry("a shared key", "[customer:foundry]", "[customer:other]\nkeys = first-key-of-foundry\n[customer:foundry]", "share a key; give"),
		Entry("an unknown value of upstreams", "upstreams = announced", "upstreams = listed", "is not known; use one of"),
	)

	It("returns section names in the order of the text", func() {
		Expect(optext.SectionNames(example(), "service")).To(Equal([]string{"pool", "trace", "desk", "desk-next"}))
		Expect(optext.SectionNames(example(), "weight_store")).To(BeEmpty())
	})
})
