// Package wire encodes peer messages, entries of the configuration log and
// sheets as CBOR, and decodes them. Package peers uses it for frames between
// entry hosts; other packages use it through core.ConfigCodec for stored entries
// and sheets.
//
// All structures are CBOR arrays with a fixed number of elements, so a
// missing or an additional field is refused. Maps, tags, null and items of
// indefinite length are refused as well. Strings must be valid UTF-8.
//
// All functions are safe for concurrent use.
package wire
