// Package hgquarantine finds requests that crash the endpoints that run them.
package hgquarantine
