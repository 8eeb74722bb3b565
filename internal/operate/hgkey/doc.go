// Package hgkey compares keys that callers of a port present.
package hgkey
