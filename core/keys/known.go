package keys

import "crypto/sha256"

// IsKey reports whether text is the bearer key of a key in the configuration,
// valid or withdrawn. It is used to keep keys out of data that leaves the
// host.
func (k *Keys) IsKey(text string) bool {
	if text == "" || len(text) > maxKeyBytes {
		return false
	}
	hash := sha256.Sum256([]byte(text))
	return k.index.Load().find(&hash) != nil
}
