// Package hgretain decides whether an engine keeps a program's prompt prefix in its memory between the program's calls.
package hgretain
