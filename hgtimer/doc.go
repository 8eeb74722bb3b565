// Package hgtimer provides the timer service that all periodic and delayed work subscribes to.
package hgtimer
