package storer

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"path"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxAnswerBytes is the maximum size of an answer; the host list and a history can be larger than MaxValue.
const maxAnswerBytes = 8 << 20

// call is one call to the store.
type call struct {
	op          string
	kind        string // label of the metrics
	method      string
	key         string // path below v1/objects; unused if path is set
	path        string
	query       url.Values
	header      http.Header
	body        []byte
	wait        time.Duration // added to the timeout
	unversioned bool          // the answer has no version
	conditional bool          // the store may answer that nothing has changed
}

// answer is the result of a call; version zero means that there is no object or no change.
type answer struct {
	version uint64
	body    []byte
}

func (c *call) validate() error {
	if c.path != "" {
		return nil
	}
	if c.key == "" || path.Clean("/"+c.key) != "/"+c.key {
		return newError(c.op, KindInvalid, "the key is not a clean path")
	}
	return nil
}

func (c *call) url(base *url.URL) string {
	location := c.path
	if location == "" {
		location = "v1/objects/" + c.key
	}
	target := base.JoinPath(strings.Split(location, "/")...)
	target.RawQuery = c.query.Encode()
	return target.String()
}

// attempt makes one HTTP request. A write fails with KindUnknownOutcome if its request may have left this process and
// the answer is missing or does not state the outcome.
func (s *Storer) attempt(ctx context.Context, c call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout+c.wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, c.method, c.url(s.base), bytes.NewReader(c.body))
	if err != nil {
		return answer{}, wrap(c.op, KindInvalid, err)
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	lostKind := KindUnavailable
	response, err := s.client.Do(request)
	if c.method != http.MethodGet && connected.Load() {
		lostKind = KindUnknownOutcome
	}
	if err != nil {
		return answer{}, wrap(c.op, lostKind, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, wrap(c.op, lostKind, err)
	}
	if len(body) > maxAnswerBytes {
		return answer{}, newError(c.op, KindInvalid, "the answer exceeds the size limit")
	}
	return c.parseResponse(response, body, lostKind)
}

// parseResponse maps the status of a response to an answer or an error. An error that leaves the outcome open is of
// lostKind.
func (c *call) parseResponse(response *http.Response, body []byte, lostKind ErrorKind) (answer, error) {
	status := response.StatusCode
	cause := errors.Errorf("the store answered %s", response.Status)
	switch {
	case status == http.StatusOK && c.unversioned:
		return answer{body: body}, nil
	case status == http.StatusOK:
		version, err := parseEntityTag(response.Header.Get("ETag"))
		if err != nil {
			return answer{}, wrap(c.op, cmp.Or(unknownOutcomeOrNone(lostKind), KindInvalid), err)
		}
		return answer{version: version, body: body}, nil
	case status == http.StatusNotModified && (c.wait > 0 || c.conditional), status == http.StatusNotFound && c.method == http.MethodGet:
		return answer{}, nil
	case status == http.StatusPreconditionFailed:
		return answer{}, &Error{Op: c.op, Kind: KindConflict, Err: cause}
	case status == http.StatusRequestEntityTooLarge:
		return answer{}, &Error{Op: c.op, Kind: KindTooLarge, Err: cause}
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		// The store sends these statuses only for calls that it has not processed.
		return answer{}, &Error{Op: c.op, Kind: KindUnavailable, Err: cause}
	case status >= http.StatusInternalServerError:
		return answer{}, &Error{Op: c.op, Kind: lostKind, Err: cause}
	default:
		return answer{}, &Error{Op: c.op, Kind: KindInvalid, Err: cause}
	}
}

// unknownOutcomeOrNone returns kind if it is KindUnknownOutcome, and otherwise an empty kind.
func unknownOutcomeOrNone(kind ErrorKind) ErrorKind {
	if kind == KindUnknownOutcome {
		return kind
	}
	return ""
}

func entityTag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseEntityTag(text string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(strings.TrimPrefix(text, "W/"), `"`), 10, 64)
	if err == nil && version == 0 {
		err = errors.New("version zero")
	}
	return version, errors.Wrapf(err, "the answer has the entity tag %q, want a version", text)
}
