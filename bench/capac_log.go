package bench

import (
	"context"
	"fmt"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// withdrawalLog is a read-only table that generates a log of withdrawals on
// demand, so that the log itself does not count as memory of the host.
type withdrawalLog struct{ entries int }

// Get implements core.Table.
func (withdrawalLog) Get(_ context.Context, space core.Space, key string) (core.Row, error) {
	return core.Row{Space: space, Key: key}, nil
}

// List implements core.Table.
func (l withdrawalLog) List(_ context.Context, space core.Space, after string, limit int) ([]core.Row, error) {
	from, err := strconv.Atoi(after)
	if err != nil {
		return nil, codes.Wrap(err, codes.Internal, "bench: row key %q of the withdrawal log is not a number", after)
	}
	var rows []core.Row
	for i := from + 1; i <= l.entries && len(rows) < limit; i++ {
		body, err := cbor.Marshal([]string{fmt.Sprintf("key-%07d", i), "workspace-001"})
		if err != nil {
			return nil, err
		}
		rows = append(rows, core.Row{Space: space, Key: fmt.Sprintf("%020d", i), Version: 1, Value: body})
	}
	return rows, nil
}

// Commit implements core.Table.
func (withdrawalLog) Commit(context.Context, []core.Write) error {
	return codes.New(codes.StoreDown, "bench: the withdrawal log is read-only")
}
