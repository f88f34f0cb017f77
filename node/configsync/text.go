package configsync

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/textdelta"
)

// errText says that a text or a delta does not have the hash it should have.
var errText = textdelta.ErrMismatch

// takeText takes over a whole text, if it is newer.
func (v *View) takeText(c *wire.ConfigText) error {
	if c == nil || c.Version <= v.Version {
		return nil
	}
	if xxhash.Sum64String(c.Text) != c.Hash {
		return errors.Annotatef(errText, "version %d", c.Version)
	}
	parsed, err := optext.Parse("configuration", []byte(c.Text))
	if err != nil {
		return errors.Annotatef(err, "version %d", c.Version)
	}
	v.Config, v.Version, v.Text, v.Hash, v.ends = parsed, c.Version, c.Text, c.Hash, textdelta.Ends(c.Text)
	return nil
}

// takeDelta applies a difference to the text held and parses only the sections
// that changed.
func (v *View) takeDelta(d *wire.ConfigDelta) error {
	if d == nil || d.Version <= v.Version {
		return nil
	}
	if d.Base != v.Version {
		return errors.Annotatef(errText, "a delta from version %d on top of %d", d.Base, v.Version)
	}
	text, ends, err := textdelta.Apply(v.Text, v.ends, d)
	if err != nil {
		return errors.Annotatef(err, "version %d", d.Version)
	}
	config, err := v.parseDelta(text, ends, d)
	if err != nil {
		return errors.Annotatef(err, "version %d", d.Version)
	}
	v.Config, v.Version, v.Text, v.Hash, v.ends = config, d.Version, text, d.Hash, ends
	return nil
}

const (
	customerPrefix = "[customer:"
	multiLine      = "\"`" // quotes that can carry a value over the start of a section
)

// parseDelta returns the configuration of text. Customers stand alone, so only
// the changed ones are parsed; all other sections are parsed together when one
// of them changed.
func (v *View) parseDelta(text string, ends []int, d *wire.ConfigDelta) (*optext.Config, error) {
	if v.Version == 0 || strings.ContainsAny(text, multiLine) {
		return optext.Parse("configuration", []byte(text))
	}
	c, ok := v.changes(d)
	if !ok {
		return optext.Parse("configuration", []byte(text))
	}
	base := v.Config
	others, customers := otherSections(text, ends)
	if c.others {
		parsed, err := optext.Parse("configuration", []byte(others))
		if err != nil {
			return nil, err
		}
		parsed.Customers = base.Customers
		base = parsed
	}
	added, err := optext.Parse("configuration", []byte(c.customers))
	if err != nil {
		return nil, err
	}
	config := base.WithCustomers(c.removed, added.Customers)
	if len(config.Customers) != customers { // a customer is written in a way that is not known here
		return optext.Parse("configuration", []byte(text))
	}
	return config, nil
}

// change sums up what a delta changes.
type change struct {
	removed   []string // customers
	customers string   // text of new and changed customers
	others    bool     // a section that is not a customer's changed or moved
}

// changes reports ok only when the base's sections are used once each at most
// and in their order.
func (v *View) changes(d *wire.ConfigDelta) (c change, ok bool) {
	var added strings.Builder
	next := 0 // first base section that is not accounted for
	for _, p := range d.Pieces {
		switch {
		case p.Count == 0 && isCustomer(p.Text):
			added.WriteString(p.Text)
		case p.Count == 0:
			c.others = true
		case p.From < next:
			return c, false
		default:
			v.drop(&c, next, p.From)
			next = p.From + p.Count
		}
	}
	v.drop(&c, next, len(v.ends))
	c.customers = added.String()
	return c, true
}

// drop notes that the sections from first to end are gone.
func (v *View) drop(c *change, first, end int) {
	start := 0
	if first > 0 {
		start = v.ends[first-1]
	}
	for _, stop := range v.ends[first:end] {
		section := v.Text[start:stop]
		start = stop
		if isCustomer(section) {
			c.removed = append(c.removed, customerName(section))
		} else {
			c.others = true
		}
	}
}

func isCustomer(section string) bool {
	return strings.HasPrefix(strings.TrimLeft(section, " \t"), customerPrefix)
}

func customerName(section string) string {
	_, rest, _ := strings.Cut(section, customerPrefix)
	name, _, _ := strings.Cut(rest, "]")
	return strings.TrimSpace(name)
}

// otherSections returns the text of all sections that are not a customer's, and
// the number of those that are.
func otherSections(text string, ends []int) (string, int) {
	var b strings.Builder
	start, customers := 0, 0
	for _, end := range ends {
		if isCustomer(text[start:end]) {
			customers++
		} else {
			b.WriteString(text[start:end])
		}
		start = end
	}
	return b.String(), customers
}
