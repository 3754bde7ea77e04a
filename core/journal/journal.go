// Package journal encodes and decodes the frames of an append-only file. It
// distinguishes a torn tail, which a crash may leave and which may be
// truncated, from damage before the end, which is reported as an error. It
// works on byte slices; package io/disk does the file I/O.
//
// A frame is a 12-byte little-endian header followed by the payload. The header
// holds, at these byte offsets:
//
//	0  length of the payload
//	4  CRC-32C of bytes 0 to 3
//	8  CRC-32C of the payload
//
// Callers sync each frame before they write the next one, so only the last frame
// of a file can be torn.
package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

const headerBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends the frame of payload to dst and returns the extended slice.
func Append(dst, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(header[:4], castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	dst = append(dst, header[:]...)
	return append(dst, payload...)
}

// CorruptError is the error, returned as *CorruptError, for a damaged frame that
// is followed by a valid one. The file must not be used: truncating it at the
// damage would lose acknowledged records.
type CorruptError struct {
	Offset    int64 // byte offset of the damaged frame
	NextValid int64 // byte offset of a later valid frame
}

func (c *CorruptError) Error() string {
	return fmt.Sprintf("corrupt record at offset %d, followed by a valid one at offset %d", c.Offset, c.NextValid)
}

// Scan returns the payloads of all complete frames and the offset of the first
// byte after them. Bytes from that offset on are a torn tail and may be
// truncated. If a damaged frame is followed by a valid one, Scan returns a
// *CorruptError with both offsets. The payloads alias data.
func Scan(data []byte) (payloads [][]byte, end int64, err error) {
	offset := 0
	for offset < len(data) {
		payload, ok := frameAt(data, offset)
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		offset += headerBytes + len(payload)
	}
	// A torn tail is the end of the file. A valid frame anywhere after the first
	// invalid byte therefore means damage.
	for later := offset + 1; later < len(data); later++ {
		if payload, ok := frameAt(data, later); ok && len(payload) > 0 {
			return nil, 0, &CorruptError{Offset: int64(offset), NextValid: int64(later)}
		}
	}
	return payloads, int64(offset), nil
}

// frameAt returns the payload of the frame that starts at offset. It reports
// false if the frame is incomplete or a checksum does not match.
func frameAt(data []byte, offset int) ([]byte, bool) {
	rest := data[offset:]
	if len(rest) < headerBytes {
		return nil, false
	}
	if crc32.Checksum(rest[:4], castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, false
	}
	length := int(binary.LittleEndian.Uint32(rest))
	if length > len(rest)-headerBytes {
		return nil, false
	}
	payload := rest[headerBytes : headerBytes+length]
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(rest[8:])
}
