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
	limiter.SetLoans(0, "rate/loft", []share.Loan{{Lender: "kushiro", Amount: amount, ExpiresAt: 12 * time.Second}})
	fmt.Println(limiter.Admit(0, "loft", rates.RequestWeight))
	fmt.Println(limiter.Admit(500*time.Millisecond, "loft", rates.RequestWeight))
	var refusal *rates.RefusedError
	if errors.As(limiter.Admit(600*time.Millisecond, "loft", rates.RequestWeight), &refusal) {
		fmt.Println(refusal.Code, refusal.RetryAfter)
	}
	fmt.Println(limiter.Admit(13*time.Second, "loft", rates.RequestWeight))
	// Output:
	// rates: rate/loft refused, retry after 500ms
	// <nil>
	// 3001 400ms
	// rates: rate/loft refused, retry after 1s
}
