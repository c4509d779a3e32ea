package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// namePattern matches valid names. Names become metric labels, file names and
// parts of platform keys.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameHelp = "want 1 to 63 characters out of a-z, 0-9, '.', '_' and '-', the first a letter or digit"

const (
	maxPath      = 1024
	maxAddresses = 1024
)

func validName(s string) bool { return namePattern.MatchString(s) }

// violation is the rule that a value breaks, with a message. It does not include
// the location of the value.
type violation struct{ rule, message string }

// parseValue converts a decoded TOML value to the Go type of the key.
func (k Key) parseValue(raw any) (any, *violation) {
	switch k.Type {
	case TypeInteger:
		return k.parseInteger(raw)
	case TypeNumber:
		return k.parseNumber(raw)
	case TypeBool:
		if b, ok := raw.(bool); ok {
			return b, nil
		}
		return nil, wrongType(raw, "true or false")
	case TypeAddrs:
		return parseAddresses(raw)
	}
	text, ok := raw.(string)
	if !ok {
		return nil, k.notText(raw)
	}
	return k.parseText(text)
}

// notText returns the violation for a value that is not a string. A duration or
// size that is not a string lacks its unit.
func (k Key) notText(raw any) *violation {
	switch k.Type {
	case TypeDuration:
		return &violation{RuleUnit, fmt.Sprintf(`want text with a unit such as "250ms"; got %s`, describe(raw))}
	case TypeSize:
		return &violation{RuleUnit, fmt.Sprintf(`want text with a unit such as "1MiB"; got %s`, describe(raw))}
	}
	return wrongType(raw, "text in quotes")
}

// parseText converts a string to the Go type of the key.
func (k Key) parseText(text string) (any, *violation) {
	switch k.Type {
	case TypeName:
		if !validName(text) {
			return nil, &violation{RuleFormat, quoted("%s: "+nameHelp, text)}
		}
		return text, nil
	case TypePath:
		return parsePath(text)
	case TypeDuration:
		return k.parseDuration(text)
	case TypeSize:
		return k.parseSize(text)
	case TypeChoice:
		if !slices.Contains(k.Choices, text) {
			return nil, &violation{RuleChoice, quoted("%s is none of "+strings.Join(k.Choices, ", "), text)}
		}
		return text, nil
	case TypeAddress:
		return parseAddress(text)
	}
	return text, nil
}

func (k Key) parseInteger(raw any) (any, *violation) {
	n, ok := raw.(int64)
	if !ok {
		return nil, wrongType(raw, "an integer")
	}
	if violated := k.checkRange(float64(n), strconv.FormatInt(n, 10)); violated != nil {
		return nil, violated
	}
	return int(n), nil
}

func (k Key) parseNumber(raw any) (any, *violation) {
	var number float64
	switch n := raw.(type) {
	case int64:
		number = float64(n)
	case float64:
		number = n
	default:
		return nil, wrongType(raw, "a number")
	}
	if violated := k.checkRange(number, fmt.Sprint(number)); violated != nil {
		return nil, violated
	}
	return number, nil
}

func (k Key) parseDuration(text string) (any, *violation) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil, &violation{RuleUnit, quoted(`%s is not a duration; write a number and a unit (us, ms, s, m, h), such as "250ms"`, text)}
	}
	if violated := k.checkRange(float64(d), text); violated != nil {
		return nil, violated
	}
	return d, nil
}

func (k Key) parseSize(text string) (any, *violation) {
	size, ok := parseSizeText(text)
	if !ok {
		return nil, &violation{RuleUnit, quoted(`%s is not a size; write a whole number and a unit (B, KiB, MiB, GiB), such as "1MiB"`, text)}
	}
	if violated := k.checkRange(float64(size), text); violated != nil {
		return nil, violated
	}
	return size, nil
}

// parseSizeText parses a whole number with a unit. A number that overflows Size
// gives the largest Size, which checkRange then reports as out of range.
func parseSizeText(text string) (Size, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if errors.Is(err, strconv.ErrRange) || err == nil && n > math.MaxInt64/uint64(unit.bytes) {
			return math.MaxInt64, true
		}
		return Size(n) * unit.bytes, err == nil
	}
	return 0, false
}

// checkRange checks a number against the bounds of the key. The comparisons are
// false for NaN, so NaN is rejected. text is the number as shown in the message.
func (k Key) checkRange(number float64, text string) *violation {
	inRange := number >= k.Min && number <= k.Max
	if k.AboveMin {
		inRange = number > k.Min && number <= k.Max
	}
	if inRange {
		return nil
	}
	return &violation{RuleRange, fmt.Sprintf("%s is out of range; want %s", shorten(text, maxQuoted), k.RangeText())}
}

func parsePath(text string) (any, *violation) {
	if !strings.HasPrefix(text, "/") || len(text) > maxPath {
		return nil, &violation{RuleFormat, quoted("%s: want a path that starts with '/', at most "+strconv.Itoa(maxPath)+" characters", text)}
	}
	notAllowed := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' }
	if strings.ContainsFunc(text, notAllowed) {
		return nil, &violation{RuleFormat, quoted("%s: a path has no spaces, control or non-ASCII characters, and no query or fragment", text)}
	}
	if slices.Contains(strings.Split(text, "/"), "..") {
		return nil, &violation{RuleFormat, quoted("%s: a path has no '..' element", text)}
	}
	return text, nil
}

func parseAddress(text string) (any, *violation) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Addr().Zone() != "" {
		return nil, &violation{RuleAddress, quoted(`%s is not an IP address and port such as "10.0.1.5:7400" or "[fd00::5]:7400"; host names are not accepted`, text)}
	}
	if addr.Port() == 0 {
		return nil, &violation{RuleAddress, quoted("%s: port 0 is not accepted", text)}
	}
	return addr, nil
}

func parseAddresses(raw any) (any, *violation) {
	list, ok := raw.([]any)
	if !ok {
		return nil, wrongType(raw, `a list such as ["10.0.1.5:7400"]`)
	}
	if len(list) > maxAddresses {
		return nil, &violation{RuleTooMany, fmt.Sprintf("%d addresses; want at most %d", len(list), maxAddresses)}
	}
	addrs := make([]netip.AddrPort, 0, len(list))
	for _, item := range list {
		text, ok := item.(string)
		if !ok {
			return nil, wrongType(item, "addresses as text in quotes")
		}
		addr, violated := parseAddress(text)
		if violated != nil {
			return nil, violated
		}
		if slices.Contains(addrs, addr.(netip.AddrPort)) {
			return nil, &violation{RuleDuplicate, quoted("%s is listed twice", text)}
		}
		addrs = append(addrs, addr.(netip.AddrPort))
	}
	return addrs, nil
}

// wrongType returns the violation for a value of another TOML type.
func wrongType(raw any, want string) *violation {
	return &violation{RuleType, fmt.Sprintf("want %s; got %s", want, describe(raw))}
}

// describe describes a decoded TOML value for use in a message.
func describe(raw any) string {
	switch v := raw.(type) {
	case string:
		return quoted("the text %s", v)
	case int64:
		return fmt.Sprintf("the integer %d", v)
	case float64:
		return fmt.Sprintf("the number %v", v)
	case bool:
		return fmt.Sprintf("the boolean %t", v)
	case time.Time:
		return "a date or time"
	case map[string]any:
		return "a table"
	case []map[string]any:
		return "a list of tables"
	case []any:
		return "a list"
	}
	return fmt.Sprintf("%T", raw)
}
