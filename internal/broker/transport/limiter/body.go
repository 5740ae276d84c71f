package limiter

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
)

// firstBodyBuffer is the size of the first buffer of a body, in bytes. Further ones are twice as large, because a length that
// was announced need not come.
const firstBodyBuffer = 8 << 10

// ReadBody reads the whole body of a request, at most limit bytes, until a deadline; an error is of type *Error. The memory
// is held until the request ends or moves it to a lease. A body without a connection of a Listener is not accounted for.
func ReadBody(r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, bodyError(errTooLarge)
	}
	c := connOf(r)
	if c == nil {
		return readAll(r, limit, nil)
	}
	if err := c.entry.StartBody(); err != nil {
		return nil, bodyError(err)
	}
	_ = c.SetReadDeadline(deadline) // fails only on a closed connection
	body, err := readAll(r, limit, c.entry)
	if err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Time{})
	if err := c.entry.EndBody(); err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

var (
	errTooLarge = errors.New("the body exceeds the limit")
	errGaveWay  = errors.New("the connection had to give way to others")
)

// readAll reads a body into a buffer that grows as it arrives. While it grows, both the old and the new buffer are held.
func readAll(r *http.Request, limit int64, entry *accountant.Connection) ([]byte, error) {
	most := limit + 1 // a byte above the limit shows that the body exceeds it
	if r.ContentLength > 0 {
		most = r.ContentLength
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			next := min(max(2*int64(cap(body)), firstBodyBuffer), most)
			if next == int64(cap(body)) {
				// The announced length has been read, or more than the limit.
				return finish(r, body, limit)
			}
			grown, err := grow(body, next, entry)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return finish(r, body, limit)
		case entry != nil && entry.Evicted():
			return nil, bodyError(errGaveWay)
		case err != nil:
			return nil, bodyError(err)
		}
	}
}

// grow returns a copy of body in a larger buffer.
func grow(body []byte, size int64, entry *accountant.Connection) ([]byte, error) {
	if entry != nil {
		if err := entry.Grow(size); err != nil {
			return nil, bodyError(err)
		}
		defer entry.Shrink(int64(cap(body)))
	}
	return append(make([]byte, 0, size), body...), nil
}

// finish returns a body that has been read to its end, or to the first byte above the limit.
func finish(r *http.Request, body []byte, limit int64) ([]byte, error) {
	if int64(len(body)) > limit {
		return nil, bodyError(errTooLarge)
	}
	if _, err := io.ReadFull(r.Body, make([]byte, 1)); !errors.Is(err, io.EOF) {
		return nil, bodyError(err)
	}
	return body, nil
}

// bodyError returns the error of a body that could not be read.
func bodyError(err error) *Error {
	kind := KindMalformed
	var account *accountant.Error
	var timeout net.Error
	switch {
	case errors.Is(err, errTooLarge):
		kind = KindTooLarge
	case errors.Is(err, errGaveWay) || errors.As(err, &account):
		kind = KindNoRoom
	case errors.As(err, &timeout) && timeout.Timeout():
		kind = KindTimeout
	}
	return &Error{Op: "read a body", Kind: kind, Err: err}
}
