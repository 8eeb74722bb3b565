// Package hgbound checks that values of settings are within their ranges.
package hgbound
