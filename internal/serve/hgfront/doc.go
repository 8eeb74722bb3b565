// Package hgfront serves callers and operators over HTTP; its OpenAPI page is at /docs.
package hgfront
