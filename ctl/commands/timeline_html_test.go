package commands

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"caperdrum.org/api/timeline"
)

func TestRenderHTML(t *testing.T) {
	g := NewWithT(t)
	events := []timeline.Event{
		{At: 1 << 16, Process: "entry-1", VM: "vm-1", Kind: "request", Request: "r1"},
		{At: 5 << 16, Process: "agent-1", VM: "vm-2", Kind: "attempt-done", Request: "r1", Detail: "<script>alert(1)</script>"},
	}
	var out bytes.Buffer
	g.Expect(renderHTML(&out, events, []string{"10.0.0.9:1"})).To(Succeed())
	page := out.String()
	g.Expect(page).To(ContainSubstring("Not reached: 10.0.0.9:1"))
	g.Expect(page).To(ContainSubstring("&lt;script&gt;alert(1)"))
	g.Expect(page).NotTo(ContainSubstring("<script>alert(1)"))
	g.Expect(bytes.Count(out.Bytes(), []byte("<circle"))).To(Equal(2))
	g.Expect(page).NotTo(ContainSubstring("http://")) // self-contained

	out.Reset()
	g.Expect(renderHTML(&out, nil, nil)).To(Succeed())
}
