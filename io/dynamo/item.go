package dynamo

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"azurering/core"
	"azurering/core/codes"
)

// The attribute names of an item.
const (
	attrSpace   = "space"
	attrKey     = "key"
	attrVersion = "version"
	attrToken   = "token"
	attrValue   = "value"
)

type item = map[string]types.AttributeValue

func stringAttr(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttr(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func itemKey(space core.Space, key string) item {
	return item{attrSpace: stringAttr(string(space)), attrKey: stringAttr(key)}
}

func newItem(w core.Write) item {
	i := itemKey(w.Space, w.Key)
	i[attrVersion] = numberAttr(w.ExpectVersion + 1)
	i[attrToken] = stringAttr(w.Token)
	value := w.Value
	if value == nil {
		value = []byte{} // DynamoDB rejects a missing value but accepts an empty one
	}
	i[attrValue] = &types.AttributeValueMemberB{Value: value}
	return i
}

func rowFromItem(i item) (core.Row, error) {
	space, ok1 := i[attrSpace].(*types.AttributeValueMemberS)
	key, ok2 := i[attrKey].(*types.AttributeValueMemberS)
	version, ok3 := i[attrVersion].(*types.AttributeValueMemberN)
	token, ok4 := i[attrToken].(*types.AttributeValueMemberS)
	value, ok5 := i[attrValue].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 || !ok5 {
		return core.Row{}, codes.New(codes.StoreDown, "dynamo: item lacks an attribute of a row or has one of another type")
	}
	n, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil || n == 0 {
		return core.Row{}, codes.New(codes.StoreDown, "dynamo: row %s/%s has version %q, not a positive integer", space.Value, key.Value, version.Value)
	}
	row := core.Row{Space: core.Space(space.Value), Key: key.Value, Version: n, Token: token.Value}
	if len(value.Value) > 0 {
		row.Value = value.Value
	}
	return row, nil
}
