package core

// Codec turns configuration into bytes and back. The configuration log
// keeps entries in table rows and sheets in objects.
type Codec interface {
	EncodeEntry(Entry) ([]byte, error)
	DecodeEntry([]byte) (Entry, error)
	EncodeSheet(Sheet) ([]byte, error)
	DecodeSheet([]byte) (Sheet, error)
}
