package keys

import "crypto/sha256"

// IsKey reports whether a text is a key of the configuration, valid or
// withdrawn. It serves to keep keys out of what leaves the host.
func (k *Keys) IsKey(text string) bool {
	if text == "" || len(text) > maxKey {
		return false
	}
	hash := sha256.Sum256([]byte(text))
	return k.index.Load().find(&hash) != nil
}
