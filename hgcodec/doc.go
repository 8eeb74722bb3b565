// Package hgcodec provides the codecs for stored values; JSON for rows that operators read, CBOR for bulk data.
package hgcodec
