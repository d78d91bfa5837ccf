package httpjson

import (
	"bytes"
	"encoding/json"
	"io"
)

// maxDepth is how deep the arrays and objects of an answer are read. Package encoding/json fails for a
// whole text if any value in it is nested deeper than 10,000.
const maxDepth = 512

// LimitDepth returns a JSON text in which the arrays and objects that are nested deeper than levels are
// replaced by the number 0, and whether there were any.
func LimitDepth(text json.RawMessage, levels int) (limited json.RawMessage, isCut bool) {
	l := depthLimit{levels: levels}
	if !l.exceeds(text) {
		return text, false
	}
	l = depthLimit{levels: levels}
	limited = bytes.Clone(text)
	return limited[:l.cut(limited)], true
}

// depthLimit tracks how deep a JSON text is nested. The text may come in parts.
type depthLimit struct {
	levels    int
	depth     int
	inString  bool
	isEscaped bool
}

// next processes a byte. It reports whether the byte belongs to a value that is nested too deep, and
// whether it begins one.
func (l *depthLimit) next(b byte) (isDeep, begins bool) {
	isDeep = l.depth > l.levels
	switch {
	case l.isEscaped:
		l.isEscaped = false
	case l.inString:
		l.isEscaped = b == '\\'
		l.inString = b != '"'
	case b == '"':
		l.inString = true
	case b == '{' || b == '[':
		l.depth++
		return l.depth > l.levels, l.depth == l.levels+1
	case b == '}' || b == ']':
		l.depth--
	}
	return isDeep, false
}

// cut replaces what is nested too deep and returns how many bytes are left at the beginning of text.
func (l *depthLimit) cut(text []byte) int {
	kept := 0
	for _, b := range text {
		isDeep, begins := l.next(b)
		switch {
		case begins:
			text[kept] = '0'
		case isDeep:
			continue
		default:
			text[kept] = b
		}
		kept++
	}
	return kept
}

// exceeds reports whether anything in the text is nested too deep.
func (l *depthLimit) exceeds(text []byte) bool {
	for _, b := range text {
		if _, begins := l.next(b); begins {
			return true
		}
	}
	return false
}

// depthReader reads a JSON text in which what is nested too deep is replaced; see LimitDepth.
type depthReader struct {
	from  io.Reader
	limit depthLimit
}

// Read implements io.Reader.
func (r *depthReader) Read(p []byte) (int, error) {
	for {
		n, err := r.from.Read(p)
		if kept := r.limit.cut(p[:n]); kept > 0 || n == 0 || err != nil {
			return kept, err
		}
	}
}
