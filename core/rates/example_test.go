package rates_test

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/rates"
	"azurering/core/share"
)

// A host admits requests of a workspace against one loan.
func ExampleLimiter() {
	limiter := rates.NewLimiter(rates.LimiterConfig{})
	amount := core.Amount{Rate: 2_000, Burst: 3_000}
	limiter.SetLimits(share.Limits{Version: 1, Rates: map[core.Resource]share.Limit{"rate/loft": {Amount: amount}}})
	limiter.SetLoans(0, "rate/loft", []share.Part{{Lender: "kushiro", Amount: amount, Until: 12 * time.Second}})
	fmt.Println(limiter.Admit(0, "loft", rates.Request))
	fmt.Println(limiter.Admit(500*time.Millisecond, "loft", rates.Request))
	var refusal *rates.Refusal
	if errors.As(limiter.Admit(600*time.Millisecond, "loft", rates.Request), &refusal) {
		fmt.Println(refusal.Code, refusal.After)
	}
	fmt.Println(limiter.Admit(13*time.Second, "loft", rates.Request))
	// Output:
	// rates: rate/loft refused, retry after 500ms
	// <nil>
	// 3001 400ms
	// rates: rate/loft refused, retry after 1s
}
