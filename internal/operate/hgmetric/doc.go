// Package hgmetric collects the metrics of a node and serves them in the Prometheus text format.
package hgmetric
