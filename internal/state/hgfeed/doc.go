// Package hgfeed keeps local copies of store tables up to date, from the store's change feed or, while the store is
// unreachable, from copies that peers hold.
package hgfeed
