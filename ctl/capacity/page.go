package capacity

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// Load reads the figures of earlier runs. Without a file it returns an empty
// measurement and the error.
func Load(path string) (*Measurement, error) {
	m := &Measurement{}
	data, err := os.ReadFile(path)
	if err != nil {
		return m, errors.Trace(err)
	}
	return m, errors.Trace(json.Unmarshal(data, m))
}

// Save writes the figures, so that tables can be made from them again.
func (m *Measurement) Save(path string) error {
	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(path, append(data, '\n'), 0o644))
}

// Marks of the part of the page that Write replaces.
const (
	pageName  = "CAPACITY.md"
	beginMark = "<!-- begin: make capacity -->\n"
	endMark   = "<!-- end: make capacity -->\n"
)

// Write puts tables and plots of the measurement into the page's folder.
func Write(docs string, m *Measurement) error {
	if len(m.Sizes) < 2 || len(m.Texts) < 2 {
		return errors.New("capacity: two sizes and two texts at least must be measured first, with -part sizes and -part texts")
	}
	path := filepath.Join(docs, pageName)
	page, err := os.ReadFile(path)
	if err != nil {
		return errors.Trace(err)
	}
	page, err = replaceBetween(page, []byte(Tables(m)))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, page, 0o644); err != nil {
		return errors.Trace(err)
	}
	return Plots(docs, m)
}

// replaceBetween replaces what stands between the marks.
func replaceBetween(page, tables []byte) ([]byte, error) {
	head, rest, ok := bytes.Cut(page, []byte(beginMark))
	_, tail, closed := bytes.Cut(rest, []byte(endMark))
	if !ok || !closed {
		return nil, errors.Errorf("capacity: %s lacks the marks of the measured part", pageName)
	}
	return bytes.Join([][]byte{head, []byte(beginMark), tables, []byte(endMark), tail}, nil), nil
}
