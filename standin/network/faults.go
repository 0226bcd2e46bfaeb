package network

import "time"

// Faults are what is wrong with the path now; the zero value means nothing.
type Faults struct {
	Forward time.Duration // one-way delay from the listening end to the target
	Back    time.Duration // one-way delay from the target to the listening end
	Refuse  bool          // new connections are refused
}

// Symmetric returns faults that delay both ways by d.
func Symmetric(d time.Duration) Faults {
	return Faults{Forward: d, Back: d}
}

// Counts is what a relay has counted since it began.
type Counts struct {
	Accepted int
	Failed   int // connections that the target did not accept
	Open     int // connections held now, frozen ones included
	Frozen   int
}
