package core_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
)

// Guards against an order in which a version of an earlier era comes after one of a later
// era because its number is higher.
func TestErasOrderVersions(t *testing.T) {
	ascending := []core.Version{{}, {Number: 1}, {Number: 900}, {Era: 1, Number: 0}, {Era: 1, Number: 7}, {Era: 2, Number: 3}, {Era: 2, Number: 4}}
	for i, a := range ascending {
		for j, b := range ascending {
			require.Equal(t, i < j, a.Before(b), "%s before %s", a, b)
			require.Equal(t, ascending[max(i, j)], a.Max(b))
		}
	}
}

// A change of a new era comes after all changes of the eras before.
func ExampleVersion() {
	lost := core.Version{Era: 1, Number: 161}
	written := core.Version{Era: 2, Number: 130}
	fmt.Println(lost.Before(written), lost.Max(written))
	// Output: true 2/130
}
