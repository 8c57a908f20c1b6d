package caller

import (
	"net/http"

	"azurering/core/codes"
)

// httpStatuses maps result codes to HTTP statuses. A code that is not listed
// is an internal failure and becomes status 500.
var httpStatuses = map[codes.Code]int{
	codes.RequestBad:      http.StatusBadRequest,
	codes.RequestTooLarge: http.StatusRequestEntityTooLarge,
	codes.RequestSlow:     http.StatusRequestTimeout,
	codes.RequestDeadline: http.StatusGatewayTimeout,
	codes.RouteUnknown:    http.StatusNotFound,
	codes.ServiceAbsent:   http.StatusNotFound,
	codes.KeyMissing:      http.StatusUnauthorized,
	codes.KeyUnknown:      http.StatusUnauthorized,
	codes.KeyWithdrawn:    http.StatusUnauthorized,
	codes.KeyUnproven:     http.StatusServiceUnavailable,
	codes.RateExceeded:    http.StatusTooManyRequests,
	codes.ShiftCapped:     http.StatusTooManyRequests,
	codes.QueueFull:       http.StatusServiceUnavailable,
	codes.LoadShed:        http.StatusServiceUnavailable,
	codes.LinkFull:        http.StatusServiceUnavailable,
	codes.OrderKeyMissing: http.StatusBadRequest,
	codes.OrderRunning:    http.StatusConflict,
	codes.OrderUnknown:    http.StatusConflict,
	codes.OrderMismatch:   http.StatusUnprocessableEntity,
	codes.OrderExpired:    http.StatusGone,
	codes.OrderNotRun:     http.StatusServiceUnavailable,
	codes.NoServer:        http.StatusServiceUnavailable,
	codes.NoCapacity:      http.StatusServiceUnavailable,
	codes.ServerFailed:    http.StatusBadGateway,
	codes.ServerCut:       http.StatusBadGateway,
	codes.HostLeaving:     http.StatusServiceUnavailable,
	codes.NoConfig:        http.StatusServiceUnavailable,
}

func httpStatus(code codes.Code) int {
	if s, ok := httpStatuses[code]; ok {
		return s
	}
	return http.StatusInternalServerError
}
