package core

// Codec encodes and decodes configuration. The configuration log stores
// entries in rows of the Table and sheets in Objects.
type Codec interface {
	EncodeEntry(Entry) ([]byte, error)
	DecodeEntry([]byte) (Entry, error)
	EncodeSheet(Sheet) ([]byte, error)
	DecodeSheet([]byte) (Sheet, error)
}
