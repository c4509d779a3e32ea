package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Type is the type of a setting.
type Type string

// Types of settings.
const (
	TypeName     Type = "name"
	TypeText     Type = "text"
	TypePath     Type = "path"
	TypeInteger  Type = "integer"
	TypeNumber   Type = "number"
	TypeBool     Type = "boolean"
	TypeDuration Type = "duration"
	TypeSize     Type = "size"
	TypeChoice   Type = "choice"
	TypeAddress  Type = "address"
	TypeAddrs    Type = "addresses"
)

// Size is a number of bytes.
type Size int64

// Key describes one setting. The checks, the reference page and the help texts
// are derived from it.
type Key struct {
	Name     string
	Type     Type
	Required bool
	// Default has the Go type of the setting: string, int, float64, bool,
	// time.Duration, Size or netip.AddrPort. It is nil if there is no default.
	Default any
	// DefaultKey names an earlier key of the table whose value is the default.
	DefaultKey string
	// DefaultNote describes a default that depends on other settings.
	DefaultNote string
	// Min and Max are the inclusive bounds of numbers, of durations in
	// nanoseconds and of sizes in bytes.
	Min, Max float64
	// AboveMin excludes Min itself from the range.
	AboveMin bool
	Choices  []string
	// Overlay is true for keys that an overlay may adjust.
	Overlay bool
	Help    string
}

// Table describes a table of a file. Repeated tables hold named entries and
// are written as [[name]].
type Table struct {
	Name     string
	Repeated bool
	// MaxEntries is the maximum number of entries of a repeated table.
	MaxEntries int
	Help       string
	Keys       []Key
}

// BaseTables returns the tables of the base file, in the order of the
// reference page. Keys with Overlay set may appear in overlays, too.
func BaseTables() []Table { return append([]Table(nil), baseTables...) }

// NodeTables returns the tables of the node settings.
func NodeTables() []Table { return append([]Table(nil), nodeTables...) }

// Heading returns the table header as written in a file.
func (t Table) Heading() string {
	if t.Repeated {
		return "[[" + t.Name + "]]"
	}
	return "[" + t.Name + "]"
}

// DefaultText returns the default as written in a file, or DefaultNote or
// DefaultKey if set, or "" if the key has no default.
func (k Key) DefaultText() string {
	if note := cmp.Or(k.DefaultNote, k.DefaultKey); note != "" {
		return note
	}
	if k.Default == nil {
		return ""
	}
	return valueText(k.Default)
}

// RangeText describes the permitted values. It returns "" for types without a
// list of choices or a range.
func (k Key) RangeText() string {
	switch k.Type {
	case TypeChoice:
		return strings.Join(k.Choices, ", ")
	case TypeInteger, TypeNumber, TypeDuration, TypeSize:
		if k.AboveMin {
			return fmt.Sprintf("above %s, at most %s", k.formatBound(k.Min), k.formatBound(k.Max))
		}
		return fmt.Sprintf("%s to %s", k.formatBound(k.Min), k.formatBound(k.Max))
	}
	return ""
}

// formatBound formats Min or Max in the unit of the key.
func (k Key) formatBound(b float64) string {
	switch k.Type {
	case TypeDuration:
		return durationText(time.Duration(b))
	case TypeSize:
		return sizeText(Size(b))
	}
	return strconv.FormatFloat(b, 'f', -1, 64)
}

// valueText returns a value as written in a file.
func valueText(v any) string {
	switch v := v.(type) {
	case time.Duration:
		return strconv.Quote(durationText(v))
	case Size:
		return strconv.Quote(sizeText(v))
	case string:
		return strconv.Quote(v)
	case netip.AddrPort:
		return strconv.Quote(v.String())
	}
	return fmt.Sprint(v)
}

// durationText formats a duration without the trailing zero parts that
// time.Duration prints ("10m0s").
func durationText(d time.Duration) string {
	s := strings.Replace(d.String(), "µ", "u", 1)
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// sizeUnits lists the units from the largest to the smallest. "B" is a suffix of
// the others and must come last.
var sizeUnits = []struct {
	name  string
	bytes Size
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// sizeText formats a size in the largest unit that divides it.
func sizeText(s Size) string {
	for _, unit := range sizeUnits {
		if s >= unit.bytes && s%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", s/unit.bytes, unit.name)
		}
	}
	return "0B"
}
