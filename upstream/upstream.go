// Package upstream holds what the owner VM of an upstream keeps about it and decides when work is released to it.
package upstream
