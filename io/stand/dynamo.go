package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	targetPrefix = "DynamoDB_20120810."
	typePrefix   = "com.amazonaws.dynamodb.v20120810#"

	// maxRequest bounds a request in bytes: the 4 MB of a transaction as
	// base64, and the rest.
	maxRequest = 8 << 20
)

// apiError is an error of the DynamoDB API.
type apiError struct {
	status  int
	kind    string
	text    string
	reasons []reason
}

type reason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

func invalid(format string, args ...any) *apiError {
	return &apiError{status: http.StatusBadRequest, kind: "ValidationException", text: fmt.Sprintf(format, args...)}
}

var (
	errThrottled = &apiError{
		status: http.StatusBadRequest, kind: "ProvisionedThroughputExceededException",
		text: "The level of configured provisioned throughput for the table was exceeded.",
	}
	errInternal = &apiError{status: http.StatusInternalServerError, kind: "InternalServerError", text: "Internal server error"}
)

func (e *apiError) write(w http.ResponseWriter) {
	body := map[string]any{"__type": typePrefix + e.kind, "message": e.text}
	if e.reasons != nil {
		body["CancellationReasons"] = e.reasons
		body["Message"] = e.text
		delete(body, "message")
	}
	writeJSON(w, e.status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveTable serves the subset of the DynamoDB API.
func (s *Stand) serveTable(w http.ResponseWriter, r *http.Request) {
	op := operation{service: Table, identity: identity(r), units: 1}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		invalid("request cannot be read: %v", err).write(w)
		return
	}
	run, e := s.tableOperation(strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix), body, &op)
	if e == nil && (r.Method != http.MethodPost || op.identity == "") {
		e = &apiError{status: http.StatusBadRequest, kind: "MissingAuthenticationTokenException", text: "not a signed POST request"}
	}
	if e != nil {
		e.write(w)
		return
	}
	s.runTable(w, op, run)
}

// tableOperation decodes a request. Its result runs with the lock held.
func (s *Stand) tableOperation(name string, body []byte, op *operation) (func() (any, *apiError), *apiError) {
	switch name {
	case "GetItem":
		var in getInput
		if e := decode(body, &in); e != nil {
			return nil, e
		}
		return func() (any, *apiError) { return s.getItem(in) }, nil
	case "Query":
		var in queryInput
		if e := decode(body, &in); e != nil {
			return nil, e
		}
		return func() (any, *apiError) { return s.query(in) }, nil
	case "TransactWriteItems":
		var in transactInput
		if e := decode(body, &in); e != nil {
			return nil, e
		}
		op.write, op.units = true, len(in.TransactItems)
		return func() (any, *apiError) { return s.transact(in) }, nil
	default:
		return nil, &apiError{status: http.StatusBadRequest, kind: "UnknownOperationException", text: "operation " + name + " is outside the subset"}
	}
}

func decode(body []byte, in any) *apiError {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(in); err != nil {
		return invalid("request is malformed or outside the subset: %v", err)
	}
	return nil
}

// runTable runs an operation with the faults before and after it.
func (s *Stand) runTable(w http.ResponseWriter, op operation, run func() (any, *apiError)) {
	switch s.admit(op) {
	case throttle:
		errThrottled.write(w)
		return
	case fail:
		errInternal.write(w)
		return
	case contend:
		cancelled(repeatReason(op.units, "TransactionConflict")).write(w)
		return
	}
	s.tables.mu.Lock()
	out, e := run()
	s.tables.mu.Unlock()
	if s.settle(op) == fail && e == nil {
		e = errInternal
	}
	if e != nil {
		e.write(w)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

type getInput struct {
	TableName      string
	Key            item
	ConsistentRead bool
}

type getOutput struct {
	Item item `json:"Item,omitempty"`
}

func (s *Stand) table(name string) (*rows, *apiError) {
	if t := s.tables.tables[name]; t != nil {
		return t, nil
	}
	return nil, &apiError{status: http.StatusBadRequest, kind: "ResourceNotFoundException", text: "Requested resource not found"}
}

func (s *Stand) getItem(in getInput) (any, *apiError) {
	t, e := s.table(in.TableName)
	if e != nil {
		return nil, e
	}
	if !in.ConsistentRead {
		return nil, invalid("reads that are not consistent are outside the subset")
	}
	id, e := t.id(in.Key, true)
	if e != nil {
		return nil, e
	}
	return getOutput{Item: t.get(id)}, nil
}

type queryInput struct {
	TableName                 string
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attr
	ConsistentRead            bool
	Limit                     *int
	ExclusiveStartKey         item
}

type queryOutput struct {
	Items            []item `json:"Items"`
	Count            int    `json:"Count"`
	ScannedCount     int    `json:"ScannedCount"`
	LastEvaluatedKey item   `json:"LastEvaluatedKey,omitempty"`
}

func (s *Stand) query(in queryInput) (any, *apiError) {
	t, e := s.table(in.TableName)
	if e != nil {
		return nil, e
	}
	if !in.ConsistentRead {
		return nil, invalid("reads that are not consistent are outside the subset")
	}
	limit := 0
	if in.Limit != nil {
		limit = *in.Limit
		if limit < 1 {
			return nil, invalid("limit %d is below 1", limit)
		}
	}
	part, after, e := t.keyCondition(in)
	if e != nil {
		return nil, e
	}
	items, more := t.after(part, after, limit, s.cfg.PageBytes)
	out := queryOutput{Items: items, Count: len(items), ScannedCount: len(items)}
	if out.Items == nil {
		out.Items = []item{}
	}
	if more {
		last := items[len(items)-1]
		out.LastEvaluatedKey = item{t.Partition: last[t.Partition], t.Sort: last[t.Sort]}
	}
	return out, nil
}

// keyCondition returns the partition and the sort key after which to start.
func (r *rows) keyCondition(in queryInput) (part, after string, e *apiError) {
	terms, err := expression{in.KeyConditionExpression, in.ExpressionAttributeNames, in.ExpressionAttributeValues}.terms()
	if err != nil {
		return "", "", invalid("key condition: %v", err)
	}
	for _, t := range terms {
		switch {
		case t.op == "=" && t.name == r.Partition && t.value.kind == "S":
			part = t.value.text
		case t.op == ">" && t.name == r.Sort && t.value.kind == "S":
			after = t.value.text
		default:
			return "", "", invalid("key condition on %s is outside the subset", t.name)
		}
	}
	if part == "" {
		return "", "", invalid("key condition lacks the partition key %s", r.Partition)
	}
	if in.ExclusiveStartKey == nil {
		return part, after, nil
	}
	id, e := r.id(in.ExclusiveStartKey, true)
	if e != nil {
		return "", "", e
	}
	if id.partition != part {
		return "", "", invalid("the start key is of another partition")
	}
	return part, max(after, id.sort), nil
}
