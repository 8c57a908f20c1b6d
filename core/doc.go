// Package core holds the interfaces and the plain data that the parts of
// azurering share.
//
// Implementations live in the packages below core (decisions, no I/O) and
// below io (one package per kind of peer). Types of this package carry no
// encoding tags; the codecs in io map them by hand.
package core
