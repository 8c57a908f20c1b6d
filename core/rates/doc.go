// Package rates admits requests against the loans that a host holds
// (core/share). Entry hosts use it for the rates of workspaces, the caps of
// shifts and the budgets of links. It has a token bucket for each rate
// resource, and a bounded queue, fair between workspaces, in which requests
// wait for tokens for a short time.
package rates
