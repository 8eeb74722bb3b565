package hgkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// scheme precedes a key in the Authorization header.
const scheme = "Bearer "

// Key is a key that is known by its digest.
type Key struct {
	digest [sha256.Size]byte
}

// NewKey returns the key with the given text.
func NewKey(text string) Key { return Key{digest: sha256.Sum256([]byte(text))} }

// Allows tells whether an Authorization header holds the key; it compares digests in constant time.
func (k Key) Allows(h http.Header) bool {
	got, ok := strings.CutPrefix(h.Get("Authorization"), scheme)
	digest := sha256.Sum256([]byte(got))
	return subtle.ConstantTimeCompare(digest[:], k.digest[:]) == 1 && ok
}

// Set puts a key's text into a header.
func Set(h http.Header, text string) { h.Set("Authorization", scheme+text) }

// String hides the key.
func (k Key) String() string { return "key" }
