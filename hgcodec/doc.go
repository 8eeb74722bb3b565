// Package hgcodec provides the codecs of stored values: JSON for rows that operators read, CBOR for bulk data. Both decode
// strictly, so that damaged or foreign data is found when it is read.
package hgcodec
