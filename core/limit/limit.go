// Package limit learns how many calls an upstream bears at once.
package limit
