package order

import (
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"azurering/core"
	"azurering/core/codes"
)

// Row keys are <escaped workspace>/<class>/<idempotency key>. Escaping keeps
// the keys of two workspaces apart. Keys of the dated class are canonical
// UUIDv7 and so sort by age, which lets a sweep stop at the first young row.
const (
	classDated  = "t"
	classOpaque = "k"
	maxKey      = 255
)

func rowKey(w core.WorkspaceID, key string) string {
	class := classOpaque
	if _, ok := parseIssued(key); ok {
		class = classIssued
	}
	if id, err := uuid.Parse(key); err == nil && id.Version() == 7 && id.String() == key {
		class = classDated
	}
	return url.PathEscape(string(w)) + "/" + class + "/" + key
}

// keyOf returns the idempotency key of a row.
func keyOf(row string) string {
	parts := strings.SplitN(row, "/", 3)
	return parts[len(parts)-1]
}

// datedPrefix returns the prefix of the dated rows of the row's workspace
// and whether the row is one of them.
func datedPrefix(row string) (string, bool) {
	parts := strings.SplitN(row, "/", 3)
	if len(parts) != 3 || parts[1] != classDated {
		return "", false
	}
	return parts[0] + "/" + classDated, true
}

// keyTime returns the time that a key shows, if it does.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

func (o *Orders) check(r Request) error {
	if r.Key == "" {
		return codes.New(codes.OrderKeyMissing, "order: no idempotency key")
	}
	if r.Workspace == "" || len(r.Key) > maxKey || strings.ContainsFunc(r.Key, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return codes.New(codes.RequestBad, "order: idempotency key or workspace is malformed")
	}
	if at, ok := keyTime(r.Key); ok && o.cfg.Now().Sub(at) > o.cfg.Retention {
		return codes.New(codes.OrderExpired, "order: idempotency key is older than %s", o.cfg.Retention)
	}
	return nil
}
