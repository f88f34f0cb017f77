package optext_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/strictini"
)

func TestOptext(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "optext")
}

var _ = Describe("Parse", func() {
	DescribeTable("accepts the committed examples",
		func(file string, services, customers int) {
			data, err := os.ReadFile(filepath.Join("..", "..", "examples", file))
			Expect(err).NotTo(HaveOccurred())
			c, err := optext.Parse(file, data)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Services).To(HaveLen(services))
			Expect(c.Customers).To(HaveLen(customers))
		},
		Entry("demo", "demo/text.ini", 5, 2),
		Entry("Argyris", "argyris.ini", 8, 5),
		Entry("Blomsterhallen", "blomsterhallen.ini", 7, 5),
	)

	It("sorts stages by their dependencies", func() {
		c, err := optext.Parse("t", []byte("[service:a]\nkind = plain\n[pipeline:p]\ndeadline = 1s\n"+
			"[stage:p/late]\nservice = a\nafter = early\n[stage:p/early]\nservice = a\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Pipelines["p"].Stages[0].Name).To(Equal("early"))
	})

	DescribeTable("rejects invalid text with the line and a remedy",
		func(text string, line int, fault string) {
			_, err := optext.Parse("t", []byte(text))
			var problems strictini.Problems
			Expect(err).To(BeAssignableToTypeOf(problems))
			problems = err.(strictini.Problems)
			Expect(problems[0].Line).To(Equal(line))
			Expect(problems[0].Fault).To(ContainSubstring(fault))
			Expect(problems[0].Remedy).NotTo(BeEmpty())
		},
		Entry("unknown key", "[service:a]\nkind = plain\ncolour = red\n", 3, "unknown key"),
		Entry("unknown kind", "[service:a]\n\nkind = toaster\n", 3, "not known"),
		Entry("unknown section", "[service:a]\nkind = plain\n[poem:x]\n", 3, "unknown section"),
		Entry("key twice", "[service:a]\nkind = plain\nkind = plain\n", 3, "twice"),
		Entry("bad duration", "[service:a]\nkind = plain\n[pipeline:p]\ndeadline = soon\n[stage:p/s]\nservice = a\n", 4, "deadline"),
		Entry("unknown service", "[pipeline:p]\ndeadline = 1s\n[stage:p/s]\nservice = a\n", 4, "does not exist"),
		Entry("cycle", "[service:a]\nkind = plain\n[pipeline:p]\ndeadline = 1s\n[stage:p/x]\nservice = a\nafter = y\n[stage:p/y]\nservice = a\nafter = x\n", 3, "wait for each other"),
		Entry("scale without models", "[service:a]\nkind = engine\nscale = forecast\n", 3, "needs models"),
		Entry("model without a version", "[service:a]\nkind = engine\nmodels = m@1, m\n", 3, "names no version"),
		Entry("unknown scale", "[service:a]\nkind = engine\nscale = sometimes\n", 3, "not known"),
		Entry("load larger than the burst", "[service:a]\nkind = engine\nweight_bytes = 11\n[weight_store:s]\nrate = 1\nburst = 10\n", 3, "above"),
		Entry("second weight store", "[weight_store:s]\nrate = 1\nburst = 10\n[weight_store:t]\nrate = 1\nburst = 1\n", 4, "second weight store"),
		Entry("no stage", "[pipeline:p]\ndeadline = 1s\n", 1, "no stage"),
	)
})
