package http1

import (
	"bufio"
	"bytes"
	"net/netip"
	"testing"
)

var testAddress = netip.MustParseAddrPort("127.0.0.1:80")

// FuzzReadResponse guards against bytes of an upstream that end the process, or that become a response beyond the limits.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("%%%\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newConn(&Pool{largeBodies: make(chan struct{}, maxLargeBodies), unfinished: newUnfinished()}, testAddress, nil)
		limited := &limitedReader{r: bytes.NewReader(data)}
		limited.allow(maxHead)
		resp, err := c.readResponse(bufio.NewReaderSize(limited, readBufferSize), limited, &Call{Method: "GET"})
		if err == nil && len(resp.Body) > maxBody {
			t.Errorf("got a body of %d bytes, want at most %d", len(resp.Body), maxBody)
		}
	})
}
