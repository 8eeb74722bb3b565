// Package hgteam holds the teams of a desired state: whose API keys callers present, and what each team may use.
package hgteam
