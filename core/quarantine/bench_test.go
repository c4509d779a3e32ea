package quarantine

import (
	"testing"
	"time"
)

func BenchmarkAnsweredRequest(b *testing.B) {
	for name, size := range map[string]int{"no body": 0, "4 KiB": 4 << 10, "128 KiB": 128 << 10} {
		b.Run(name, func(b *testing.B) {
			var recent Recent
			r := Request{Method: "GET", Host: "shop.example", Target: "/orders/2f", Caller: "front", Body: make([]byte, size)}
			for range b.N {
				recent.Add(FingerprintOf(&r), Answer{At: time.Now()})
			}
		})
	}
}
