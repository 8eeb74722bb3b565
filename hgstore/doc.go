// Package hgstore reaches the platform's table service, object store and VM list.
package hgstore
