// Package hgkey verifies the bearer keys that clients present over HTTP.
package hgkey
