// Package rates admits requests against the loans that a host holds: token
// buckets for rates, and a short queue that is fair between workspaces.
package rates
