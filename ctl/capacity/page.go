package capacity

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// Load reads the measurement of earlier runs. If the file can't be read it returns an empty measurement and
// the error.
func Load(path string) (*Measurement, error) {
	m := &Measurement{}
	data, err := os.ReadFile(path)
	if err != nil {
		return m, errors.Trace(err)
	}
	return m, errors.Trace(json.Unmarshal(data, m))
}

// Save writes the measurement, so that the tables can be regenerated.
func (m *Measurement) Save(path string) error {
	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(path, append(data, '\n'), 0o644))
}

// Markers around the part of the page that Write replaces.
const (
	pageName  = "CAPACITY.md"
	beginMark = "<!-- begin: make capacity -->\n"
	endMark   = "<!-- end: make capacity -->\n"
)

// Write updates the tables of the page and writes the plots into its directory.
func Write(docs string, m *Measurement) error {
	if len(m.Sizes) < 2 || len(m.Texts) < 2 {
		return errors.New("capacity: run with -part sizes and -part texts first: at least two measured sizes of each are needed")
	}
	path := filepath.Join(docs, pageName)
	page, err := os.ReadFile(path)
	if err != nil {
		return errors.Trace(err)
	}
	page, err = replaceMarkedPart(page, []byte(Tables(m)))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, page, 0o644); err != nil {
		return errors.Trace(err)
	}
	return Plots(docs, m)
}

// replaceMarkedPart replaces the part between the markers.
func replaceMarkedPart(page, tables []byte) ([]byte, error) {
	head, rest, ok := bytes.Cut(page, []byte(beginMark))
	_, tail, closed := bytes.Cut(rest, []byte(endMark))
	if !ok || !closed {
		return nil, errors.Errorf("capacity: %s lacks the markers of the measured part", pageName)
	}
	return bytes.Join([][]byte{head, []byte(beginMark), tables, []byte(endMark), tail}, nil), nil
}
