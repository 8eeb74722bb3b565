// Package hgstatus defines the status report of an entry VM, its retrieval over HTTP and its printed form.
package hgstatus
