package inventory

// Organisations: the checks of their rows, and their printable form.

import (
	"fmt"
	"strings"
	"unicode"
)

// maxRate is the largest limit of an organisation in requests a second, far beyond what any
// deployment serves.
const maxRate = 1e9

// String returns the id, so that the keys never appear in texts.
func (o Organisation) String() string { return string(o.ID) }

// organisations checks the organisations. No error shows a key.
func (c *checker) organisations() {
	holders := map[string]OrganisationID{}
	for i, o := range c.inv.Organisations {
		c.declare("organisation", i, string(o.ID))
		if len(o.Keys) == 0 {
			c.fail(KindEmpty, "organisation", i, "keys", "organisation %q has no key", o.ID)
		}
		for _, key := range o.Keys {
			if key == "" || strings.IndexFunc(key, func(r rune) bool { return unicode.IsControl(r) || unicode.IsSpace(r) }) >= 0 {
				c.fail(KindRange, "organisation", i, "keys", "a key is empty or contains a space or a control character")
			}
			if other, held := holders[key]; held {
				c.fail(KindDuplicate, "organisation", i, "keys", "organisation %q has one of the keys already", other)
			}
			holders[key] = o.ID
		}
		if p := o.Priority; p != nil && (*p < 0 || *p > maxPriority) {
			c.fail(KindRange, "organisation", i, "priority", "priority %d is not in 0..%d", *p, maxPriority)
		}
		for _, n := range []struct {
			key   string
			value float64
		}{{"rate", float64(o.Rate)}, {"burst", o.Burst}} {
			if !(n.value >= 0 && n.value <= maxRate) { // also not a number
				c.fail(KindRange, "organisation", i, n.key, "%s %g is not in 0..%g", n.key, n.value, maxRate)
			}
		}
		for _, home := range o.HomeRegions {
			c.reference("organisation", i, "homes", "region", string(home))
		}
	}
}

// describeKeys returns how many keys there are.
func describeKeys(keys []string) string { return fmt.Sprint(len(keys)) }

// describeKeyChange returns how many keys are added and removed.
func describeKeyChange(before, after []string) string {
	return fmt.Sprintf("%d added, %d removed", countMissing(after, before), countMissing(before, after))
}

// countMissing returns the number of keys that are not among others.
func countMissing(keys, others []string) int {
	known := map[string]bool{}
	for _, k := range others {
		known[k] = true
	}
	count := 0
	for _, k := range keys {
		if !known[k] {
			count++
		}
	}
	return count
}
