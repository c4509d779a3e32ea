// Package spread decides how published values reach all nodes.
package spread
