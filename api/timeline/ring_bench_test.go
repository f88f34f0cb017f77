package timeline

import "testing"

func BenchmarkRecord(b *testing.B) {
	r := NewRing("entry-1", "vm-entry-1", 4096)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(Event{Kind: "request", Request: "9b1d", Customer: "foundry", Detail: "POST /v1/services/order-desk/call"})
		}
	})
}
