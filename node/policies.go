package node

import (
	"toucangw.example/core/admit"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
)

// DefaultPolicies returns the implementations that toucangwd uses.
func DefaultPolicies() Policies {
	return Policies{
		Admit:    admit.New,
		Route:    route.New,
		Budget:   retry.NewBudget,
		Pressure: pressure.New,
		Keys:     newKeys,
	}
}
