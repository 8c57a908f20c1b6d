package bench

import (
	"context"
	"fmt"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// capacLog is a table that holds a log of n withdrawals without keeping it,
// so that the log does not count as memory of the host.
type capacLog struct{ n int }

// Get implements core.Table.
func (capacLog) Get(_ context.Context, space core.Space, key string) (core.Row, error) {
	return core.Row{Space: space, Key: key}, nil
}

// List implements core.Table.
func (l capacLog) List(_ context.Context, space core.Space, after string, limit int) ([]core.Row, error) {
	from, err := strconv.Atoi(after)
	if err != nil {
		return nil, codes.Wrap(err, codes.Internal, "bench: key %q is not a row of the log", after)
	}
	var rows []core.Row
	for i := from + 1; i <= l.n && len(rows) < limit; i++ {
		body, err := cbor.Marshal([]string{fmt.Sprintf("key-%07d", i), "workspace-001"})
		if err != nil {
			return nil, err
		}
		rows = append(rows, core.Row{Space: space, Key: fmt.Sprintf("%020d", i), Version: 1, Value: body})
	}
	return rows, nil
}

// Commit implements core.Table.
func (capacLog) Commit(context.Context, []core.Write) error {
	return codes.New(codes.StoreDown, "bench: the log cannot be written")
}
