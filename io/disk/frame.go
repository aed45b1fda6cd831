package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame consists of the magic number, the length of the payload, the CRC-32C of salt, length and payload, and the
// payload. The salt of each segment is random, so that no payload can contain bytes that look like an intact frame.
const (
	frameMagic       = 0x41474631 // "AGF1"
	frameHeaderBytes = 12
	// maxPayloadBytes bounds the payload, so that a damaged length field is detected early.
	maxPayloadBytes = 1 << 30
)

// A segment begins with a header, which is synced before the first frame is written.
const (
	segmentMagic       = "AGSEG1\r\n"
	segmentHeaderBytes = 28
)

//nolint:gochecknoglobals // The table is constant.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(salt uint64, payload []byte) uint32 {
	var prefix [12]byte

	binary.BigEndian.PutUint64(prefix[:], salt)
	binary.BigEndian.PutUint32(prefix[8:], uint32(len(payload)))

	return crc32.Update(crc32.Checksum(prefix[:], castagnoli), castagnoli, payload)
}

func encodeFrame(salt uint64, payload []byte) []byte {
	framed := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(framed, frameMagic)
	binary.BigEndian.PutUint32(framed[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(framed[8:], checksum(salt, payload))

	return append(framed, payload...)
}

// decodeFrame returns the payload and the size of the frame at the beginning of data, or false if the frame isn't
// intact.
func decodeFrame(salt uint64, data []byte) (payload []byte, size int, intact bool) {
	if len(data) < frameHeaderBytes || binary.BigEndian.Uint32(data) != frameMagic {
		return nil, 0, false
	}

	length := binary.BigEndian.Uint32(data[4:])
	if length > maxPayloadBytes || int(length) > len(data)-frameHeaderBytes {
		return nil, 0, false
	}

	payload = data[frameHeaderBytes : frameHeaderBytes+int(length)]
	if checksum(salt, payload) != binary.BigEndian.Uint32(data[8:]) {
		return nil, 0, false
	}

	return payload, frameHeaderBytes + int(length), true
}

// containsLaterFrame reports whether an intact frame begins anywhere after the first byte of data.
func containsLaterFrame(salt uint64, data []byte) bool {
	var magic [4]byte

	binary.BigEndian.PutUint32(magic[:], frameMagic)

	for len(data) > 1 {
		next := bytes.Index(data[1:], magic[:])
		if next < 0 {
			return false
		}

		data = data[1+next:]
		if _, _, intact := decodeFrame(salt, data); intact {
			return true
		}
	}

	return false
}

func encodeSegmentHeader(number, salt uint64) []byte {
	content := make([]byte, 0, segmentHeaderBytes)
	content = append(content, segmentMagic...)
	content = binary.BigEndian.AppendUint64(content, number)
	content = binary.BigEndian.AppendUint64(content, salt)

	return binary.BigEndian.AppendUint32(content, crc32.Checksum(content, castagnoli))
}

// parseSegmentHeader returns the salt in the header of a segment, and whether the header is intact.
func parseSegmentHeader(number uint64, data []byte) (salt uint64, intact bool) {
	if len(data) < segmentHeaderBytes {
		return 0, false
	}

	salt = binary.BigEndian.Uint64(data[16:])

	return salt, bytes.Equal(data[:segmentHeaderBytes], encodeSegmentHeader(number, salt))
}
