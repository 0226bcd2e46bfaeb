// Package budget bounds the work that a VM accepts and the attempts beyond the first.
package budget
