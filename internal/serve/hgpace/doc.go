// Package hgpace decides from the answers of replicas which of them are suspected of hanging. It addresses replicas that accept
// requests and leave them unanswered while their health checks succeed. All times are readings of one hgtimer.Timer.
package hgpace
