// Package hgexplain parses the JSON logs of all VMs and selects the lines about a request or a program.
package hgexplain
