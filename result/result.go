// Package result defines the numeric result codes of answers, refusals and input errors.
package result

import "fmt"

// Effect is the known effect of a request at the upstreams.
type Effect uint8

// Effects of a request. NotRun is used only if it is certain that the request has not run.
const (
	NotRun Effect = iota + 1
	Ran
	MayHaveRun
)

// String returns the effect's name on the wire.
func (e Effect) String() string {
	switch e {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may-have-run"
	default:
		return "unknown"
	}
}

// Code is a numeric result code; docs/result-codes.md lists the codes.
type Code uint16

// Codes of answers with content.
const (
	Complete Code = 100 + iota // all shards are covered
	Partial                    // some shards are missing
	Executed                   // the order ran
	Replayed                   // outcome of an earlier run with the same permit
)

// Codes of invalid input, which is rejected before it reaches an upstream.
const (
	Malformed Code = 200 + iota // cannot be parsed
	UnknownField
	WrongType
	OutOfRange
	BodyTooLarge
	UnknownRoute
	UnknownGroup // not a group of the route
	UnknownShard
	DeadlineOutOfRange
	WrongSubprotocol // WebSocket subprotocol other than that of the tier
	TruncatedFrame
	FrameTooLarge
	PermitRequired // an order without a permit
	PermitInvalid  // never issued, or used for another order
	DanglingName   // refers to a name that is not defined
	DuplicateName  // defines a name that is already in use
	UnsupportedFormat
	StaleRevision    // lower than the revision of the current configuration
	RevisionConflict // another configuration with the same revision is active
	ValueTooLarge
	MissingField
	KeyRejected // no API key, or one that belongs to no team
)

// Codes of refused requests and of shards missing from an answer.
const (
	DeadlineExpired Code = 300 + iota
	Overloaded
	NotReady    // the VM has no suitable configuration yet
	Stopping    // the VM is shutting down
	ZoneOut     // operators have drained the zone
	Quarantined // requests with the same fingerprint have crashed upstreams
	PermitExpired
	UpstreamShed
	OwnerMoved       // the VM no longer owns the upstream
	Unreachable      // no connection to the upstream
	SnapshotGone     // the upstream does not have the snapshot
	UpstreamLeaving  // the upstream is being drained
	OwnerUnreachable // the VM that owns the upstream cannot be reached
	Cancelled
	PermitVoid        // the issuer has revoked its unused permits
	QuotaExceeded     // the team has used up its quota
	ConfigUnconfirmed // the VM cannot prove that it knows of all withdrawn API keys
)

// Codes of requests whose outcome is unknown.
const (
	OutcomeUnknown  Code = 500 + iota
	IssuerGone           // the VM that issued the permit has restarted or cannot be reached
	PermitForgotten      // no longer in the table of its issuer
	Late                 // no result in time
	UpstreamFailed       // the upstream returned an error or an unreadable response
	ConnectionLost       // the connection was lost with the request in flight
)

// Internal is the code of an internal error of the query tier.
const Internal Code = 600

type codeInfo struct {
	name   string
	effect Effect
}

