// Package hgmetric counts what a node does and serves the figures in the Prometheus text format.
package hgmetric
