package core

import (
	"cmp"
	"strconv"
)

// Version is a position in the changes of the platform's store. The store counts its
// changes, and counts some of them anew after it has come back from an older copy of
// its content: the same number then stands for another change. Era tells these counts
// apart; it is 0 for a store that names none. The zero value is before all others.
type Version struct {
	Era    uint64
	Number uint64
}

// Compare returns a negative number if v is before other, 0 if they are the same, and
// a positive number otherwise.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Number, other.Number))
}

// Before reports whether v is before other.
func (v Version) Before(other Version) bool { return v.Compare(other) < 0 }

// Max returns the later one of v and other.
func (v Version) Max(other Version) Version {
	if v.Before(other) {
		return other
	}
	return v
}

// IsZero reports whether v is the zero value, which stands for no version.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the number, preceded by the era and a slash if there is one.
func (v Version) String() string {
	number := strconv.FormatUint(v.Number, 10)
	if v.Era == 0 {
		return number
	}
	return strconv.FormatUint(v.Era, 10) + "/" + number
}
