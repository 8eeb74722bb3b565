// Package hgtimer provides the monotonic clock and the timers for periodic and delayed work.
package hgtimer
