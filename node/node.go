// Package node is the runtime of toucangwd.
package node
