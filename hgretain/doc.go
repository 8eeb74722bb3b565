// Package hgretain decides what becomes of a program's prompt prefix in an engine's memory between its calls.
package hgretain
