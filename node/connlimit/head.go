package connlimit

import "bytes"

var newline = []byte("\n")

// head follows the bytes of a request's head up to its end, without parsing it.
type head struct {
	bytes      int64
	lines      int64
	emptyLines int // before the first line
	line       int // bytes of the current line, without a CR at its end
	ended      bool
}

// feed takes bytes and returns how many of them belong to the head.
func (h *head) feed(p []byte) (used int) {
	for !h.ended && used < len(p) {
		line, whole := p[used:], false
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line, whole = line[:end+1], true
		}
		used += len(line)
		h.add(line, whole)
	}
	return used
}

// add takes bytes of one line. Whole says that they end it.
func (h *head) add(p []byte, whole bool) {
	h.bytes += int64(len(p))
	h.line += len(bytes.TrimRight(p, "\r\n"))
	if !whole {
		return
	}
	switch {
	case h.line > 0:
		h.lines++
	case h.lines == 0:
		h.emptyLines++
	default:
		h.ended = true
	}
	h.line = 0
}

// cost is the memory that the head takes once it is parsed.
func (h *head) cost() int64 { return h.bytes + h.lines*fieldBytes }
