package calllog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A file begins with a head: eight letters, the format's version, the number of
// its first entry and a checksum of these. Then come frames: the length of an
// entry, a checksum over its number, its length and its bytes, and the bytes. As
// numbers are in the checksum, a frame that stands in a wrong place is no good one.

const (
	version   = 1
	headSize  = 8 + 4 + 8 + 4
	frameSize = 4 + 4
	// mostEntry bounds one entry; a length beyond it is none.
	mostEntry = 16 << 20
)

var (
	letters = []byte("DAHLIALG")
	table   = crc32.MakeTable(crc32.Castagnoli)
)

// ErrCorrupt says that entries that were durable can't be read any more.
var ErrCorrupt = errors.New("the log is damaged")

// ErrUnsupportedVersion says that a file is of a later format.
var ErrUnsupportedVersion = errors.New("written by a later version")

func appendHead(b []byte, first uint64) []byte {
	from := len(b)
	b = append(b, letters...)
	b = binary.LittleEndian.AppendUint32(b, version)
	b = binary.LittleEndian.AppendUint64(b, first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[from:], table))
}

func readHead(b []byte) (first uint64, err error) {
	switch {
	case len(b) < headSize || string(b[:8]) != string(letters),
		binary.LittleEndian.Uint32(b[20:]) != crc32.Checksum(b[:20], table):
		return 0, fmt.Errorf("no head: %w", ErrCorrupt)
	case binary.LittleEndian.Uint32(b[8:]) != version:
		return 0, fmt.Errorf("format %d: %w", binary.LittleEndian.Uint32(b[8:]), ErrUnsupportedVersion)
	}
	return binary.LittleEndian.Uint64(b[12:]), nil
}

func checksum(number uint64, entry []byte) uint32 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], number)
	binary.LittleEndian.PutUint32(b[8:], uint32(len(entry)))
	return crc32.Update(crc32.Checksum(b[:], table), table, entry)
}

func appendFrame(b []byte, number uint64, entry []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(entry)))
	b = binary.LittleEndian.AppendUint32(b, checksum(number, entry))
	return append(b, entry...)
}

// readFrame returns the entry at the front, false if there is no good one.
func readFrame(b []byte, number uint64) ([]byte, bool) {
	if len(b) < frameSize {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n > mostEntry || int(n) > len(b)-frameSize {
		return nil, false
	}
	entry := b[frameSize : frameSize+int(n)]
	return entry, binary.LittleEndian.Uint32(b[4:]) == checksum(number, entry)
}

// ahead is how many entries a bad place is looked past: what was written in one
// go after it would show there.
const ahead = 64

// frames hands out a file's entries behind its head, and returns the bytes that
// are good and the number that comes next. What follows them is a torn tail, or,
// with a good entry in it, damage in the middle, of which err tells.
func frames(b []byte, first uint64, each func(number uint64, entry []byte) error) (good int, next uint64, err error) {
	at, number := headSize, first
	for at < len(b) {
		entry, ok := readFrame(b[at:], number)
		if !ok {
			for skip := at + 1; skip <= len(b)-frameSize; skip++ {
				for k := range uint64(ahead) {
					if _, ok := readFrame(b[skip:], number+k); ok {
						return at, number, fmt.Errorf("entry %d, at byte %d: %w", number, at, ErrCorrupt)
					}
				}
			}
			return at, number, nil
		}
		if err := each(number, entry); err != nil {
			return at, number, fmt.Errorf("entry %d, at byte %d: %w", number, at, err)
		}
		at += frameSize + len(entry)
		number++
	}
	return at, number, nil
}
