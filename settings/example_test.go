package settings_test

import (
	"fmt"

	"toucangw.example/settings"
)

const exampleBase = `
[[service]]
name = "ledger"
slots = 100
connections = 720

[[kind]]
name = "ledger-read"
service = "ledger"
method = "GET"
importance = "normal"
deadline = "400ms"
cost = "5ms"

[[caller]]
name = "scheldt"
`

// The policy of a site is the base adjusted by the overlay of the site.
func ExampleCompile() {
	base := settings.Source{Name: "base.toml", Data: []byte(exampleBase)}
	policies, problems := settings.Compile(1, base, map[string]settings.Source{
		"docks": {Name: "overlay/docks.toml", Data: []byte("[[service]]\nname = \"ledger\"\nslots = 80\n")},
	})
	if err := problems.Err(); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("base:", policies[settings.BaseSite].Services["ledger"].Slots)
	fmt.Println("docks:", policies["docks"].Services["ledger"].Slots)
	fmt.Println("kind:", policies["docks"].Match("ledger", "GET", "/ledger/17").Name)
	// Output:
	// base: 100
	// docks: 80
	// kind: ledger-read
}

// All problems of all files are reported, each with its file, line and key.
func ExampleProblems() {
	base := settings.Source{Name: "base.toml", Data: []byte(exampleBase)}
	_, problems := settings.Compile(1, base, map[string]settings.Source{
		"docks": {Name: "overlay/docks.toml", Data: []byte("[[service]]\nname = \"ledger\"\nslots = 0\nslotz = 80\n")},
	})
	for _, p := range problems {
		fmt.Println(p.File, p.Line, p.Key, p.Rule)
	}
	// Output:
	// overlay/docks.toml 3 service.ledger.slots range
	// overlay/docks.toml 4 service.ledger.slotz unknown-key
}
