// Package share distributes resources with a fleet-wide limit over failure
// domains and hosts. Entry hosts use it to hold the loans that core/rates and
// the slot reservations admit requests against.
//
// The seat of a domain is a leader lease: the host that acts in it, the seat
// holder, decides for the domain.
//
// A rate resource has one row in the table, which stores the amount of each
// domain. The seat holder of a domain runs a Lender, which lends the amount of
// the domain to hosts as expiring loans. Each host runs a Borrower, which
// requests and renews the loans. The amounts of a row sum to at most the
// limit, and the unexpired loans of a domain sum to at most its amount. While
// a lowered limit takes effect, the amounts may exceed it and only shrink. A
// slot resource belongs to the domain of its server alone and has no row.
package share
