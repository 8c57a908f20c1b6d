package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// Limits of DynamoDB for a transaction and its items. maxTokenLength applies to
// the client request token.
const (
	maxTransactItems = 100
	maxTransactBytes = 4 << 20
	maxItemBytes     = 400 << 10
	maxTokenLength   = 36
)

type transactInput struct {
	TransactItems      []transactItem
	ClientRequestToken string
}

// transactItem must have exactly one of its fields set.
type transactItem struct {
	Put            *conditional
	Delete         *conditional
	ConditionCheck *conditional
}

type conditional struct {
	TableName                 string
	Item                      item `json:",omitempty"` // for Put
	Key                       item `json:",omitempty"` // for Delete and ConditionCheck
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attr
}

// transactOp is a validated operation of a transaction.
type transactOp struct {
	table    *memTable
	id       rowID
	terms    []term
	item     item // for Put
	isDelete bool
}

// transact checks all conditions and then applies all writes. The caller must
// hold the table lock, which makes the transaction atomic.
func (s *Stand) transact(in transactInput) (any, *apiError) {
	request, err := json.Marshal(in.TransactItems)
	if err != nil {
		return nil, validationError("request cannot be encoded: %v", err)
	}
	now := s.cfg.Timer.Now()
	s.tables.pruneCompleted(now)
	if applied, e := s.alreadyApplied(in.ClientRequestToken, string(request)); applied || e != nil {
		return struct{}{}, e
	}
	ops, e := s.parseTransactItems(in.TransactItems)
	if e != nil {
		return nil, e
	}
	if e := checkConditions(ops); e != nil {
		return nil, e
	}
	for _, op := range ops {
		if op.isDelete {
			op.table.remove(op.id)
		}
		if op.item != nil {
			op.table.put(op.id, op.item)
		}
	}
	if in.ClientRequestToken != "" {
		s.tables.completed[in.ClientRequestToken] = completedTransaction{string(request), now}
	}
	return struct{}{}, nil
}

// alreadyApplied reports whether the transaction with this client request token
// was applied before. It is an error if its request differed.
func (s *Stand) alreadyApplied(token, request string) (bool, *apiError) {
	if len(token) > maxTokenLength {
		return false, validationError("ClientRequestToken is longer than %d bytes", maxTokenLength)
	}
	previous, ok := s.tables.completed[token]
	if !ok {
		return false, nil
	}
	if previous.request != request {
		return false, &apiError{
			status: http.StatusBadRequest, kind: "IdempotentParameterMismatchException",
			text: "ClientRequestToken was used with other parameters",
		}
	}
	return true, nil
}

func (s *Stand) parseTransactItems(items []transactItem) ([]transactOp, *apiError) {
	if len(items) < 1 || len(items) > maxTransactItems {
		return nil, validationError("transaction must have 1 to %d items, not %d", maxTransactItems, len(items))
	}
	seen := make(map[rowID]bool)
	ops := make([]transactOp, 0, len(items))
	size := 0
	for _, i := range items {
		op, e := s.parseTransactItem(i)
		if e != nil {
			return nil, e
		}
		if seen[op.id] {
			return nil, validationError("Transaction request cannot include multiple operations on one item")
		}
		seen[op.id] = true
		ops = append(ops, op)
		size += op.item.size()
	}
	if size > maxTransactBytes {
		return nil, validationError("transaction must have at most %d bytes, not %d", maxTransactBytes, size)
	}
	return ops, nil
}

func (s *Stand) parseTransactItem(i transactItem) (transactOp, *apiError) {
	var parts []*conditional
	for _, c := range []*conditional{i.Put, i.Delete, i.ConditionCheck} {
		if c != nil {
			parts = append(parts, c)
		}
	}
	if len(parts) != 1 {
		return transactOp{}, validationError("transaction item must have exactly one of Put, Delete and ConditionCheck")
	}
	c := parts[0]
	t, e := s.lookupTable(c.TableName)
	if e != nil {
		return transactOp{}, e
	}
	op := transactOp{table: t, item: c.Item, isDelete: c == i.Delete}
	key := c.Key
	if c == i.Put {
		key = c.Item
	}
	if (c == i.Put) != (c.Key == nil) || (c == i.Put) != (c.Item != nil) {
		return transactOp{}, validationError("Put requires an Item; Delete and ConditionCheck require a Key")
	}
	if op.id, e = t.rowID(key, c != i.Put); e != nil {
		return transactOp{}, e
	}
	if c.Item.size() > maxItemBytes {
		return transactOp{}, validationError("Item size has exceeded the maximum allowed size")
	}
	e = op.parseCondition(c, c == i.ConditionCheck)
	return op, e
}

func (op *transactOp) parseCondition(c *conditional, required bool) *apiError {
	if c.ConditionExpression == "" && !required {
		return nil
	}
	terms, err := expression{c.ConditionExpression, c.ExpressionAttributeNames, c.ExpressionAttributeValues}.parse()
	if err != nil {
		return validationError("condition: %v", err)
	}
	op.terms = terms
	return nil
}

// checkConditions returns a TransactionCanceledException if a condition fails.
func checkConditions(ops []transactOp) *apiError {
	reasons := uniformReasons(len(ops), "None")
	failed := false
	for n, op := range ops {
		ok, err := matches(op.terms, op.table.get(op.id))
		if err != nil {
			return validationError("condition: %v", err)
		}
		if !ok {
			failed = true
			reasons[n] = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
		}
	}
	if !failed {
		return nil
	}
	return transactionCanceled(reasons)
}

func uniformReasons(n int, code string) []cancellationReason {
	reasons := make([]cancellationReason, n)
	for i := range reasons {
		reasons[i].Code = code
	}
	return reasons
}

func transactionCanceled(reasons []cancellationReason) *apiError {
	list := make([]string, 0, len(reasons))
	for _, r := range reasons {
		list = append(list, r.Code)
	}
	return &apiError{
		status: http.StatusBadRequest, kind: "TransactionCanceledException",
		text:    fmt.Sprintf("Transaction cancelled, please refer cancellation reasons for specific reasons [%s]", strings.Join(list, ", ")),
		reasons: reasons,
	}
}
