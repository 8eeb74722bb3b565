// Package hgendpoint is the client for endpoints: model engines with the chat-completions protocol, and tool services.
package hgendpoint
