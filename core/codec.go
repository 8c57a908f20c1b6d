package core

// ConfigCodec turns configuration into bytes and back. The configuration log
// keeps entries in table rows and sheets in objects.
type ConfigCodec interface {
	EncodeEntry(LogEntry) ([]byte, error)
	DecodeEntry([]byte) (LogEntry, error)
	EncodeSheet(Sheet) ([]byte, error)
	DecodeSheet([]byte) (Sheet, error)
}
