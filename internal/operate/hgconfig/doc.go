// Package hgconfig reads and checks the settings of a node.
package hgconfig
