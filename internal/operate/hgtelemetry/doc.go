// Package hgtelemetry collects the counters, gauges and latencies of an entry VM, logs them periodically and writes them as text.
package hgtelemetry
