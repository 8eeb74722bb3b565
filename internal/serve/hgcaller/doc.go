// Package hgcaller is the client library for callers and operators. It asks a node for the addresses to use for a program,
// caches them for the time that the node allows, and retries a call whose outcome it does not know under the same identifier.
package hgcaller
