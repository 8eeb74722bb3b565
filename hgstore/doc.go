// Package hgstore defines the interfaces of the platform's table service, object store and VM list, with an in-memory
// implementation that can inject faults.
package hgstore
