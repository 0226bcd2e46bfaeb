package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

// errTooLarge is returned for a response that exceeds a size limit.
var errTooLarge = errors.New("response exceeds the size limit")

// errInvalidStatus is returned for a response whose status is not one of HTTP.
var errInvalidStatus = errors.New("invalid response status")

// isValidStatus reports whether the status has three digits and is from 100 to 599. net/http accepts any three characters
// that are a number, such as +20 and 999. What an upstream did that answers so is unknown.
func isValidStatus(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusContinue && resp.StatusCode <= maxStatus
}

// limitedReader reads from a connection and fails once more bytes were read than allowed. net/http sets no limit on
// the head of a response, so an upstream that never ends it would otherwise fill the memory of the VM.
type limitedReader struct {
	r         io.Reader
	remaining int
	read      int    // bytes of the current response
	onLarge   func() // called once for a response of more than smallResponse bytes; may be nil
}

// startResponse begins to count the bytes of a response, of which the head may be read.
func (l *limitedReader) startResponse() {
	l.read, l.onLarge = 0, nil
	l.allow(maxHead)
}

// allow sets the number of further bytes that may be read.
func (l *limitedReader) allow(n int) {
	l.remaining = n
}

// Read reads up to the remaining number of bytes, and fails with errTooLarge if there are none.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= n
	l.read += n
	if l.read > smallResponse && l.onLarge != nil {
		l.onLarge()
		l.onLarge = nil
	}
	return n, err
}

// parsedResponse is a response that also says whether its connection is to be closed.
type parsedResponse struct {
	Response
	close bool
}

// readResponse reads one complete response. A response without a length ends with its connection.
func (c *conn) readResponse(br *bufio.Reader, limited *limitedReader, call *Call) (parsedResponse, error) {
	resp, err := http.ReadResponse(br, &http.Request{Method: call.Method})
	if err != nil {
		return parsedResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if !isValidStatus(resp) {
		return parsedResponse{}, errInvalidStatus
	}
	limited.allow(maxBody + maxBodyOverhead)
	body, err := c.readBody(resp, call.LargeResponse)
	if err != nil {
		return parsedResponse{}, err
	}
	r := Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	return parsedResponse{Response: r, close: resp.Close}, nil
}

// readBody reads the body of a response. It allocates memory for the bytes that have arrived, not for those that a
// Content-Length announces. A large body waits for its place unless it is expected.
func (c *conn) readBody(resp *http.Response, expectLarge bool) ([]byte, error) {
	if resp.ContentLength > maxBody {
		return nil, errTooLarge
	}
	if n := resp.ContentLength; n >= 0 && n <= smallResponse {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	var body bytes.Buffer
	_, err := io.CopyN(&body, resp.Body, smallResponse)
	if err == nil {
		body.Grow(smallBody - smallResponse + bytes.MinRead) // growing step by step would need twice the memory
		_, err = io.CopyN(&body, resp.Body, smallBody-smallResponse)
	}
	if errors.Is(err, io.EOF) || (err == nil && int64(body.Len()) == resp.ContentLength) {
		return slices.Clone(body.Bytes()), nil
	}
	if err != nil {
		return nil, err
	}
	if !expectLarge {
		if err := c.acquireLargeBody(); err != nil {
			return nil, err
		}
		defer c.releaseLargeBody()
	}
	return readLargeBody(&body, resp)
}

// readLargeBody reads the rest of a body of more than smallBody bytes. The buffer has the announced length; if there is
// none, it grows with the bytes, because a buffer of the largest size for each body would fill the memory with garbage.
func readLargeBody(body *bytes.Buffer, resp *http.Response) ([]byte, error) {
	for size := body.Len(); size < maxBody; {
		size = min(largeBodyGrowth*size, maxBody)
		if resp.ContentLength >= 0 {
			size = int(resp.ContentLength)
		}
		body.Grow(size - body.Len() + bytes.MinRead)
		_, err := io.CopyN(body, resp.Body, int64(size-body.Len()))
		if errors.Is(err, io.EOF) || (err == nil && int64(body.Len()) == resp.ContentLength) {
			return slices.Clone(body.Bytes()), nil
		}
		if err != nil {
			return nil, err
		}
	}
	_, err := io.ReadFull(resp.Body, make([]byte, 1))
	switch {
	case err == nil:
		return nil, errTooLarge
	case !errors.Is(err, io.EOF):
		return nil, err
	}
	return slices.Clone(body.Bytes()), nil
}

// acquireLargeBody waits until a large body may be read further. It fails if the connection is closed meanwhile.
func (c *conn) acquireLargeBody() error {
	select {
	case c.pool.largeBodies <- struct{}{}:
		return nil
	case <-c.done:
		return io.ErrUnexpectedEOF
	}
}

func (c *conn) releaseLargeBody() {
	<-c.pool.largeBodies
}
