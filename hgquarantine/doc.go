// Package hgquarantine finds requests that crash the endpoints that run them, and keeps copies of unproven requests
// from running at once.
package hgquarantine
