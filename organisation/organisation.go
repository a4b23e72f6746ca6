// Package organisation finds the organisation to which a caller's key belongs.
//
// A Table is built from the organisations of one configuration and is immutable. The
// store may accept configurations that contradict themselves, so New checks them: a
// key that two organisations hold identifies neither, and an organisation that can't
// be named is left out. Each such Problem is reported without the key.
//
// The table holds hashes of the keys, so that the time of a search tells nothing of
// them and no key appears in a dump of the table.
//
// # Usage
//
//	table, problems := organisation.New(configuration.Organisations)
//	for _, p := range problems {
//		log(p)
//	}
//	if o, ok := table.Find(key); table.IsRequired() && !ok { reject }
package organisation

import (
	"crypto/sha256"
	"strings"
	"unicode"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Kind classifies a Problem.
type Kind string

// The kinds of problem.
const (
	KindName      Kind = "name"      // its name is empty or can't be the value of a header; its keys are not accepted
	KindDuplicate Kind = "duplicate" // another one of this name comes before; the keys of this one are not accepted
	KindKey       Kind = "key"       // a key is empty or can't be sent in a header; it is not accepted
	KindAmbiguous Kind = "ambiguous" // another organisation holds one of its keys; that key is not accepted for either
)

// Problem is a contradiction in the declared organisations.
type Problem struct {
	Kind         Kind
	Organisation inventory.OrganisationID
	Index        int // in the list of organisations
}

// Table finds organisations by their keys.
type Table struct {
	declared int
	byKey    map[keyHash]*inventory.Organisation // nil: two organisations hold the key
}

type keyHash [sha256.Size]byte

func hashKey(key string) keyHash { return sha256.Sum256([]byte(key)) }

// New returns the table of the declared organisations, and what is wrong with them.
func New(declared []inventory.Organisation) (*Table, []Problem) {
	t := &Table{declared: len(declared), byKey: map[keyHash]*inventory.Organisation{}}
	names := map[inventory.OrganisationID]bool{}
	holders := map[keyHash]inventory.OrganisationID{}
	var problems []Problem
	for i, o := range declared {
		usable := true
		report := func(k Kind) { problems = append(problems, Problem{Kind: k, Organisation: o.ID, Index: i}) }
		switch {
		case !isValidName(o.ID):
			usable = false
			report(KindName)
		case names[o.ID]:
			usable = false
			report(KindDuplicate)
		}
		names[o.ID] = true
		found := withoutKeys(o)
		for _, key := range o.Keys {
			if !IsValidKey(key) {
				report(KindKey)
				continue
			}
			h := hashKey(key)
			holder, held := holders[h]
			switch {
			case held && holder != o.ID: // also if one of them is not usable
				t.byKey[h] = nil
				report(KindAmbiguous)
			case !held:
				holders[h] = o.ID
				if usable {
					t.byKey[h] = found
				}
			}
		}
	}
	return t, problems
}

// withoutKeys returns a copy that can be logged and kept with requests.
func withoutKeys(o inventory.Organisation) *inventory.Organisation {
	o.Keys = nil
	return &o
}

// IsRequired reports whether callers need a key on routes that are not open: organisations
// are declared, even if none of them can be used.
func (t *Table) IsRequired() bool { return t.declared > 0 }

// Find returns the organisation that holds a key. Its Keys are left out.
func (t *Table) Find(key string) (*inventory.Organisation, bool) {
	o := t.byKey[hashKey(key)]
	return o, o != nil
}

// IsAmbiguous reports whether two organisations hold a key.
func (t *Table) IsAmbiguous(key string) bool {
	o, held := t.byKey[hashKey(key)]
	return held && o == nil
}

// IsValidKey reports whether a key can be sent in a header.
func IsValidKey(key string) bool {
	return key != "" && strings.IndexFunc(key, func(r rune) bool { return unicode.IsControl(r) || unicode.IsSpace(r) }) < 0
}

// isValidName reports whether a name can be the value of a header, unchanged.
func isValidName(id inventory.OrganisationID) bool {
	name := string(id)
	return name != "" && strings.TrimSpace(name) == name && strings.IndexFunc(name, unicode.IsControl) < 0
}
