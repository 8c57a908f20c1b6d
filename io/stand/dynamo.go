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

	// maxRequestBytes leaves room for a transaction of 4 MB in base64 and the
	// JSON around it.
	maxRequestBytes = 8 << 20
)

// apiError is an error response of the DynamoDB API.
type apiError struct {
	status  int
	kind    string
	text    string
	reasons []cancellationReason
}

type cancellationReason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

func validationError(format string, args ...any) *apiError {
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

// serveTable handles the supported operations of the DynamoDB API.
func (s *Stand) serveTable(w http.ResponseWriter, r *http.Request) {
	op := operation{service: ServiceTable, identity: callerID(r), units: 1}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		validationError("request body cannot be read: %v", err).write(w)
		return
	}
	run, e := s.decodeOperation(strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix), body, &op)
	if e == nil && (r.Method != http.MethodPost || op.identity == "") {
		e = &apiError{status: http.StatusBadRequest, kind: "MissingAuthenticationTokenException", text: "request is not a signed POST"}
	}
	if e != nil {
		e.write(w)
		return
	}
	s.runOperation(w, op, run)
}

// decodeOperation decodes a request and returns a function that performs it. The
// caller must hold the table lock when it calls that function. For a
// transaction, it marks op as a write of the number of its items.
func (s *Stand) decodeOperation(name string, body []byte, op *operation) (func() (any, *apiError), *apiError) {
	switch name {
	case "GetItem":
		var in getInput
		if e := decodeInput(body, &in); e != nil {
			return nil, e
		}
		return func() (any, *apiError) { return s.getItem(in) }, nil
	case "Query":
		var in queryInput
		if e := decodeInput(body, &in); e != nil {
			return nil, e
		}
		return func() (any, *apiError) { return s.query(in) }, nil
	case "TransactWriteItems":
		var in transactInput
		if e := decodeInput(body, &in); e != nil {
			return nil, e
		}
		op.write, op.units = true, len(in.TransactItems)
		return func() (any, *apiError) { return s.transact(in) }, nil
	default:
		return nil, &apiError{status: http.StatusBadRequest, kind: "UnknownOperationException", text: "operation " + name + " is not supported"}
	}
}

func decodeInput(body []byte, in any) *apiError {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(in); err != nil {
		return validationError("request is malformed or uses an unsupported field: %v", err)
	}
	return nil
}

// runOperation runs an operation and injects the faults before and after it.
func (s *Stand) runOperation(w http.ResponseWriter, op operation, run func() (any, *apiError)) {
	switch s.injectBefore(op) {
	case throttle:
		errThrottled.write(w)
		return
	case fail:
		errInternal.write(w)
		return
	case contend:
		transactionCanceled(uniformReasons(op.units, "TransactionConflict")).write(w)
		return
	}
	s.tables.mu.Lock()
	out, e := run()
	s.tables.mu.Unlock()
	if s.injectAfter(op) == fail && e == nil {
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

func (s *Stand) lookupTable(name string) (*memTable, *apiError) {
	if t := s.tables.tables[name]; t != nil {
		return t, nil
	}
	return nil, &apiError{status: http.StatusBadRequest, kind: "ResourceNotFoundException", text: "Requested resource not found"}
}

func (s *Stand) getItem(in getInput) (any, *apiError) {
	t, e := s.lookupTable(in.TableName)
	if e != nil {
		return nil, e
	}
	if !in.ConsistentRead {
		return nil, validationError("only consistent reads are supported")
	}
	id, e := t.rowID(in.Key, true)
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
	t, e := s.lookupTable(in.TableName)
	if e != nil {
		return nil, e
	}
	if !in.ConsistentRead {
		return nil, validationError("only consistent reads are supported")
	}
	limit := 0
	if in.Limit != nil {
		limit = *in.Limit
		if limit < 1 {
			return nil, validationError("Limit is %d; the minimum is 1", limit)
		}
	}
	partitionKey, afterSortKey, e := t.parseKeyCondition(in)
	if e != nil {
		return nil, e
	}
	items, more := t.scanAfter(partitionKey, afterSortKey, limit, s.cfg.MaxPageBytes)
	out := queryOutput{Items: items, Count: len(items), ScannedCount: len(items)}
	if out.Items == nil {
		out.Items = []item{}
	}
	if more {
		last := items[len(items)-1]
		out.LastEvaluatedKey = item{t.PartitionKey: last[t.PartitionKey], t.SortKey: last[t.SortKey]}
	}
	return out, nil
}

// parseKeyCondition returns the partition to query and the sort key after which
// the results start.
func (m *memTable) parseKeyCondition(in queryInput) (partitionKey, afterSortKey string, e *apiError) {
	terms, err := expression{in.KeyConditionExpression, in.ExpressionAttributeNames, in.ExpressionAttributeValues}.parse()
	if err != nil {
		return "", "", validationError("key condition: %v", err)
	}
	for _, t := range terms {
		switch {
		case t.op == "=" && t.name == m.PartitionKey && t.value.kind == "S":
			partitionKey = t.value.text
		case t.op == ">" && t.name == m.SortKey && t.value.kind == "S":
			afterSortKey = t.value.text
		default:
			return "", "", validationError("key condition on %s is not supported", t.name)
		}
	}
	if partitionKey == "" {
		return "", "", validationError("key condition is missing the partition key %s", m.PartitionKey)
	}
	if in.ExclusiveStartKey == nil {
		return partitionKey, afterSortKey, nil
	}
	id, e := m.rowID(in.ExclusiveStartKey, true)
	if e != nil {
		return "", "", e
	}
	if id.partition != partitionKey {
		return "", "", validationError("ExclusiveStartKey is in another partition")
	}
	return partitionKey, max(afterSortKey, id.sort), nil
}
