package answerhead

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// serve starts a server that answers each request with a text and keeps its connections, and counts them.
func serve(t *testing.T, answer string) (url string, accepted *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), accepted
}

// get sends a request and reads the whole answer.
func get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// invalidHeads are heads that net/http reads, by their kinds.
var invalidHeads = map[Kind][]string{
	InvalidStatus: {
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 001 OK\r\n", "HTTP/1.1 042 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 101 OK\r\n",
		"HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n",
	},
	InvalidName: {
		"HTTP/1.1 200 OK\r\nA b: x\r\n", "HTTP/1.1 200 OK\r\nA : x\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"HTTP/1.1 103 X\r\nA b: x\r\n\r\nHTTP/1.1 200 OK\r\n",
	},
}

// Guards against heads that are none and that a client takes for an answer's, and connections that are used after them.
func TestInvalidHeadsAreRefused(t *testing.T) {
	for kind, heads := range invalidHeads {
		for _, head := range heads {
			for _, body := range []string{"Content-Length: 3\r\n\r\none", "Content-Length: 0\r\n\r\n"} {
				t.Run(fmt.Sprintf("%q", head+body), func(t *testing.T) {
					url, accepted := serve(t, head+body)
					base := &http.Transport{}
					defer base.CloseIdleConnections()
					client := &http.Client{Transport: NewTransport(base)}
					for n := range int32(2) {
						var invalid *Error
						err := get(client, url)
						assert.Assert(t, errors.As(err, &invalid), "%v", err)
						assert.Equal(t, invalid.Kind, kind)
						assert.Equal(t, accepted.Load(), n+1)
					}
				})
			}
		}
	}
}

// Guards against names with bytes that net/http refuses by itself.
func TestNamesWithOtherBytesAreRefused(t *testing.T) {
	for _, b := range []byte{0, 1, '\t', 0x1b, 0x7f, 0x80, 0xff, '(', '"'} {
		url, _ := serve(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nA%sb: x\r\nContent-Length: 3\r\n\r\none", string([]byte{b})))
		client := &http.Client{Transport: NewTransport(&http.Transport{})}
		assert.Check(t, get(client, url) != nil, "%q", b)
		client.CloseIdleConnections()
	}
}

func TestValidHeadsAreTaken(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 299 X\r\n", "HTTP/1.1 599 X\r\n",
		"HTTP/1.1 200 OK\r\nA!#$%&'*+-.^_`|~9: x y\r\n",
	} {
		url, accepted := serve(t, head+"Content-Length: 3\r\n\r\none")
		client := &http.Client{Transport: NewTransport(&http.Transport{})}
		for range 2 {
			assert.NilError(t, get(client, url), "%q", head)
		}
		client.CloseIdleConnections()
		assert.Equal(t, accepted.Load(), int32(1), "%q", head)
	}
}

func TestTextOfErrorsIsBounded(t *testing.T) {
	err := newError(InvalidStatus, strings.Repeat("x", 2*maxText))
	assert.Equal(t, len(err.Text), maxText)
}
