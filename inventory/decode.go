package inventory

// Strict decoding of TOML. The line of each key is recorded, so that an error found
// after decoding can be reported with its line.

import (
	"bytes"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps a key path, such as "endpoint.3.slots", to its 1-based line.
type Lines map[string]int

// Decode decodes TOML from data into out and rejects unknown keys. The file name
// is used only in the error. It fails with an *Error of KindSyntax or KindUnknown.
func Decode(file string, data []byte, out any) (Lines, error) {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return nil, decodeError(file, err)
	}
	return scanLines(data), nil
}

func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		key := strings.Join(first.Key(), ".")
		return &Error{Op: "decode", Kind: KindUnknown, File: file, Line: row, Key: key, Err: errors.New("unknown key")}
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, _ := bad.Position()
		key := strings.Join(bad.Key(), ".")
		return &Error{Op: "decode", Kind: KindSyntax, File: file, Line: row, Key: key, Err: errors.New(bad.Error())}
	}
	return &Error{Op: "decode", Kind: KindSyntax, File: file, Err: err}
}

// scanLines parses data again and records the line of each key. The data has been
// decoded before, so parsing can't fail.
func scanLines(data []byte) Lines {
	lines := Lines{}
	starts := lineStarts(data)
	counts := map[string]int{}
	prefix := ""
	p := unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		key := keyPath(e)
		switch e.Kind {
		case unstable.ArrayTable:
			prefix = key + "." + strconv.Itoa(counts[key])
			counts[key]++
			lines[prefix] = keyLine(starts, e)
		case unstable.Table:
			prefix = key
			lines[prefix] = keyLine(starts, e)
		case unstable.KeyValue:
			lines[join(prefix, key)] = keyLine(starts, e)
		}
	}
	return lines
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// keyPath returns the dotted key of an expression.
func keyPath(e *unstable.Node) string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

// lineStarts returns the offset of each line. The parser's own position lookup
// counts lines from the start of the data for each key, which is quadratic.
func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// keyLine returns the 1-based line of an expression's key.
func keyLine(starts []int, e *unstable.Node) int {
	it := e.Key()
	it.Next()
	offset := int(it.Node().Raw.Offset)
	return sort.SearchInts(starts, offset+1)
}
