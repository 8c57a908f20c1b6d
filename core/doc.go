// Package core defines the interfaces and data types that the other packages
// of azurering share.
//
// The packages below core implement the decision logic without I/O; those
// below io talk to callers, servers, stores and other hosts. The types of
// this package have no encoding tags: the packages that encode them map each
// field explicitly.
package core
