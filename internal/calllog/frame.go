package calllog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A file begins with a header: eight magic bytes, the format version, the number of its
// first entry and a checksum over these. Frames follow: the length of an entry, a
// checksum over its number, its length and its bytes, and the bytes. Because the
// number is part of the checksum, a frame in the wrong place is detected as invalid.

const (
	formatVersion   = 1
	headerSize      = 8 + 4 + 8 + 4 // bytes
	frameHeaderSize = 4 + 4         // bytes
	// maxEntrySize is the largest valid length of an entry in bytes.
	maxEntrySize = 16 << 20
)

var (
	magic    = []byte("DAHLIALG")
	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// ErrCorrupt is returned when entries that were durable can't be read any more.
var ErrCorrupt = errors.New("the call log is corrupt")

// ErrUnsupportedVersion is returned when a file has a format version that this program does not support.
var ErrUnsupportedVersion = errors.New("format version not supported")

// appendHeader appends the header of a file whose first entry has the number first.
func appendHeader(b []byte, first uint64) []byte {
	start := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint64(b, first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], crcTable))
}

// readHeader returns the number of the first entry from the header of a file.
func readHeader(b []byte) (first uint64, err error) {
	switch {
	case len(b) < headerSize || string(b[:8]) != string(magic),
		binary.LittleEndian.Uint32(b[20:]) != crc32.Checksum(b[:20], crcTable):
		return 0, fmt.Errorf("invalid file header: %w", ErrCorrupt)
	case binary.LittleEndian.Uint32(b[8:]) != formatVersion:
		return 0, fmt.Errorf("format version %d: %w", binary.LittleEndian.Uint32(b[8:]), ErrUnsupportedVersion)
	}
	return binary.LittleEndian.Uint64(b[12:]), nil
}

// frameChecksum returns the checksum over the number, length and bytes of an entry.
func frameChecksum(number uint64, entry []byte) uint32 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], number)
	binary.LittleEndian.PutUint32(b[8:], uint32(len(entry)))
	return crc32.Update(crc32.Checksum(b[:], crcTable), crcTable, entry)
}

// appendFrame appends the frame of an entry.
func appendFrame(b []byte, number uint64, entry []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(entry)))
	b = binary.LittleEndian.AppendUint32(b, frameChecksum(number, entry))
	return append(b, entry...)
}

// readFrame returns the entry of the frame at the start of b, and false if there is no valid frame.
func readFrame(b []byte, number uint64) ([]byte, bool) {
	if len(b) < frameHeaderSize {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(b)
	if length > maxEntrySize || int(length) > len(b)-frameHeaderSize {
		return nil, false
	}
	entry := b[frameHeaderSize : frameHeaderSize+int(length)]
	return entry, binary.LittleEndian.Uint32(b[4:]) == frameChecksum(number, entry)
}

// resyncEntries is the number of entry numbers that are tried behind an invalid
// frame, to find a valid frame of the same write after it.
const resyncEntries = 64

// readFrames calls each for the entries that follow the header of a file. It
// returns the number of valid bytes and the number of the next entry. An invalid
// rest is an incomplete last write; if it contains a valid entry, it is corruption
// in the middle of the file, which is returned as an error.
func readFrames(b []byte, first uint64, each func(number uint64, entry []byte) error) (validBytes int, nextEntry uint64, err error) {
	offset, number := headerSize, first
	for offset < len(b) {
		entry, ok := readFrame(b[offset:], number)
		if !ok {
			for skip := offset + 1; skip <= len(b)-frameHeaderSize; skip++ {
				for distance := range uint64(resyncEntries) {
					if _, ok := readFrame(b[skip:], number+distance); ok {
						return offset, number, fmt.Errorf("entry %d, at byte %d: %w", number, offset, ErrCorrupt)
					}
				}
			}
			return offset, number, nil
		}
		if err := each(number, entry); err != nil {
			return offset, number, fmt.Errorf("entry %d, at byte %d: %w", number, offset, err)
		}
		offset += frameHeaderSize + len(entry)
		number++
	}
	return offset, number, nil
}
