package configsync

import (
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/textdelta"
)

// errTextMismatch says that a text or delta does not match its hash.
var errTextMismatch = textdelta.ErrMismatch

// textName is the name of the text in error messages.
const textName = "configuration"

// applyText replaces the text by a complete one, if that is newer.
func (v *View) applyText(c *wire.ConfigText) error {
	if c == nil || c.Version <= v.Version {
		return nil
	}
	if xxhash.Sum64String(c.Text) != c.Hash {
		return errors.Annotatef(errTextMismatch, "version %d", c.Version)
	}
	parsed, err := v.Config.ParseIncremental(textName, c.Text)
	if err != nil {
		return errors.Annotatef(err, "version %d", c.Version)
	}
	v.Config, v.Version, v.Text, v.Hash, v.ends = parsed, c.Version, c.Text, c.Hash, textdelta.SectionEnds(c.Text)
	return nil
}

// applyDelta applies a delta to the current text.
func (v *View) applyDelta(d *wire.ConfigDelta) error {
	if d == nil || d.Version <= v.Version {
		return nil
	}
	if d.Base != v.Version {
		return errors.Annotatef(errTextMismatch, "a delta from version %d on top of %d", d.Base, v.Version)
	}
	text, ends, err := textdelta.Apply(v.Text, v.ends, d)
	if err != nil {
		return errors.Annotatef(err, "version %d", d.Version)
	}
	config, err := v.Config.ParseIncremental(textName, text)
	if err != nil {
		return errors.Annotatef(err, "version %d", d.Version)
	}
	v.Config, v.Version, v.Text, v.Hash, v.ends = config, d.Version, text, d.Hash, ends
	return nil
}
