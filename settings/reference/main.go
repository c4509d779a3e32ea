// Command reference regenerates parts of the settings reference page from the
// tables and rules of package settings.
package main

import (
	"fmt"
	"os"
	"strings"

	"toucangw.example/settings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: reference PAGE")
		os.Exit(2)
	}
	if err := rewrite(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "reference:", err)
		os.Exit(1)
	}
}

func rewrite(path string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the page: %w", err)
	}
	updated, err := update(string(page))
	if err != nil {
		return fmt.Errorf("update %s: %w", path, err)
	}
	return os.WriteFile(path, []byte(updated), 0o644)
}

// update replaces the text between the markers of each generated part.
func update(page string) (string, error) {
	parts := []struct{ name, text string }{
		{"base", tables(settings.BaseTables(), true)},
		{"node", tables(settings.NodeTables(), false)},
		{"gateway", tables(settings.GatewayTables(), false)},
		{"rules", rules()},
	}
	for _, part := range parts {
		before, rest, found := strings.Cut(page, "<!-- generated: "+part.name+" -->\n")
		_, after, ended := strings.Cut(rest, "<!-- end -->\n")
		if !found || !ended {
			return "", fmt.Errorf("no markers for the part %q", part.name)
		}
		page = before + "<!-- generated: " + part.name + " -->\n" + part.text + "<!-- end -->\n" + after
	}
	return page, nil
}

// tables returns a section per table. overlay adds a column that shows which
// keys an overlay may adjust.
func tables(list []settings.Table, overlay bool) string {
	var b strings.Builder
	for _, table := range list {
		fmt.Fprintf(&b, "\n### `%s`\n\n%s", table.Heading(), table.Help)
		if table.Repeated {
			fmt.Fprintf(&b, " At most %d entries.", table.MaxEntries)
		}
		b.WriteString("\n\n")
		header := []string{"key", "type", "default", "range"}
		if overlay {
			header = append(header, "overlay")
		}
		row(&b, append(header, "meaning")...)
		b.WriteString(strings.Repeat("|---", len(header)+1) + "|\n")
		for _, key := range table.Keys {
			row(&b, cells(key, overlay)...)
		}
	}
	return b.String() + "\n"
}

func cells(key settings.Key, overlay bool) []string {
	list := []string{"`" + key.Name + "`", string(key.Type), defaultCell(key), rangeCell(key)}
	switch {
	case overlay && key.Name == "name":
		list = append(list, "names the entry")
	case overlay && key.Overlay:
		list = append(list, "may adjust")
	case overlay:
		list = append(list, "base only")
	}
	return append(list, key.Help)
}

func defaultCell(key settings.Key) string {
	switch {
	case key.Required:
		return "required"
	case key.DefaultNote != "":
		return key.DefaultNote
	case key.DefaultKey != "":
		return "`" + key.DefaultKey + "`"
	}
	return "`" + key.DefaultText() + "`"
}

func rangeCell(key settings.Key) string {
	if text := key.RangeText(); text != "" {
		return text
	}
	return "see " + string(key.Type)
}

func rules() string {
	var b strings.Builder
	b.WriteString("\n")
	row(&b, "rule", "meaning")
	b.WriteString("|---|---|\n")
	for _, rule := range settings.Rules() {
		row(&b, "`"+rule.Name+"`", rule.Help)
	}
	return b.String() + "\n"
}

func row(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}
