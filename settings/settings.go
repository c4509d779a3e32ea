// Package settings reads node settings, base files and overlays.
package settings
