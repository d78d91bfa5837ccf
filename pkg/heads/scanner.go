package heads

import "bytes"

const (
	// byteSize is what a byte of a head takes of memory: it is held as it was read, parsed, and as
	// it is sent to a backend server.
	byteSize = 4
	// lineSize is what a line takes besides: its entries in the tables of fields that are read
	// and sent.
	lineSize = 256
	// bufferSize is the size of net/http's buffer of a connection. A read into a larger one goes past
	// the buffer.
	bufferSize = 4 << 10
)

// Size returns what a whole head takes of memory, in bytes.
func Size(head []byte) int64 {
	return sizeOf(len(head), bytes.Count(head, []byte{'\n'}))
}

func sizeOf(length, lines int) int64 { return byteSize*int64(length) + lineSize*int64(lines) }

// Scanner computes what a connection's heads take of memory as they arrive. The zero Scanner is at
// the beginning of a head.
type Scanner struct {
	// length and lines are those of the head that has arrived.
	length, lines int
	// lineLength is the length of the line that has not ended, and isReturn is set if its last
	// byte is a carriage return.
	lineLength int
	isReturn   bool
	isEnded    bool
	// restLength and restLines are those of what the last read returned after the head.
	restLength, restLines int
}

// Scan processes the bytes that a read into a buffer of the given size has returned, and returns the
// size of the head, in bytes.
func (s *Scanner) Scan(data []byte, buffer int) int64 {
	for len(data) > 0 && !s.isEnded {
		data = s.scanLine(data)
	}
	s.restLength, s.restLines = 0, 0
	if s.isEnded && buffer <= bufferSize {
		s.restLength, s.restLines = len(data), bytes.Count(data, []byte{'\n'})
	}
	return s.Size()
}

// scanLine processes the data up to the end of the line, and returns what follows.
func (s *Scanner) scanLine(data []byte) (rest []byte) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		s.length += len(data)
		s.lineLength += len(data)
		s.isReturn = data[len(data)-1] == '\r'
		return nil
	}
	if i > 0 {
		s.isReturn = data[i-1] == '\r'
	}
	s.lineLength += i
	isEmpty := s.lineLength == 0 || s.lineLength == 1 && s.isReturn
	s.isEnded = isEmpty && s.lines > 0
	s.length += i + 1
	s.lines++
	s.lineLength, s.isReturn = 0, false
	return data[i+1:]
}

// Size returns the size of the head that has arrived, in bytes.
func (s *Scanner) Size() int64 { return sizeOf(s.length, s.lines) }

// EndHead records that the head has ended: its request is being served.
func (s *Scanner) EndHead() { s.isEnded = true }

// Next begins the next head. What was last read after the previous head may belong to it; where its
// last line ends is not known.
func (s *Scanner) Next() {
	*s = Scanner{length: s.restLength, lines: s.restLines, lineLength: s.restLength}
}
