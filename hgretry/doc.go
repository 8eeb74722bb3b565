// Package hgretry bounds retries to a share of recent calls.
package hgretry
