// Package hgdesired holds the operators' desired state: the routes of requests, the services that run them
// and the limits on what callers may send.
package hgdesired
