package coordination_test

import (
	"testing"
)

// BenchmarkBarrier measures barriers of many concurrent requests on a proxy that does not coordinate the group.
func BenchmarkBarrier(b *testing.B) {
	c := newCluster(b, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1", "p2"}})
	p2 := c.proxies["p2"]

	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := p2.Barrier(b.Context(), groupName); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkConfirm measures confirmations of many concurrent requests on such a proxy, without writes.
func BenchmarkConfirm(b *testing.B) {
	c := newCluster(b, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1", "p2"}})
	p2 := c.proxies["p2"]

	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := p2.ConfirmCommits(b.Context(), groupName, 1, false); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkSlot measures acquiring a slot permit that the proxy has cached.
func BenchmarkSlot(b *testing.B) {
	c := newCluster(b, clusterShape{members: 1, slots: 5, connections: 20, proxies: []string{"p1", "p2"}})
	p2 := c.proxies["p2"]

	b.ResetTimer()

	for range b.N {
		granted, err := p2.AcquireSlot(b.Context(), memberName(0), false)
		if err != nil {
			b.Fatal(err)
		}

		granted.Release()
	}
}
