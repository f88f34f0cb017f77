package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// CBOR heads of a record's body: a map of one or two fields.
const (
	headOneField  = 0xa1
	headTwoFields = 0xa2
)

// tornUnlessFollowed judges a record that reaches to the end of the file or
// past it. Only the last record can be torn: when a whole record stands behind
// its start, its length is damaged and synced records would be lost by a cut.
func tornUnlessFollowed(data []byte) error {
	for i := 1; i+headerSize < len(data); i++ {
		if wholeRecord(data[i:]) {
			return ErrCorrupt
		}
	}
	return errTorn
}

// wholeRecord reports whether data begins with a record. It looks at the
// body's first byte before it computes a checksum, so that a scan stays cheap.
func wholeRecord(data []byte) bool {
	if head := data[headerSize]; head != headOneField && head != headTwoFields {
		return false
	}
	size := binary.LittleEndian.Uint32(data)
	if size == 0 || int64(size) > int64(len(data)-headerSize) {
		return false
	}
	return crc32.Checksum(data[headerSize:headerSize+int(size)], castagnoli) == binary.LittleEndian.Uint32(data[4:])
}
