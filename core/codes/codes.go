// Package codes defines the numbered result codes of azurering and the error
// type that carries one. All packages that return errors use it. Operators find
// the codes explained in docs/CODES.md.
package codes

import (
	"fmt"

	"github.com/pkg/errors"
)

// Code is a numbered result code. Its thousands digit is the area: 1 requests,
// 2 keys, 3 limits, 4 orders, 5 routing, 6 the platform's store, 7 peers,
// 8 configuration and settings, 9 command line.
type Code int

// The result codes. A number is never reused.
const (
	OK Code = 0

	RequestBad      Code = 1001
	RequestTooLarge Code = 1002
	RequestSlow     Code = 1003
	RequestDeadline Code = 1004
	RouteUnknown    Code = 1005
	Internal        Code = 1099

	KeyMissing   Code = 2001
	KeyUnknown   Code = 2002
	KeyWithdrawn Code = 2003
	KeyUnproven  Code = 2004

	RateExceeded Code = 3001
	QueueFull    Code = 3002
	LoadShed     Code = 3003
	ShiftCapped  Code = 3004
	LinkFull     Code = 3005

	OrderKeyMissing Code = 4001
	OrderRunning    Code = 4002
	OrderUnknown    Code = 4003
	OrderNotRun     Code = 4004
	OrderMismatch   Code = 4005
	OrderExpired    Code = 4006

	NoServer      Code = 5001
	NoCapacity    Code = 5002
	ServerFailed  Code = 5003
	ServerCut     Code = 5004
	HostLeaving   Code = 5005
	NoConfig      Code = 5006
	ServiceAbsent Code = 5007

	StoreDown     Code = 6001
	StoreConflict Code = 6002
	StoreUnknown  Code = 6003
	StoreLimit    Code = 6004
	StoreAbsent   Code = 6005

	PeerDown    Code = 7001
	PeerUnknown Code = 7002
	PeerFrame   Code = 7003
	PeerKind    Code = 7004
	PeerRefused Code = 7005
	SeatLost    Code = 7006

	SheetInvalid    Code = 8001
	VersionConflict Code = 8002
	ChangeInvalid   Code = 8003
	SettingsInvalid Code = 8004
	WithdrawPending Code = 8005

	UsageBad       Code = 9001
	OperatorDenied Code = 9002
	CheckFailed    Code = 9003
)

// Error is an error with a result code. Text starts with the name of the
// package that returned it.
type Error struct {
	Code  Code
	Text  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (code %d): %v", e.Text, e.Code, e.Cause)
	}
	return fmt.Sprintf("%s (code %d)", e.Text, e.Code)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error with a code. The formatted text starts with the package
// name.
func New(code Code, format string, args ...any) error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a code and a cause, or nil if the cause is nil.
func Wrap(cause error, code Code, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Code: code, Text: fmt.Sprintf(format, args...), Cause: cause}
}

// Of returns the code of the outermost coded error in the chain of err, OK
// for nil and Internal for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Internal
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool { return Of(err) == code }
