// Package matrix runs every fault at every step of a request and checks what must always hold.
package matrix
