// Package hgstandin provides fake servers for the platform, the model engines and the tool services. They inject
// faults on demand and record the requests that they executed.
package hgstandin
