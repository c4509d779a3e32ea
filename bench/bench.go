// Package bench measures the decisions with small fakes and a fake clock.
package bench
