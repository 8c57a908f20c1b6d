package dynamo

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"azurering/core"
	"azurering/core/codes"
)

// The attributes of an item.
const (
	attrSpace   = "space"
	attrKey     = "key"
	attrVersion = "version"
	attrToken   = "token"
	attrValue   = "value"
)

type item = map[string]types.AttributeValue

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func itemKey(space core.Space, key string) item {
	return item{attrSpace: text(string(space)), attrKey: text(key)}
}

func itemOf(w core.Write) item {
	i := itemKey(w.Space, w.Key)
	i[attrVersion] = number(w.ExpectVersion + 1)
	i[attrToken] = text(w.Token)
	value := w.Value
	if value == nil {
		value = []byte{} // DynamoDB refuses a missing value, not an empty one
	}
	i[attrValue] = &types.AttributeValueMemberB{Value: value}
	return i
}

func rowOf(i item) (core.Row, error) {
	space, ok1 := i[attrSpace].(*types.AttributeValueMemberS)
	key, ok2 := i[attrKey].(*types.AttributeValueMemberS)
	version, ok3 := i[attrVersion].(*types.AttributeValueMemberN)
	token, ok4 := i[attrToken].(*types.AttributeValueMemberS)
	value, ok5 := i[attrValue].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 || !ok5 {
		return core.Row{}, codes.New(codes.StoreDown, "dynamo: item is not a row")
	}
	n, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil || n == 0 {
		return core.Row{}, codes.New(codes.StoreDown, "dynamo: row %s/%s has the version %q", space.Value, key.Value, version.Value)
	}
	row := core.Row{Space: core.Space(space.Value), Key: key.Value, Version: n, Token: token.Value}
	if len(value.Value) > 0 {
		row.Value = value.Value
	}
	return row, nil
}
