// Package hgcaller is the client library for callers: it asks which address to use, keeps the answer for its time,
// and asks again under the same identifier when it can't tell what became of a call.
package hgcaller
