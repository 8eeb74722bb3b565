// Package hgbound checks that numeric settings are within their ranges.
package hgbound
