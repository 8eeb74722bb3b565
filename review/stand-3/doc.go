// Command stand-3 holds the stand-ins of the cases of the independent review that its second sitting added: a small deployment whose entry
// VMs run as processes of their own, with the platform's store, replicas and clients beside them.
package main
