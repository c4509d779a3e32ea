// Package standin holds small stand-ins for the platform, upstreams and
// callers, for development and tests.
package standin
