package node

import (
	"toucangw.example/core/admit"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
)

// DefaultPolicies returns the decision packages of the product.
func DefaultPolicies() Policies {
	return Policies{
		Admit:    admit.New,
		Route:    route.New,
		Budget:   retry.NewBudget,
		Pressure: pressure.New,
		Keys:     newKeys,
	}
}
