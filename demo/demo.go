// Package demo runs both firms' tiers in one process and checks what must always hold.
package demo
