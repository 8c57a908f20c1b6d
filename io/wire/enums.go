package wire

import (
	"time"

	"github.com/pkg/errors"

	"azurering/core"
)

// enum lists the values of an enumeration. The index of a value is its number
// on the wire, so values may only be appended. Index 0 is the empty value.
type enum struct {
	name   string
	values []string
}

var (
	hostStates = enum{"host state", []string{
		"", string(core.HostLive), string(core.HostLeaving), string(core.HostSuspect), string(core.HostDead),
	}}
	accesses    = enum{"access", []string{"", string(core.AccessOpen), string(core.AccessKeyed)}}
	routeKinds  = enum{"route kind", []string{"", string(core.RouteIdempotent), string(core.RouteOrder)}}
	classes     = enum{"class", []string{"", string(core.ClassLookup), string(core.ClassOrder), string(core.ClassDownload)}}
	drainKinds  = enum{"drain kind", []string{"", string(core.DrainServer), string(core.DrainHost), string(core.DrainDomain)}}
	drainModes  = enum{"drain mode", []string{"", string(core.ModeDrain), string(core.ModeStop)}}
	entryKinds  = enum{"entry kind", []string{"", string(core.EntrySheet), string(core.EntryChange)}}
	changeKinds = enum{"change kind", []string{
		"", string(core.ChangeGrant), string(core.ChangeRevoke), string(core.ChangeShift),
		string(core.ChangeDrain), string(core.ChangeResume), string(core.ChangeRate),
	}}
)

// number returns the number of a value, which may be empty.
func (e enum) number(value string) (uint64, error) {
	for i, v := range e.values {
		if v == value {
			return uint64(i), nil
		}
	}
	return 0, errors.Errorf("unknown %s %q", e.name, value)
}

// requiredNumber is like number, but refuses an empty value.
func (e enum) requiredNumber(value string) (uint64, error) {
	if value == "" {
		return 0, errors.Errorf("%s is missing", e.name)
	}
	return e.number(value)
}

// value returns the value of a number, which may be 0.
func (e enum) value(number uint64) (string, error) {
	if number >= uint64(len(e.values)) {
		return "", errors.Errorf("unknown %s %d", e.name, number)
	}
	return e.values[number], nil
}

// requiredValue is like value, but refuses 0.
func (e enum) requiredValue(number uint64) (string, error) {
	if number == 0 {
		return "", errors.Errorf("%s is missing", e.name)
	}
	return e.value(number)
}

// notNegative returns an error for a negative duration: a negative age would
// make evidence look newer than it is.
func notNegative(name string, d time.Duration) error {
	if d < 0 {
		return errors.Errorf("%s is negative", name)
	}
	return nil
}
