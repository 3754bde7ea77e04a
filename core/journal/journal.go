// Package journal frames records for a file that only grows, and tells a torn
// tail, which a crash may leave, from damage in the middle, which must never
// be passed over. It works on bytes; package io/disk holds the files.
//
// A frame is a header of twelve bytes, little endian, and the payload:
//
//	0  length of the payload
//	4  CRC-32C of the four bytes before
//	8  CRC-32C of the payload
//
// One frame is written for each sync, so only the last frame of a file can be
// torn.
package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

const headerBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append adds payload's frame to dst.
func Append(dst, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(header[:4], castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	dst = append(dst, header[:]...)
	return append(dst, payload...)
}

// Corrupt reports damage before the journal's end. The file must not be used;
// cutting it there would lose records that were acknowledged.
type Corrupt struct {
	Offset int64 // of the damaged frame
	Valid  int64 // offset of a whole frame behind it
}

func (c *Corrupt) Error() string {
	return fmt.Sprintf("corrupt record at offset %d, with a valid one behind it at %d", c.Offset, c.Valid)
}

// Scan returns the payloads of all whole frames and the offset behind the last
// of them; what follows it is a torn tail and may be cut. Damage that is
// followed by a whole frame is an error of type *Corrupt.
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
	for later := offset + 1; later < len(data); later++ {
		if payload, ok := frameAt(data, later); ok && len(payload) > 0 {
			return nil, 0, &Corrupt{Offset: int64(offset), Valid: int64(later)}
		}
	}
	return payloads, int64(offset), nil
}

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
