// Package fleet tracks the VMs of a tier and decides which of them owns each upstream.
package fleet
