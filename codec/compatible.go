package codec

import "pistachioshore.dev/wire"

// ForEarlierVersion returns a message as VMs of the first version of the messages read it. They reject messages with fields
// that they do not know. The message itself is not changed.
func ForEarlierVersion(e *wire.Envelope) *wire.Envelope {
	earlier := *e
	switch {
	case e.ConfigRequest != nil && e.ConfigRequest.Pages:
		r := *e.ConfigRequest
		r.Pages = false
		earlier.ConfigRequest = &r
	case e.Heartbeat != nil && (e.Heartbeat.StateAge != 0 || e.Heartbeat.SentAt != 0):
		h := *e.Heartbeat
		h.StateAge, h.SentAt = 0, 0
		earlier.Heartbeat = &h
	}
	return &earlier
}
