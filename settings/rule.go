package settings

// Names of rules, as they appear in Problem.Rule. They are stable, because
// scripts may match them.
const (
	RuleSyntax             = "syntax"
	RuleFileSize           = "file-size"
	RuleNesting            = "nesting"
	RuleTooMany            = "too-many"
	RuleUnknownKey         = "unknown-key"
	RuleMissing            = "missing"
	RuleType               = "type"
	RuleUnit               = "unit"
	RuleRange              = "range"
	RuleFormat             = "format"
	RuleChoice             = "choice"
	RuleDuplicate          = "duplicate"
	RuleUnknownService     = "unknown-service"
	RuleShadowedKind       = "shadowed-kind"
	RuleOnceOnlyMethod     = "once-only-method"
	RuleOnceOnlyImportance = "once-only-importance"
	RuleReserved           = "reserved"
	RuleConnections        = "connections"
	RuleDeadline           = "deadline"
	RuleTreeCost           = "tree-cost"
	RuleKeyLifetime        = "key-lifetime"
	RuleSiteName           = "site-name"
	RuleOverlayFixed       = "overlay-fixed"
	RuleOverlayUnknown     = "overlay-unknown"
	RuleOverlayOnceOnly    = "overlay-once-only"
	RuleOverlayImportance  = "overlay-importance"
	RuleOverlayAttempts    = "overlay-attempts"
	RuleAddress            = "address"
	RuleAddressConflict    = "address-conflict"
	RuleUpstream           = "upstream"
)

// Rule describes a rule for reference pages and help texts.
type Rule struct {
	Name string `json:"name"`
	Help string `json:"help"`
}

var rules = []Rule{
	{RuleSyntax, "the file is not valid TOML; reading stops at the first such error of a file"},
	{RuleFileSize, "the file is larger than 1 MiB; it is not read"},
	{RuleNesting, "values or keys are nested deeper than any setting needs; the file is not read"},
	{RuleTooMany, "the report or a list of entries exceeds its bound"},
	{RuleUnknownKey, "no setting has this name"},
	{RuleMissing, "a required table or key is absent"},
	{RuleType, "the value has another TOML type than the setting"},
	{RuleUnit, `a duration or size lacks its unit or has an unknown one; write "250ms" or "1MiB"`},
	{RuleRange, "the value is outside the permitted range"},
	{RuleFormat, "a name, path or text contains characters that are not permitted"},
	{RuleChoice, "the value is none of the permitted ones"},
	{RuleDuplicate, "two entries of one table have the same name"},
	{RuleUnknownService, "a kind names a service that the base does not define"},
	{RuleShadowedKind, "an earlier kind matches every request of this one, so it never applies"},
	{RuleOnceOnlyMethod, "a once-only kind uses a method that HTTP defines as safe (GET, HEAD, OPTIONS)"},
	{RuleOnceOnlyImportance, "a once-only kind is not critical"},
	{RuleReserved, "all slots or more are reserved for critical work"},
	{RuleConnections, "fewer connections than slots, so some slots can never be used"},
	{RuleDeadline, "the deadline is shorter than the expected slot time of the call tree"},
	{RuleTreeCost, "the cost of the tree is below the cost at the service itself"},
	{RuleKeyLifetime, "keys expire before the deadline of a once-only kind"},
	{RuleSiteName, "the site name of an overlay is not a valid name"},
	{RuleOverlayFixed, "an overlay sets a key that only the base may set"},
	{RuleOverlayUnknown, "an overlay names a service, kind or caller that the base does not define"},
	{RuleOverlayOnceOnly, "an overlay changes whether a kind is once-only"},
	{RuleOverlayImportance, "an overlay lowers the importance of a once-only kind"},
	{RuleOverlayAttempts, "an overlay raises extra_attempts above the base"},
	{RuleAddress, "the value is not an IP address and port; host names are not accepted"},
	{RuleAddressConflict, "two listeners have the same address"},
	{RuleUpstream, "the service of the host and the address of its upstream are not both set or both absent"},
}

// Rules returns all rules in a fixed order.
func Rules() []Rule { return append([]Rule(nil), rules...) }
