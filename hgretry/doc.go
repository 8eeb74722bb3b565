// Package hgretry implements a retry budget: retries are limited to a share of recent calls, which prevents retry storms.
package hgretry
