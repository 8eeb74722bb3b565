// Command stand-2 runs the scripted cases 6 to 10 of the second review. It starts entry VMs as processes and stands in for the
// platform, the replicas and the consumers, all on loopback.
package main
