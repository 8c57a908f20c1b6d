package core

// Statuses of HTTP answers. Only these open a final answer; an interim one (100 to 199)
// comes before it. Parsers of HTTP take any number of three digits.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether a status is that of a final answer.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }
