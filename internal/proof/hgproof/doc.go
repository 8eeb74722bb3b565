// Package hgproof tests the system's guarantees under faults. Its tests run nodes as processes of their own, or all in the test's
// process, inject faults, and check the callers' outcomes against the endpoints' records of what they executed.
package hgproof
