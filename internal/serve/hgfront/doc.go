// Package hgfront is the HTTP API of a node, for callers and for operators. Its OpenAPI page is at /docs.
package hgfront
