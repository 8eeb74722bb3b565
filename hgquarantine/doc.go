// Package hgquarantine detects requests that crash the endpoints that run them, and prevents copies of a request from
// running concurrently until the request has proven harmless.
package hgquarantine
