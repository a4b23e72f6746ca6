package member

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const (
	listLag    = 30 * time.Second
	listVM     = "10.0.0.1"
	otherVM    = "10.0.0.2"
	silentFrom = 5 * time.Second
)

// reading is one answer of the platform, so long after the start.
type reading struct {
	at   time.Duration
	rows []VM
}

func TestAbsenceFromTheListIsEvidenceOnlyAfterTheLag(t *testing.T) {
	named := []VM{{Address: listVM}, {Address: otherVM}}
	absent := []VM{{Address: otherVM}}
	for name, row := range map[string]struct {
		readings []reading
		heard    time.Duration // last message
		gone     bool
	}{
		"absent for longer than the lag":  {[]reading{{0, named}, {10 * time.Second, absent}, {41 * time.Second, absent}}, silentFrom, true},
		"absent for the lag only":         {[]reading{{0, named}, {10 * time.Second, absent}, {40 * time.Second, absent}}, silentFrom, false},
		"never listed":                    {[]reading{{0, absent}, {10 * time.Second, absent}, {90 * time.Second, absent}}, silentFrom, false},
		"listed late":                     {[]reading{{0, absent}, {40 * time.Second, named}}, silentFrom, false},
		"named again in between":          {[]reading{{0, named}, {10 * time.Second, absent}, {30 * time.Second, named}, {50 * time.Second, absent}, {70 * time.Second, absent}}, silentFrom, false},
		"heard of while absent":           {[]reading{{0, named}, {10 * time.Second, absent}, {41 * time.Second, absent}}, 20 * time.Second, false},
		"heard of while absent, long ago": {[]reading{{0, named}, {10 * time.Second, absent}, {51 * time.Second, absent}}, 20 * time.Second, true},
		"no reading since":                {[]reading{{0, named}, {10 * time.Second, absent}}, silentFrom, false},
		"the list is empty":               {[]reading{{0, named}, {10 * time.Second, nil}, {90 * time.Second, nil}}, silentFrom, false},
		"an answer overtaken by another":  {[]reading{{0, named}, {90 * time.Second, named}, {10 * time.Second, absent}}, silentFrom, false},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The silent VM is gone or not", t, func() {
				start := time.Now()
				l := NewList(listLag)
				for _, x := range row.readings {
					l.Read(start.Add(x.at), x.rows)
				}
				since, gone := l.Gone(listVM, start.Add(row.heard))
				convey.So(gone, convey.ShouldEqual, row.gone)
				if gone {
					convey.So(since, convey.ShouldHappenAfter, start.Add(row.heard))
				}
			})
		})
	}
}

func TestLeavingIsReadFromTheList(t *testing.T) {
	for name, row := range map[string]struct {
		readings [][]VM
		leaving  bool
	}{
		"live":            {[][]VM{{{Address: listVM}}}, false},
		"leaving":         {[][]VM{{{Address: listVM, Leaving: true}}}, true},
		"live again":      {[][]VM{{{Address: listVM, Leaving: true}}, {{Address: listVM}}}, false},
		"not listed yet":  {[][]VM{{{Address: otherVM}}}, false},
		"no longer named": {[][]VM{{{Address: listVM}, {Address: otherVM}}, {{Address: otherVM}}}, true},
		"empty list":      {[][]VM{{{Address: listVM}}, {}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The VM leaves or not", t, func() {
				l := NewList(0)
				for i, rows := range row.readings {
					l.Read(time.Now().Add(time.Duration(i)*time.Second), rows)
				}
				convey.So(l.Leaving(listVM), convey.ShouldEqual, row.leaving)
			})
		})
	}
}
