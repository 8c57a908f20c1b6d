// Package share divides resources with a fleet-wide limit between failure
// domains and hosts.
//
// A rate resource has one row in the table that holds the amount of each
// domain. The acting seat holder of a domain (Keeper) lends the domain's
// amount to hosts as expiring loans; each host (Holder) asks for them. The
// sum of the amounts of a row is at most the limit, and the sum of the
// unexpired loans of a domain is at most its amount. A slot resource belongs
// whole to the domain of its server and has no row.
package share
