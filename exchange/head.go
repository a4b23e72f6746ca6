package exchange

// Heads of responses. net/http accepts spaces in the names of fields, any status of three digits,
// and folded lines, and it ignores the transfer coding of HTTP/1.0; a response that is read by
// such rules may end elsewhere than the one that was sent. A response that violates the protocol
// is therefore no response at all.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	maxStatus       = 599 // statuses above it have no class, so that nobody knows what they mean
	maxLengthDigits = 18  // of a length that fits an int64
	maxKeptEnds     = 256 // places of ends that a connection keeps
)

// Violations of the protocol. They name no part of the response, since they are logged.
var (
	errStatusLine = errors.New("response has a malformed status line")
	errStatus     = errors.New("response has a status outside 100 to 599")
	errField      = errors.New("response has a malformed header field")
	errLength     = errors.New("response has a malformed length, or two")
	errCoding     = errors.New("response has a transfer coding other than chunked")
	errFraming    = errors.New("response has both a length and a transfer coding")
	errInterim    = errors.New("informational response announces a body")
)

// isTokenByte has the bytes of which names of fields consist.
var isTokenByte = func() (set [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[b] = true
	}
	return set
}()

// isToken reports whether a text is a valid name of a field.
func isToken(text []byte) bool {
	for _, b := range text {
		if !isTokenByte[b] {
			return false
		}
	}
	return len(text) > 0
}

// isFieldText reports whether a text has no control bytes but tabs.
func isFieldText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// CheckHead returns an error if a head that net/http has read violates the protocol in a way that
// net/http accepts. It is meant for responses of others than endpoints.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return errStatus
	}
	for name := range resp.Header {
		if !isToken([]byte(name)) {
			return errField
		}
	}
	return nil
}

// parseHead reads one head, and sets the body that follows it.
func (c *conn) parseHead(req *http.Request) (*http.Response, error) {
	line, err := c.readLine()
	if err != nil {
		return nil, err
	}
	resp := &http.Response{Request: req, ProtoMajor: 1}
	if resp.StatusCode, resp.ProtoMinor, err = parseStatusLine(line); err != nil {
		return nil, err
	}
	if resp.Header, err = c.readFields(); err != nil {
		return nil, err
	}
	return resp, c.setBody(resp)
}

// readLine reads a line and returns it without its end, which may lack the carriage return. The
// result is valid until the next read.
func (c *conn) readLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		var long []byte
		for errors.Is(err, bufio.ErrBufferFull) { // ends at the limit of a head
			if err := c.hold(2 * int64(len(line))); err != nil { // a buffer that grows is copied
				return nil, err
			}
			long = append(long, line...)
			line, err = c.reader.ReadSlice('\n')
		}
		line = append(long, line...)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// parseStatusLine parses a line such as "HTTP/1.1 200 OK". The reason may be missing, also with
// the space before it.
func parseStatusLine(line []byte) (status, minor int, err error) {
	const version, codeAt, codeEnd = "HTTP/1.", len("HTTP/1.1 "), len("HTTP/1.1 200")
	if len(line) < codeEnd || len(line) > codeEnd && line[codeEnd] != ' ' || !bytes.HasPrefix(line, []byte(version)) || line[codeAt-1] != ' ' || !isFieldText(line) {
		return 0, 0, errStatusLine
	}
	minorText, code := line[len(version):codeAt-1], line[codeAt:codeEnd]
	if !isDigits(string(minorText)) || !isDigits(string(code)) {
		return 0, 0, errStatusLine
	}
	status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if status < http.StatusContinue || status > maxStatus {
		return 0, 0, errStatus
	}
	return status, int(minorText[0] - '0'), nil
}

func isDigits(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return text != ""
}

// fieldBuffer holds the fields of a head while it is read, so that they need only one string.
type fieldBuffer struct {
	text []byte // names and values
	ends []int  // of each name and each value in text
}

// add adds a line. Folded lines start with a space, which no name does.
func (f *fieldBuffer) add(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	if !found || !isToken(name) || !isFieldText(value) {
		return errField
	}
	f.text = append(f.text, name...)
	f.ends = append(f.ends, len(f.text))
	f.text = append(f.text, value...)
	f.ends = append(f.ends, len(f.text))
	return nil
}