var codeInfos = map[Code]codeInfo{
	Complete:           {"complete", Ran},
	Partial:            {"partial", Ran},
	Executed:           {"executed", Ran},
	Replayed:           {"replayed", Ran},
	Malformed:          {"malformed", NotRun},
	UnknownField:       {"unknown-field", NotRun},
	WrongType:          {"wrong-type", NotRun},
	OutOfRange:         {"out-of-range", NotRun},
	BodyTooLarge:       {"body-too-large", NotRun},
	UnknownRoute:       {"unknown-route", NotRun},
	UnknownGroup:       {"unknown-group", NotRun},
	UnknownShard:       {"unknown-shard", NotRun},
	DeadlineOutOfRange: {"deadline-out-of-range", NotRun},
	WrongSubprotocol:   {"wrong-subprotocol", NotRun},
	TruncatedFrame:     {"truncated-frame", NotRun},
	FrameTooLarge:      {"frame-too-large", NotRun},
	PermitRequired:     {"permit-required", NotRun},
	PermitInvalid:      {"permit-invalid", NotRun},
	DanglingName:       {"dangling-name", NotRun},
	DuplicateName:      {"duplicate-name", NotRun},
	UnsupportedFormat:  {"unsupported-format", NotRun},
	StaleRevision:      {"stale-revision", NotRun},
	RevisionConflict:   {"revision-conflict", NotRun},
	ValueTooLarge:      {"value-too-large", NotRun},
	MissingField:       {"missing-field", NotRun},
	KeyRejected:        {"key-rejected", NotRun},
	DeadlineExpired:    {"deadline-expired", NotRun},
	Overloaded:         {"overloaded", NotRun},
	NotReady:           {"not-ready", NotRun},
	Stopping:           {"stopping", NotRun},
	ZoneOut:            {"zone-out", NotRun},
	Quarantined:        {"quarantined", NotRun},
	PermitExpired:      {"permit-expired", NotRun},
	UpstreamShed:       {"upstream-shed", NotRun},
	OwnerMoved:         {"owner-moved", NotRun},
	Unreachable:        {"unreachable", NotRun},
	SnapshotGone:       {"snapshot-gone", NotRun},
	UpstreamLeaving:    {"upstream-leaving", NotRun},
	OwnerUnreachable:   {"owner-unreachable", NotRun},
	Cancelled:          {"cancelled", NotRun},
	PermitVoid:         {"permit-void", NotRun},
	QuotaExceeded:      {"quota-exceeded", NotRun},
	ConfigUnconfirmed:  {"config-unconfirmed", NotRun},
	OutcomeUnknown:     {"outcome-unknown", MayHaveRun},
	IssuerGone:         {"issuer-gone", MayHaveRun},
	PermitForgotten:    {"permit-forgotten", MayHaveRun},
	Late:               {"late", MayHaveRun},
	UpstreamFailed:     {"upstream-failed", MayHaveRun},
	ConnectionLost:     {"connection-lost", MayHaveRun},
	Internal:           {"internal", MayHaveRun},
}

// Codes returns all defined codes in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeInfos))
	for c := range codeInfos {
		codes = append(codes, c)
	}
	return codes
}

// String returns the code's kebab-case name.
func (c Code) String() string {
	if r, ok := codeInfos[c]; ok {
		return r.name
	}
	return fmt.Sprintf("code-%d", uint16(c))
}

// Effect returns the effect that the code implies. It is MayHaveRun for an undefined code.
func (c Code) Effect() Effect {
	if r, ok := codeInfos[c]; ok {
		return r.effect
	}
	return MayHaveRun
}

// HasAnswer reports whether the code is that of an answer with content.
func (c Code) HasAnswer() bool {
	return c >= Complete && c <= Replayed
}

// Error is an error with a result code. It may name the invalid field and the values that the field allows.
type Error struct {
	Code    Code
	Path    string // path of the field, such as "routes[2].deadline"; empty if none applies
	Value   string // invalid value; empty if none applies
	Allowed string // allowed range or set; empty if none applies
	Detail  string // further explanation; may be empty
}

// New returns an error with a code and a detail text.
func New(c Code, detail string) *Error {
	return &Error{Code: c, Detail: detail}
}

// NewFieldError returns an error about a field.
func NewFieldError(c Code, path, value, allowed string) *Error {
	return &Error{Code: c, Path: path, Value: value, Allowed: allowed}
}

// Error formats the error on one line: code, name, field, value, allowed values and detail.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s", uint16(e.Code), e.Code)
	if e.Path != "" {
		s += ": " + e.Path
	}
	if e.Value != "" {
		s += fmt.Sprintf(" = %q", e.Value)
	}
	if e.Allowed != "" {
		s += " (allowed: " + e.Allowed + ")"
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}
