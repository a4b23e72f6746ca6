package booking

import (
	"errors"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// isKind reports whether err is an Error of a kind.
func isKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

func TestParseKey(t *testing.T) {
	const random = "0123abcd"
	good := Token{Entry: "mx-1", Incarnation: 0xab, Period: 0x1f}
	for name, c := range map[string]struct {
		text string
		want Key // zero: malformed
	}{
		"usual":                 {"mx-1.ab.1f~" + random, Key{good, random}},
		"longest random part":   {"mx-1.ab.1f~" + strings.Repeat("x", maxRandom), Key{good, strings.Repeat("x", maxRandom)}},
		"empty":                 {"", Key{}},
		"no mark":               {"mx-1.ab.1f" + random, Key{}},
		"no entry":              {".ab.1f~" + random, Key{}},
		"no period":             {"mx-1.ab~" + random, Key{}},
		"field too many":        {"mx-1.ab.1f.2~" + random, Key{}},
		"random part too short": {"mx-1.ab.1f~0123abc", Key{}},
		"random part too long":  {"mx-1.ab.1f~" + strings.Repeat("x", maxRandom+1), Key{}},
		"mark in random part":   {"mx-1.ab.1f~0123~abcd", Key{}},
		"space in random part":  {"mx-1.ab.1f~0123 abcd", Key{}},
		"not hexadecimal":       {"mx-1.xy.1f~" + random, Key{}},
		"sign":                  {"mx-1.+ab.1f~" + random, Key{}},
		"incarnation too large": {"mx-1.1ffffffffffffffff.1f~" + random, Key{}},
		"period too large":      {"mx-1.ab.1ffffffff~" + random, Key{}},
		"upper case":            {"mx-1.AB.1f~" + random, Key{}},
		"leading zero":          {"mx-1.ab.01f~" + random, Key{}},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The key is read or refused as malformed", t, func() {
				got, err := ParseKey(c.text)
				convey.So(got, convey.ShouldResemble, c.want)
				convey.So(isKind(err, KindMalformed), convey.ShouldEqual, c.want == Key{})
			})
		})
	}
}

// FuzzParseKey: a key that is read has one form only, that of String.
func FuzzParseKey(f *testing.F) {
	for _, s := range []string{"mx-1.ab.1f~0123abcd", "mx-1.AB.1f~0123abcd", "a.0.0~--------", "~", "..~", "\x00.1.1~aaaaaaaa", "mx-1.ab.1f~0123abcd~"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			if !isKind(err, KindMalformed) || k != (Key{}) {
				t.Fatalf("%q: %v with %v", s, err, k)
			}
			return
		}
		if k.String() != s || len(k.Random) < minRandom || len(k.Random) > maxRandom {
			t.Fatalf("%q is read as %q", s, k)
		}
	})
}
