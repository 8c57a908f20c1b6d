package dynamo

import (
	"net/http"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"azurering/core/codes"
	"azurering/io/cloud"
)

// throttlingCodes contains the DynamoDB error codes and cancellation reasons
// which guarantee that nothing was written and that a retry may succeed.
var throttlingCodes = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"ProvisionedThroughputExceeded":          true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"ThrottlingError":                        true,
	"LimitExceededException":                 true,
	// Another transaction on one of the rows was in progress.
	"TransactionConflict":          true,
	"TransactionConflictException": true,
}

// readError converts the SDK's error for a read to StoreLimit or StoreDown.
func readError(err error, operation string) error {
	var apiErr smithy.APIError
	if errors.As(err, &apiErr) && throttlingCodes[apiErr.ErrorCode()] {
		return codes.Wrap(err, codes.StoreLimit, "dynamo: %s was throttled", operation)
	}
	return codes.Wrap(err, codes.StoreDown, "dynamo: %s failed", operation)
}

// commitError converts the SDK's error for a commit to an error with a result
// code. The code is StoreUnknown unless the error proves that nothing was
// written.
func commitError(err error, connected bool) error {
	if !connected {
		return codes.Wrap(err, codes.StoreDown, "dynamo: commit was not sent: no connection")
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancellationError(err, cancelled.CancellationReasons)
	}
	var inProgress *types.TransactionInProgressException
	if errors.As(err, &inProgress) {
		return codes.Wrap(err, codes.StoreUnknown, "dynamo: transaction of the commit is still in progress")
	}
	var apiErr smithy.APIError
	if errors.As(err, &apiErr) && throttlingCodes[apiErr.ErrorCode()] {
		return codes.Wrap(err, codes.StoreLimit, "dynamo: commit was throttled")
	}
	if status := cloud.StatusCode(err); status >= http.StatusBadRequest && status < http.StatusInternalServerError && apiErr != nil {
		return codes.Wrap(err, codes.StoreDown, "dynamo: commit was rejected")
	}
	return codes.Wrap(err, codes.StoreUnknown, "dynamo: outcome of the commit is unknown")
}

// cancellationError converts the error of a transaction that DynamoDB
// cancelled, so that nothing was written. A failed condition takes precedence
// over other reasons, because a retry would fail in the same way.
func cancellationError(err error, reasons []types.CancellationReason) error {
	throttled := false
	for _, r := range reasons {
		code := ""
		if r.Code != nil {
			code = *r.Code
		}
		if code == "ConditionalCheckFailed" {
			return codes.Wrap(err, codes.StoreConflict, "dynamo: a condition of the commit failed")
		}
		throttled = throttled || throttlingCodes[code]
	}
	if throttled {
		return codes.Wrap(err, codes.StoreLimit, "dynamo: commit was throttled")
	}
	return codes.Wrap(err, codes.StoreDown, "dynamo: transaction of the commit was cancelled")
}
