// Package hgreset stands in for servers whose answers are given byte for byte and that may reset a connection under a long upload, and for
// connections to them on which the upload, and not the answer, fails by the reset.
package hgreset
