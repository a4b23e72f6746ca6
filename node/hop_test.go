package node

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	hopClientIP = "10.0.0.3"
	hopServer   = "10.0.0.4:80"
)

// hop runs a server of raw connections in a bubble and has body send to it.
func hop(t *testing.T, serve func(net.Conn), body func(t *testing.T, over Network)) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork(1, func(standin.Path) standin.Quality { return standin.Quality{Delay: time.Millisecond} })
		l, err := network.VM(hostOf(hopServer)).Listen("tcp", hopServer)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				go serve(c)
			}
		}()
		body(t, network.VM(hopClientIP))
		network.Kill(hostOf(hopServer))
		time.Sleep(time.Minute)
	})
}

func hopRequest(method, body string) *request {
	h := http.Header{HeaderKey: {"o-3.1.1~operation-1"}}
	return &request{method: method, header: h, body: []byte(body), deadline: time.Now().Add(time.Second), once: true}
}

// hopBodies are the requests that net/http judges differently.
var hopBodies = map[string]struct{ method, body string }{
	"POST":             {http.MethodPost, "body"},
	"POST of nothing":  {http.MethodPost, ""},
	"GET":              {http.MethodGet, ""},
	"DELETE":           {http.MethodDelete, ""},
	"BOOK of nothing":  {"BOOK", ""},
	"PATCH of nothing": {http.MethodPatch, ""},
}

func TestRequestOnBreakingConnectionIsSentOnce(t *testing.T) {
	for name, c := range hopBodies {
		t.Run(name, func(t *testing.T) {
			seen := 0
			breakSecond := func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for i := 0; ; i++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					seen++
					if i > 0 {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}
			hop(t, breakSecond, func(t *testing.T, over Network) {
				convey.Convey("A kept connection that breaks gets no request repeated", t, func() {
					client := &http.Client{Transport: newTransport(over, 1)}
					first := send(t.Context(), client, "http://"+hopServer+"/", hopRequest(c.method, c.body))
					convey.So(first.outcome, convey.ShouldEqual, OutcomeRan)
					second := send(t.Context(), client, "http://"+hopServer+"/", hopRequest(c.method, c.body))
					convey.So(second.outcome, convey.ShouldEqual, OutcomeUnknown)
					convey.So(seen, convey.ShouldEqual, 2)
				})
			})
		})
	}
}

// Frames of HTTP/2 (RFC 9113, 4.1).
const (
	framePreface  = 24
	frameHeader   = 9
	frameReset    = 3
	frameSettings = 4
	frameGoAway   = 7
	flagEnd       = 1
	flagAck       = 1
	codeRefused   = 7
)

func writeFrame(w io.Writer, kind, flags byte, stream uint32, payload ...uint32) {
	frame := []byte{0, 0, byte(4 * len(payload)), kind, flags}
	for _, word := range append([]uint32{stream}, payload...) {
		frame = binary.BigEndian.AppendUint32(frame, word)
	}
	_, _ = w.Write(frame)
}

// refuseStreams serves HTTP/2 and refuses each request after it was read whole.
func refuseStreams(seen *int, refuse func(io.Writer, uint32)) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := io.CopyN(io.Discard, reader, framePreface); err != nil {
			return
		}
		writeFrame(conn, frameSettings, 0, 0)
		for {
			var head [frameHeader]byte
			if _, err := io.ReadFull(reader, head[:]); err != nil {
				return
			}
			size := int64(head[0])<<16 | int64(head[1])<<8 | int64(head[2])
			_, _ = io.CopyN(io.Discard, reader, size)
			switch {
			case head[3] == frameSettings && head[4]&flagAck == 0:
				writeFrame(conn, frameSettings, flagAck, 0)
			case head[3] <= 1 && head[4]&flagEnd != 0: // DATA or HEADERS
				*seen++
				refuse(conn, binary.BigEndian.Uint32(head[5:]))
			}
		}
	}
}

func TestRefusedStreamIsSentOnce(t *testing.T) {
	for refusal, refuse := range map[string]func(io.Writer, uint32){
		"REFUSED_STREAM": func(w io.Writer, stream uint32) { writeFrame(w, frameReset, 0, stream, codeRefused) },
		"GOAWAY":         func(w io.Writer, _ uint32) { writeFrame(w, frameGoAway, 0, 0, 0, 0) },
	} {
		for name, c := range hopBodies {
			t.Run(refusal+" "+name, func(t *testing.T) {
				seen := 0
				hop(t, refuseStreams(&seen, refuse), func(t *testing.T, over Network) {
					convey.Convey("A request between nodes is not repeated by the transport", t, func() {
						client := &http.Client{Transport: newPeerTransport(over)}
						q := hopRequest(c.method, c.body)
						q.passed = true
						a := send(t.Context(), client, "http://"+hopServer+"/", q)
						convey.So(a.outcome, convey.ShouldEqual, OutcomeUnknown)
						convey.So(seen, convey.ShouldEqual, 1)
						client.CloseIdleConnections()
					})
				})
			})
		}
	}
}

func TestNotRunWithoutConnectionOnly(t *testing.T) {
	silent := func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	for name, c := range map[string]struct {
		url     string
		limit   time.Duration
		outcome Outcome
		reason  Reason
	}{
		"refused":             {"http://" + hostOf(hopServer) + ":81/", time.Second, OutcomeNotRun, ReasonUnreachable},
		"given up connecting": {"http://" + hopServer + "/", time.Millisecond, OutcomeNotRun, ReasonDeadline},
		"no time left":        {"http://" + hopServer + "/", 0, OutcomeNotRun, ReasonDeadline},
		"no answer":           {"http://" + hopServer + "/", time.Second, OutcomeUnknown, ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			hop(t, silent, func(t *testing.T, over Network) {
				convey.Convey("Only what had no connection is said not to have run", t, func() {
					for _, transport := range []*http.Transport{newTransport(over, 1), newPeerTransport(over)} {
						q := hopRequest(http.MethodPost, "body")
						q.deadline = time.Now().Add(c.limit)
						a := send(context.Background(), &http.Client{Transport: transport}, c.url, q)
						convey.So(a.outcome, convey.ShouldEqual, c.outcome)
						convey.So(a.reason, convey.ShouldEqual, c.reason)
					}
				})
			})
		})
	}
}

func TestSurplusBehindAnAnswerReachesNobody(t *testing.T) {
	for name, late := range map[string]time.Duration{"at once": 0, "late": 3 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			answerTwice := func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for r, err := http.ReadRequest(reader); err == nil; r, err = http.ReadRequest(reader) {
					_, _ = io.Copy(io.Discard, r.Body)
					own := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + r.URL.Path
					if late == 0 {
						_, _ = io.WriteString(conn, own+own)
						continue
					}
					_, _ = io.WriteString(conn, own)
					time.Sleep(late)
					_, _ = io.WriteString(conn, own)
				}
			}
			hop(t, answerTwice, func(t *testing.T, over Network) {
				convey.Convey("What a target sends unasked is not taken for the next answer", t, func() {
					client := &http.Client{Transport: newTransport(over, 1)}
					for _, path := range []string{"/a", "/b", "/c"} {
						a := send(t.Context(), client, "http://"+hopServer+path, hopRequest(http.MethodPost, "body"))
						convey.So(string(a.body), convey.ShouldEqual, path)
						time.Sleep(3 * late) // a late one that meets the next request cannot be told from its answer
					}
					client.CloseIdleConnections()
				})
			})
		})
	}
}
