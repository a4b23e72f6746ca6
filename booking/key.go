package booking

// Keys of operations: which process incarnation owns an operation, and how
// long it may be asked for.

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Period numbers the spans of time into which an incarnation divides its life.
type Period uint32

// Token names the incarnation that may start an operation, and the period in
// which the token was given out.
type Token struct {
	Entry       inventory.EntryID
	Incarnation inventory.Incarnation
	Period      Period
}

// Key identifies one operation of one caller: a token and the caller's own
// random part.
type Key struct {
	Token
	Random string
}

// Form of a key as text: entry.incarnation.period~random.
const (
	fieldMark   = "."
	randomMark  = "~"
	tokenFields = 3
	hexBase     = 16
	minRandom   = 8   // bytes
	maxRandom   = 128 // bytes
)

// String returns the form that callers see.
func (t Token) String() string {
	return strings.Join([]string{
		string(t.Entry),
		strconv.FormatUint(uint64(t.Incarnation), hexBase),
		strconv.FormatUint(uint64(t.Period), hexBase),
	}, fieldMark)
}

// String returns the form that callers see.
func (k Key) String() string { return k.Token.String() + randomMark + k.Random }

// ParseKey reads a key. It fails with KindMalformed. A key has one form only, so
// that targets, which see its text, see one text for one operation.
func ParseKey(s string) (Key, error) {
	head, random, ok := strings.Cut(s, randomMark)
	if !ok {
		return Key{}, malformed("a key is a token from a look-up, %q and a random part", randomMark)
	}
	if len(random) < minRandom || len(random) > maxRandom || !isToken(random) {
		return Key{}, malformed("the random part takes %d to %d letters, digits, '-' or '_'", minRandom, maxRandom)
	}
	token, err := parseToken(head)
	if err != nil {
		return Key{}, err
	}
	k := Key{Token: token, Random: random}
	if k.String() != s {
		return Key{}, malformed("the token is not as the look-up gave it")
	}
	return k, nil
}

func parseToken(s string) (Token, error) {
	fields := strings.Split(s, fieldMark)
	if len(fields) != tokenFields || fields[0] == "" {
		return Token{}, malformed("the token is not from a look-up")
	}
	incarnation, err := strconv.ParseUint(fields[1], hexBase, 64)
	if err != nil {
		return Token{}, malformed("the token is not from a look-up")
	}
	period, err := strconv.ParseUint(fields[2], hexBase, 32)
	if err != nil {
		return Token{}, malformed("the token is not from a look-up")
	}
	return Token{
		Entry:       inventory.EntryID(fields[0]),
		Incarnation: inventory.Incarnation(incarnation),
		Period:      Period(period),
	}, nil
}

func isToken(s string) bool {
	for _, r := range s {
		ok := r == '-' || r == '_' || (r >= '0' && r <= '9') || (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
		if !ok {
			return false
		}
	}
	return true
}

func malformed(format string, args ...any) error {
	return &Error{Op: "key", Kind: KindMalformed, Err: errors.Newf(format, args...)}
}