// header returns the fields.
func (f *fieldBuffer) header() http.Header {
	header := make(http.Header, len(f.ends)/2)
	values := make([]string, len(f.ends)/2)
	text, begin := string(f.text), 0
	for i := range values {
		nameEnd, valueEnd := f.ends[2*i], f.ends[2*i+1]
		key := textproto.CanonicalMIMEHeaderKey(text[begin:nameEnd])
		values[i] = text[nameEnd:valueEnd]
		begin = valueEnd
		if earlier, repeated := header[key]; repeated {
			header[key] = append(earlier, values[i])
			continue
		}
		header[key] = values[i : i+1 : i+1]
	}
	return header
}

// readFields reads the fields of a head or a trailer, up to the empty line.
func (c *conn) readFields() (http.Header, error) {
	if cap(c.fields.text) > bufferSize || cap(c.fields.ends) > maxKeptEnds { // an idle connection holds little memory
		c.fields = fieldBuffer{}
	}
	c.fields.text, c.fields.ends = c.fields.text[:0], c.fields.ends[:0]
	for {
		line, err := c.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return c.fields.header(), nil
		}
		if err := c.hold(int64(2*len(line)) + fieldMemory); err != nil {
			return nil, err
		}
		if err := c.fields.add(line); err != nil {
			return nil, err
		}
	}
}

// setBody sets the body, its length and whether the connection ends with it, as the head says.
func (c *conn) setBody(resp *http.Response) error {
	length, err := parseLength(resp.Header["Content-Length"])
	if err != nil {
		return err
	}
	chunked, err := isChunked(resp)
	if err != nil {
		return err
	}
	if chunked && length >= 0 {
		return errFraming
	}
	resp.ContentLength, resp.Close = length, closesConnection(resp)
	announced := chunked || length > 0
	switch {
	case resp.StatusCode < http.StatusOK && announced:
		return errInterim // nobody knows whether a body follows
	case resp.StatusCode < http.StatusOK || resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNotModified:
		resp.Body = http.NoBody
	case resp.StatusCode == http.StatusNoContent:
		resp.Body = http.NoBody
		resp.Close = resp.Close || announced // the endpoint may send it nevertheless
	case chunked:
		resp.TransferEncoding, resp.Body = []string{"chunked"}, io.NopCloser(&chunkReader{conn: c})
	case length == 0:
		resp.Body = http.NoBody
	case length > 0:
		resp.Body = io.NopCloser(&lengthReader{reader: c.reader, left: length})
	default:
		resp.Close, resp.Body = true, io.NopCloser(c.reader)
	}
	return nil
}

// isDelimitedByClose reports whether the end of the connection is the end of the body.
func isDelimitedByClose(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// parseLength parses the lengths of a head; -1: there is none. Equal ones count as one.
func parseLength(values []string) (int64, error) {
	if len(values) == 0 {
		return -1, nil
	}
	for _, v := range values {
		if v != values[0] || !isDigits(v) || len(v) > maxLengthDigits {
			return 0, errLength
		}
	}
	return strconv.ParseInt(values[0], 10, 64)
}

// isChunked reports whether a body is sent in chunks. No other coding is asked for, and HTTP/1.0
// has none.
func isChunked(resp *http.Response) (bool, error) {
	codings := resp.Header["Transfer-Encoding"]
	if len(codings) == 0 {
		return false, nil
	}
	if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") || resp.ProtoMinor == 0 {
		return false, errCoding
	}
	return true, nil
}

// closesConnection reports whether the endpoint closes the connection after a response.
func closesConnection(resp *http.Response) bool {
	closes := resp.ProtoMinor == 0
	for _, list := range resp.Header["Connection"] {
		for option := range strings.SplitSeq(list, ",") {
			option = strings.TrimSpace(option)
			if strings.EqualFold(option, "close") {
				return true
			}
			closes = closes && !strings.EqualFold(option, "keep-alive")
		}
	}
	return closes
}
