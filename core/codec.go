package core

// ConfigCodec encodes and decodes configuration. The configuration log stores
// entries in rows of the Table and sheets in Objects.
type ConfigCodec interface {
	EncodeEntry(LogEntry) ([]byte, error)
	DecodeEntry([]byte) (LogEntry, error)
	EncodeSheet(Sheet) ([]byte, error)
	DecodeSheet([]byte) (Sheet, error)
}
