// Package hgstandin provides stand-ins for the platform, the model engines and the tool services: fake servers that
// inject faults on demand and record the requests that they executed.
package hgstandin
