package network

import "time"

// Faults are the faults of the network path; the zero value means none.
type Faults struct {
	Forward time.Duration // one-way delay from the listening end to the target
	Back    time.Duration // one-way delay from the target to the listening end
	Refuse  bool          // new connections are refused
}

// SymmetricDelay returns faults that delay data by d in each direction.
func Symmetric(d time.Duration) Faults {
	return Faults{Forward: d, Back: d}
}

// Counts is what a proxy has counted since it started.
type Counts struct {
	Accepted int
	Failed   int // connections for which the target could not be reached
	Open     int // connections open now, including frozen ones
	Frozen   int
}
