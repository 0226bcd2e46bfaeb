package network

import "time"

// Faults are what is wrong with the path now; the zero value means nothing.
type Faults struct {
	ForwardDelay time.Duration // one-way delay from the listening end to the target
	ReturnDelay  time.Duration // one-way delay from the target to the listening end
	RefuseNew    bool          // new connections are refused
}

// SymmetricDelay returns faults that delay both ways by d.
func SymmetricDelay(d time.Duration) Faults {
	return Faults{ForwardDelay: d, ReturnDelay: d}
}

// Counts is what a relay has counted since it began.
type Counts struct {
	Accepted    int
	FailedDials int // connections that the target did not accept
	Open        int // connections held now, frozen ones included
	Frozen      int
}
