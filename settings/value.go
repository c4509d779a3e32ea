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

// Names become metric labels, file names and parts of platform keys.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameHelp = "want 1 to 63 characters out of a-z, 0-9, '.', '_' and '-', the first a letter or digit"

const (
	maxPath      = 1024
	maxAddresses = 1024
)

func validName(s string) bool { return namePattern.MatchString(s) }

// fault is a problem of a value, without its place.
type fault struct{ rule, message string }

// parseValue converts a decoded TOML value to the Go type of the key.
func (k Key) parseValue(raw any) (any, *fault) {
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

// notText reports a number without a unit as such.
func (k Key) notText(raw any) *fault {
	switch k.Type {
	case TypeDuration:
		return &fault{RuleUnit, fmt.Sprintf(`want text with a unit such as "250ms"; got %s`, describe(raw))}
	case TypeSize:
		return &fault{RuleUnit, fmt.Sprintf(`want text with a unit such as "1MiB"; got %s`, describe(raw))}
	}
	return wrongType(raw, "text in quotes")
}

func (k Key) parseText(text string) (any, *fault) {
	switch k.Type {
	case TypeName:
		if !validName(text) {
			return nil, &fault{RuleFormat, quoted("%s: "+nameHelp, text)}
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
			return nil, &fault{RuleChoice, quoted("%s is none of "+strings.Join(k.Choices, ", "), text)}
		}
		return text, nil
	case TypeAddress:
		return parseAddress(text)
	}
	return text, nil
}

func (k Key) parseInteger(raw any) (any, *fault) {
	n, ok := raw.(int64)
	if !ok {
		return nil, wrongType(raw, "an integer")
	}
	if f := k.checkRange(float64(n), strconv.FormatInt(n, 10)); f != nil {
		return nil, f
	}
	return int(n), nil
}

func (k Key) parseNumber(raw any) (any, *fault) {
	var f float64
	switch n := raw.(type) {
	case int64:
		f = float64(n)
	case float64:
		f = n
	default:
		return nil, wrongType(raw, "a number")
	}
	if f := k.checkRange(f, fmt.Sprint(f)); f != nil {
		return nil, f
	}
	return f, nil
}

func (k Key) parseDuration(text string) (any, *fault) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil, &fault{RuleUnit, quoted(`%s is not a duration; write a number and a unit (us, ms, s, m, h), such as "250ms"`, text)}
	}
	if f := k.checkRange(float64(d), text); f != nil {
		return nil, f
	}
	return d, nil
}

func (k Key) parseSize(text string) (any, *fault) {
	size, ok := parseSizeText(text)
	if !ok {
		return nil, &fault{RuleUnit, quoted(`%s is not a size; write a whole number and a unit (B, KiB, MiB, GiB), such as "1MiB"`, text)}
	}
	if f := k.checkRange(float64(size), text); f != nil {
		return nil, f
	}
	return size, nil
}

// parseSizeText returns the largest size for numbers that are larger.
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

// checkRange is written so that it refuses NaN.
func (k Key) checkRange(f float64, text string) *fault {
	inside := f >= k.Min && f <= k.Max
	if k.AboveMin {
		inside = f > k.Min && f <= k.Max
	}
	if inside {
		return nil
	}
	return &fault{RuleRange, fmt.Sprintf("%s is out of range; want %s", shorten(text, maxQuoted), k.RangeText())}
}

func parsePath(text string) (any, *fault) {
	if !strings.HasPrefix(text, "/") || len(text) > maxPath {
		return nil, &fault{RuleFormat, quoted("%s: want a path that starts with '/', at most "+strconv.Itoa(maxPath)+" characters", text)}
	}
	outside := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' }
	if strings.ContainsFunc(text, outside) {
		return nil, &fault{RuleFormat, quoted("%s: a path has no spaces, control or non-ASCII characters, and no query or fragment", text)}
	}
	if slices.Contains(strings.Split(text, "/"), "..") {
		return nil, &fault{RuleFormat, quoted("%s: a path has no '..' element", text)}
	}
	return text, nil
}

func parseAddress(text string) (any, *fault) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Addr().Zone() != "" {
		return nil, &fault{RuleAddress, quoted(`%s is not an IP address and port such as "10.0.1.5:7400" or "[fd00::5]:7400"; host names are not accepted`, text)}
	}
	if addr.Port() == 0 {
		return nil, &fault{RuleAddress, quoted("%s: port 0 is not accepted", text)}
	}
	return addr, nil
}

func parseAddresses(raw any) (any, *fault) {
	list, ok := raw.([]any)
	if !ok {
		return nil, wrongType(raw, `a list such as ["10.0.1.5:7400"]`)
	}
	if len(list) > maxAddresses {
		return nil, &fault{RuleTooMany, fmt.Sprintf("%d addresses; want at most %d", len(list), maxAddresses)}
	}
	addrs := make([]netip.AddrPort, 0, len(list))
	for _, item := range list {
		text, ok := item.(string)
		if !ok {
			return nil, wrongType(item, "addresses as text in quotes")
		}
		addr, f := parseAddress(text)
		if f != nil {
			return nil, f
		}
		if slices.Contains(addrs, addr.(netip.AddrPort)) {
			return nil, &fault{RuleDuplicate, quoted("%s is listed twice", text)}
		}
		addrs = append(addrs, addr.(netip.AddrPort))
	}
	return addrs, nil
}

func wrongType(raw any, want string) *fault {
	return &fault{RuleType, fmt.Sprintf("want %s; got %s", want, describe(raw))}
}

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
