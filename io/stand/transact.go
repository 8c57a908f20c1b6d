package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// Limits of DynamoDB.
const (
	maxTransactItems = 100
	maxTransactBytes = 4 << 20
	maxItemBytes     = 400 << 10
	maxToken         = 36
)

type transactInput struct {
	TransactItems      []transactItem
	ClientRequestToken string
}

// transactItem holds exactly one of its parts.
type transactItem struct {
	Put            *conditional
	Delete         *conditional
	ConditionCheck *conditional
}

type conditional struct {
	TableName                 string
	Item                      item `json:",omitempty"` // of Put
	Key                       item `json:",omitempty"` // of Delete and ConditionCheck
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attr
}

// step is a checked part of a transaction.
type step struct {
	table  *rows
	id     rowID
	terms  []term
	item   item // of Put
	remove bool // of Delete
}

// transact applies a transaction. The caller holds the lock, so checking
// all conditions and applying all writes is one atomic step.
func (s *Stand) transact(in transactInput) (any, *apiError) {
	request, err := json.Marshal(in.TransactItems)
	if err != nil {
		return nil, invalid("request: %v", err)
	}
	now := s.cfg.Timer.Now()
	s.tables.forget(now)
	if repeated, e := s.repeated(in.ClientRequestToken, string(request)); repeated || e != nil {
		return struct{}{}, e
	}
	steps, e := s.steps(in.TransactItems)
	if e != nil {
		return nil, e
	}
	if e := check(steps); e != nil {
		return nil, e
	}
	for _, step := range steps {
		if step.remove {
			step.table.remove(step.id)
		}
		if step.item != nil {
			step.table.put(step.id, step.item)
		}
	}
	if in.ClientRequestToken != "" {
		s.tables.done[in.ClientRequestToken] = finished{string(request), now}
	}
	return struct{}{}, nil
}

// repeated reports whether the same transaction was applied before.
func (s *Stand) repeated(token, request string) (bool, *apiError) {
	if len(token) > maxToken {
		return false, invalid("ClientRequestToken is longer than %d", maxToken)
	}
	earlier, ok := s.tables.done[token]
	if !ok {
		return false, nil
	}
	if earlier.request != request {
		return false, &apiError{
			status: http.StatusBadRequest, kind: "IdempotentParameterMismatchException",
			text: "the token was used with other parameters",
		}
	}
	return true, nil
}

func (s *Stand) steps(items []transactItem) ([]step, *apiError) {
	if len(items) < 1 || len(items) > maxTransactItems {
		return nil, invalid("a transaction has 1 to %d items, not %d", maxTransactItems, len(items))
	}
	seen := make(map[rowID]bool)
	steps := make([]step, 0, len(items))
	size := 0
	for _, i := range items {
		st, e := s.step(i)
		if e != nil {
			return nil, e
		}
		if seen[st.id] {
			return nil, invalid("Transaction request cannot include multiple operations on one item")
		}
		seen[st.id] = true
		steps = append(steps, st)
		size += st.item.size()
	}
	if size > maxTransactBytes {
		return nil, invalid("a transaction has at most %d bytes, not %d", maxTransactBytes, size)
	}
	return steps, nil
}

func (s *Stand) step(i transactItem) (step, *apiError) {
	var parts []*conditional
	for _, c := range []*conditional{i.Put, i.Delete, i.ConditionCheck} {
		if c != nil {
			parts = append(parts, c)
		}
	}
	if len(parts) != 1 {
		return step{}, invalid("an item has exactly one of Put, Delete and ConditionCheck")
	}
	c := parts[0]
	t, e := s.table(c.TableName)
	if e != nil {
		return step{}, e
	}
	st := step{table: t, item: c.Item, remove: c == i.Delete}
	key := c.Key
	if c == i.Put {
		key = c.Item
	}
	if (c == i.Put) != (c.Key == nil) || (c == i.Put) != (c.Item != nil) {
		return step{}, invalid("Put has an Item, Delete and ConditionCheck have a Key")
	}
	if st.id, e = t.id(key, c != i.Put); e != nil {
		return step{}, e
	}
	if c.Item.size() > maxItemBytes {
		return step{}, invalid("Item size has exceeded the maximum allowed size")
	}
	e = st.condition(c, c == i.ConditionCheck)
	return st, e
}

func (st *step) condition(c *conditional, required bool) *apiError {
	if c.ConditionExpression == "" && !required {
		return nil
	}
	terms, err := expression{c.ConditionExpression, c.ExpressionAttributeNames, c.ExpressionAttributeValues}.terms()
	if err != nil {
		return invalid("condition: %v", err)
	}
	st.terms = terms
	return nil
}

// check returns a TransactionCanceledException if a condition does not
// hold.
func check(steps []step) *apiError {
	reasons := repeatReason(len(steps), "None")
	failed := false
	for n, st := range steps {
		ok, err := holds(st.terms, st.table.get(st.id))
		if err != nil {
			return invalid("condition: %v", err)
		}
		if !ok {
			failed = true
			reasons[n] = reason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
		}
	}
	if !failed {
		return nil
	}
	return cancelled(reasons)
}

func repeatReason(n int, code string) []reason {
	reasons := make([]reason, n)
	for i := range reasons {
		reasons[i].Code = code
	}
	return reasons
}

func cancelled(reasons []reason) *apiError {
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
