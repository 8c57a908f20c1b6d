package dynamo

import (
	"net/http"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"azurering/core/codes"
	"azurering/io/cloud"
)

// throttling lists the error codes and cancellation reasons that say that
// nothing was written and that a later attempt may succeed.
var throttling = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"ProvisionedThroughputExceeded":          true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"ThrottlingError":                        true,
	"LimitExceededException":                 true,
	// Another transaction held one of the rows.
	"TransactionConflict":          true,
	"TransactionConflictException": true,
}

// readError classifies the error of a read.
func readError(err error, what string) error {
	var api smithy.APIError
	if errors.As(err, &api) && throttling[api.ErrorCode()] {
		return codes.Wrap(err, codes.StoreLimit, "dynamo: %s was throttled", what)
	}
	return codes.Wrap(err, codes.StoreDown, "dynamo: %s failed", what)
}

// commitError classifies the error of a commit. Only an error that proves
// that nothing was written gets another code than StoreUnknown.
func commitError(err error, connected bool) error {
	if !connected {
		return codes.Wrap(err, codes.StoreDown, "dynamo: commit was not sent")
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancelError(err, cancelled.CancellationReasons)
	}
	var running *types.TransactionInProgressException
	if errors.As(err, &running) {
		return codes.Wrap(err, codes.StoreUnknown, "dynamo: commit is still running")
	}
	var api smithy.APIError
	if errors.As(err, &api) && throttling[api.ErrorCode()] {
		return codes.Wrap(err, codes.StoreLimit, "dynamo: commit was throttled")
	}
	if status := cloud.Status(err); status >= http.StatusBadRequest && status < http.StatusInternalServerError && api != nil {
		return codes.Wrap(err, codes.StoreDown, "dynamo: commit was refused")
	}
	return codes.Wrap(err, codes.StoreUnknown, "dynamo: outcome of the commit is unknown")
}

// cancelError classifies a transaction that the service cancelled, which
// means that nothing was written. A condition that did not hold goes before
// other reasons, because a repeat would meet it again.
func cancelError(err error, reasons []types.CancellationReason) error {
	limited := false
	for _, r := range reasons {
		code := ""
		if r.Code != nil {
			code = *r.Code
		}
		if code == "ConditionalCheckFailed" {
			return codes.Wrap(err, codes.StoreConflict, "dynamo: a condition did not hold")
		}
		limited = limited || throttling[code]
	}
	if limited {
		return codes.Wrap(err, codes.StoreLimit, "dynamo: commit was throttled")
	}
	return codes.Wrap(err, codes.StoreDown, "dynamo: commit was refused")
}
