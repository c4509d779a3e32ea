package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a reference page that differs from the tables in the source. To
// update the page, run `go generate ./settings`.
func TestPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/reference-settings.md")
	require.NoError(t, err)
	updated, err := update(string(page))
	require.NoError(t, err)
	if updated != string(page) {
		t.Fatal("the page differs from the tables; run go generate ./settings")
	}
}

// Guards against text written to the wrong place of a page without markers.
func TestMarkersAreRequired(t *testing.T) {
	_, err := update("<!-- generated: base -->\n")
	require.ErrorContains(t, err, `no markers for the part "base"`)
}
