package policy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// targetKinds is the number of kinds in a configuration of the target size:
// four for each of 650 services.
const targetKinds = 2600

func policyWithKinds(n int) *Policy {
	p := &Policy{}
	for i := range n {
		service := fmt.Sprintf("service-%d", i/4)
		p.Kinds = append(p.Kinds, &Kind{
			Name: fmt.Sprintf("kind-%d", i), Service: service, Method: "GET", PathPrefix: fmt.Sprintf("/%d", 9-i%4),
		})
	}
	return p
}

// Guards against an index that changes which kind matches, or the precedence of
// overlapping prefixes.
func TestIndexKeepsMatches(t *testing.T) {
	plain := policyWithKinds(40)
	plain.Kinds = append(plain.Kinds, &Kind{Name: "rest", Service: "service-3", Method: "GET", PathPrefix: "/"})
	indexed := *plain
	indexed.Index()
	for s := range 12 {
		for digit := range 10 {
			service, path := fmt.Sprintf("service-%d", s), fmt.Sprintf("/%d/x", digit)
			assert.Same(t, plain.Match(service, "GET", path), indexed.Match(service, "GET", path))
			assert.Nil(t, indexed.Match(service, "POST", path))
		}
	}
	assert.Equal(t, "rest", indexed.Match("service-3", "GET", "/0").Name)
}

func BenchmarkMatch(b *testing.B) {
	for _, indexed := range []bool{false, true} {
		p := policyWithKinds(targetKinds)
		if indexed {
			p.Index()
		}
		b.Run(fmt.Sprintf("indexed=%v", indexed), func(b *testing.B) {
			for b.Loop() {
				p.Match("service-500", "GET", "/6/x")
			}
		})
	}
}
