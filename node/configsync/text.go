package configsync

import (
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/textdelta"
)

// errText says that a text or a delta does not have the hash it should have.
var errText = textdelta.ErrMismatch

// textName names the text in errors.
const textName = "configuration"

// takeText takes over a whole text, if it is newer.
func (v *View) takeText(c *wire.ConfigText) error {
	if c == nil || c.Version <= v.Version {
		return nil
	}
	if xxhash.Sum64String(c.Text) != c.Hash {
		return errors.Annotatef(errText, "version %d", c.Version)
	}
	parsed, err := v.Config.ParseIncremental(textName, c.Text)
	if err != nil {
		return errors.Annotatef(err, "version %d", c.Version)
	}
	v.Config, v.Version, v.Text, v.Hash, v.ends = parsed, c.Version, c.Text, c.Hash, textdelta.SectionEnds(c.Text)
	return nil
}

// takeDelta applies a difference to the text held.
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
	config, err := v.Config.ParseIncremental(textName, text)
	if err != nil {
		return errors.Annotatef(err, "version %d", d.Version)
	}
	v.Config, v.Version, v.Text, v.Hash, v.ends = config, d.Version, text, d.Hash, ends
	return nil
}
