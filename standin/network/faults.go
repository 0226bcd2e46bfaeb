package network

import "time"

// Faults are the faults of the network path; the zero value means none.
type Faults struct {
	ForwardDelay time.Duration // one-way delay from the listening end to the target
	ReturnDelay  time.Duration // one-way delay from the target to the listening end
	RefuseNew    bool          // new connections are refused
}

// SymmetricDelay returns faults that delay data by d in each direction.
func SymmetricDelay(d time.Duration) Faults {
	return Faults{ForwardDelay: d, ReturnDelay: d}
}

// Counts holds the connection counts of a proxy.
type Counts struct {
	Accepted    int // connections accepted since the start
	FailedDials int // connections since the start for which the target could not be reached
	Open        int // connections open now, including frozen ones
	Frozen      int // open connections that are frozen
}
