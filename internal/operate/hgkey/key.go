package hgkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// scheme is the authentication scheme of the Authorization header, with the space that separates it from the key.
const scheme = "Bearer "

// Key is the key that a port accepts; only its digest is held in memory.
type Key struct {
	digest [sha256.Size]byte
}

// NewKey returns the key for the given text.
func NewKey(text string) Key { return Key{digest: sha256.Sum256([]byte(text))} }

// Allows reports whether the Authorization header holds the key. It compares digests in constant time, so that response
// times reveal nothing about the key.
func (k Key) Allows(h http.Header) bool {
	got, ok := strings.CutPrefix(h.Get("Authorization"), scheme)
	digest := sha256.Sum256([]byte(got))
	return subtle.ConstantTimeCompare(digest[:], k.digest[:]) == 1 && ok
}

// Set sets the Authorization header to the key with the given text.
func Set(h http.Header, text string) { h.Set("Authorization", scheme+text) }

// String returns a fixed text, so that neither key nor digest is logged.
func (k Key) String() string { return "key" }
