// Package wire maps the peer messages, the entries of the configuration log
// and the sheet to CBOR and back.
//
// All structures are CBOR arrays with a fixed number of elements, so a
// missing or an additional field is refused. Maps, tags, null, floating
// point numbers and items of indefinite length do not occur and are refused
// as well. Strings must be valid UTF-8.
//
// All functions are safe for concurrent use.
package wire
