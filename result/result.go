// Package result defines the numbered result codes that every answer, refusal and input fault carries.
package result

import "fmt"

// Effect tells what a request that ended with a code did at the upstreams.
type Effect uint8

// The three effects. NotRun is used only where it is certain.
const (
	NotRun Effect = iota + 1
	Ran
	MayHaveRun
)

// String returns the effect in the form used on the wire.
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

// Code is a numbered result code; docs/result-codes.md lists them.
type Code uint16

// Codes of answers.
const (
	Complete Code = 100 + iota
	Partial
	Executed
	Replayed
)

// Codes of bad input. None of them reaches an upstream.
const (
	Malformed Code = 200 + iota
	UnknownField
	WrongType
	OutOfRange
	BodyTooLarge
	UnknownRoute
	UnknownGroup
	UnknownShard
	DeadlineOutOfRange
	WrongSubprotocol
	TruncatedFrame
	FrameTooLarge
	PermitRequired
	PermitInvalid
	DanglingName
	DuplicateName
	UnsupportedFormat
	StaleRevision
	RevisionConflict
	ValueTooLarge
	MissingField
)

// Codes of refusals and of shards that an answer lacks.
const (
	DeadlineExpired Code = 300 + iota
	Overloaded
	NotReady
	Stopping
	ZoneOut
	Quarantined
	PermitExpired
	UpstreamShed
	OwnerMoved
	Unreachable
	SnapshotGone
	UpstreamLeaving
	OwnerUnreachable
	Cancelled
	PermitVoid
)

// Codes of outcomes that are not known.
const (
	OutcomeUnknown Code = 500 + iota
	IssuerGone
	PermitForgotten
	Late
	UpstreamFailed
	ConnectionLost
)

// Internal reports a fault of the tier itself.
const Internal Code = 600

type row struct {
	name   string
	effect Effect
}

var rows = map[Code]row{
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
	OutcomeUnknown:     {"outcome-unknown", MayHaveRun},
	IssuerGone:         {"issuer-gone", MayHaveRun},
	PermitForgotten:    {"permit-forgotten", MayHaveRun},
	Late:               {"late", MayHaveRun},
	UpstreamFailed:     {"upstream-failed", MayHaveRun},
	ConnectionLost:     {"connection-lost", MayHaveRun},
	Internal:           {"internal", MayHaveRun},
}

// Codes returns every defined code in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(rows))
	for c := range rows {
		codes = append(codes, c)
	}
	return codes
}

// String returns the code's kebab-case name.
func (c Code) String() string {
	if r, ok := rows[c]; ok {
		return r.name
	}
	return fmt.Sprintf("code-%d", uint16(c))
}

// Effect returns what the code says about the upstreams; an undefined code may have run.
func (c Code) Effect() Effect {
	if r, ok := rows[c]; ok {
		return r.effect
	}
	return MayHaveRun
}

// HasAnswer reports whether the code belongs to an answer with content.
func (c Code) HasAnswer() bool {
	return c >= Complete && c <= Replayed
}

// Error is a coded failure that names the faulty field and what it allows.
type Error struct {
	Code    Code
	Path    string // field path such as "routes[2].deadline", empty if none applies
	Value   string // offending value, empty if none applies
	Allowed string // allowed range or set, empty if none applies
	Detail  string
}

// New returns an error with a code and a detail.
func New(c Code, detail string) *Error {
	return &Error{Code: c, Detail: detail}
}

// NewFieldError returns an error about one field.
func NewFieldError(c Code, path, value, allowed string) *Error {
	return &Error{Code: c, Path: path, Value: value, Allowed: allowed}
}

// Error returns one line: code, name, field, value and allowed range.
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
