package upstream

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	ownHead = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	// testWait bounds the wait for what a server never sends.
	testWait = 200 * time.Millisecond
)

// invalidAnswers are bytes that are no answer to request 1.
var invalidAnswers = map[string]string{
	"no head":                      "x7 noise\r\n\r\n",
	"noise before the head":        "x7\r\n" + ownHead + "Content-Length: 3\r\n\r\none",
	"empty line before the head":   "\r\n" + ownHead + "Content-Length: 3\r\n\r\none",
	"no status":                    "HTTP/1.1\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status of two digits":         "HTTP/1.1 20 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status 000":                   "HTTP/1.1 000 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status 042":                   "HTTP/1.1 042 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status of four digits":        "HTTP/1.1 0200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status with an exponent":      "HTTP/1.1 2e2 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status below zero":            "HTTP/1.1 -20 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status 099":                   "HTTP/1.1 099 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status 600":                   "HTTP/1.1 600 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status 999":                   "HTTP/1.1 999 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status with a sign":           "HTTP/1.1 +20 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"status switching protocols":   "HTTP/1.1 101 OK\r\nId: 1\r\n\r\none",
	"another protocol":             "RTSP/1.0 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"HTTP/2":                       "HTTP/2.0 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"HTTP/0.9":                     "HTTP/0.9 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
	"line without a colon":         ownHead + "noise\r\nContent-Length: 3\r\n\r\none",
	"name with a space":            ownHead + "no ise: 1\r\nContent-Length: 3\r\n\r\none",
	"name with a space at its end": ownHead + "Noise : 1\r\nContent-Length: 3\r\n\r\none",
	"length with a space":          ownHead + "Content-Length : 3\r\n\r\none",
	"coding with a space":          ownHead + "Transfer-Encoding : chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
	"space in an earlier head":     "HTTP/1.1 103 X\r\nno ise: 1\r\n\r\n" + ownHead + "Content-Length: 3\r\n\r\none",
	"name with a control byte":     ownHead + "no\x01ise: 1\r\nContent-Length: 3\r\n\r\none",
	"name with a tab":              ownHead + "no\tise: 1\r\nContent-Length: 3\r\n\r\none",
	"name with an escape":          ownHead + "no\x1bise: 1\r\nContent-Length: 3\r\n\r\none",
	"name with a delete byte":      ownHead + "no\x7fise: 1\r\nContent-Length: 3\r\n\r\none",
	"name with a byte above 127":   ownHead + "no\x80ise: 1\r\nContent-Length: 3\r\n\r\none",
	"control character":            ownHead + "Noise: \x01\r\nContent-Length: 3\r\n\r\none",
	"head within the head":         ownHead + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
	"another ID too":               ownHead + "Id: 2\r\nContent-Length: 3\r\n\r\none",
	"lengths that differ":          ownHead + "Content-Length: 3\r\nContent-Length: 2\r\n\r\none",
	"lengths in a list":            ownHead + "Content-Length: 3, 2\r\n\r\none",
	"negative length":              ownHead + "Content-Length: -3\r\n\r\none",
	"length with a sign":           ownHead + "Content-Length: +3\r\n\r\none",
	"length that is no number":     ownHead + "Content-Length: x\r\n\r\none",
	"empty length":                 ownHead + "Content-Length:\r\n\r\none",
	"unknown coding":               ownHead + "Transfer-Encoding: gzip\r\n\r\none",
	"several codings":              ownHead + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
	"chunked twice":                ownHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
	"size that is no number":       ownHead + "Transfer-Encoding: chunked\r\n\r\nnoise\r\none\r\n0\r\n\r\n",
	"chunk longer than its size":   ownHead + "Transfer-Encoding: chunked\r\n\r\n2\r\none\r\n0\r\n\r\n",
	"chunk shorter than its size":  ownHead + "Transfer-Encoding: chunked\r\n\r\n4\r\none\r\n0\r\n\r\n",
	"noise after a chunk":          ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\nnoise\r\n0\r\n\r\n",
	"answer in place of a chunk":   ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	"answer after the last chunk":  ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	"trailer of another request":   ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nId: 2\r\n\r\n",
	"trailer of two requests":      ownHead + "Trailer: Id\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nId: 1\r\nId: 2\r\n\r\n",
	"noise as a trailer":           ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nnoise\r\n\r\n",
	"head that ends":               "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Le",
	"head that ends at a line":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n",
	"body that ends":               ownHead + "Content-Length: 4\r\n\r\none",
	"chunks that end":              ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
	"chunks that end at the last":  ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n",
}

// serveOnce starts a server that sends an answer to the first request and closes its connection, and answers
// the other requests as they are to be.
func serveOnce(t *testing.T, answer string) string {
	first := true
	return serveScript(t, func(n int, r *http.Request) string {
		if n > 0 {
			return ""
		}
		if first {
			first = false
			return answer
		}
		return answerText(r.Header.Get("Id"), "two")
	})
}

// Guards against bytes that are passed on as an answer though they are none.
func TestInvalidAnswersAreErrors(t *testing.T) {
	for name, answer := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			address := serveOnce(t, answer)
			p := NewPool(4, DialTCP)
			call := newCall(address, "1")
			call.HeadTimeout, call.SilenceTimeout = testWait, testWait
			got, err := sendAndRead(t, p, call)
			assert.Assert(t, err != nil, "got %q as an answer", got)
			got, err = sendAndRead(t, p, newCall(address, "2"))
			assert.NilError(t, err)
			assert.Equal(t, got, "two")
		})
	}
}

// Guards against a late answer, cut off in its head, that lends its status to the answer that follows.
func TestCutOffHeadDoesNotJoinTheNextAnswer(t *testing.T) {
	for _, late := range []string{
		"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nNoise: x", "HTTP/1.1 200 OK\r\nId: 1\r\nNoise:", "HTTP/1.1 200 OK\r\nId: 2\r\nNoise: x\r\n ",
		"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nNoise", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nContent-Length: 6", "HTTP/1.1 200 OK\r\nId: 2",
	} {
		address := serveScript(t, func(n int, r *http.Request) string {
			if n == 0 {
				return answerText("1", "one")
			}
			return late + "HTTP/1.1 500 X\r\nId: 2\r\nContent-Length: 6\r\n\r\nfailed"
		})
		p := NewPool(4, DialTCP)
		_, err := sendAndRead(t, p, newCall(address, "1"))
		assert.NilError(t, err)
		got, err := sendAndRead(t, p, newCall(address, "2"))
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%q: got %q, %v", late, got, err)
		assert.Equal(t, invalid.Kind, InvalidHead, "%q", late)
		assert.Assert(t, invalid.Reused)
	}
}

// Guards against refusing what the standard lets a receiver read: a folded line is one with spaces, and chunks
// override a length.
func TestToleratedAnswersAreRead(t *testing.T) {
	for _, answer := range []string{
		ownHead + "Noise: 1\r\n 2\r\nContent-Length: 3\r\n\r\none",
		ownHead + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
		ownHead + "Id: 1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\none",
		ownHead + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\none\r\n0\r\nId: 1\r\n\r\n",
	} {
		got, err := sendAndRead(t, NewPool(4, DialTCP), newCall(serveOnce(t, answer), "1"))
		assert.NilError(t, err, "%q", answer)
		assert.Equal(t, got, "one")
	}
}

// extraBytes follow a whole answer to request 1.
var extraBytes = map[string]string{
	"noise":              "x7 noise\r\n\r\n",
	"rest of the body":   "more",
	"another answer":     answerText("2", "two"),
	"the answer again":   answerText("1", "one"),
	"answer without IDs": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
	"beginning":          "HTTP/1.1 200 OK\r\nId: ",
	"an empty line":      "\r\n",
}

// Guards against bytes after an answer that are read as the answer to the next request.
func TestBytesAfterAnAnswerBelongToNoRequest(t *testing.T) {
	for framing, answer := range map[string]string{
		"length": answerText("1", "one"), "chunks": ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
	} {
		for name, extra := range extraBytes {
			t.Run(framing+" "+name, func(t *testing.T) {
				address := serveScript(t, func(_ int, r *http.Request) string {
					if id := r.Header.Get("Id"); id != "1" {
						return answerText(id, "its")
					}
					return answer + extra
				})
				p := NewPool(4, DialTCP)
				got, err := sendAndRead(t, p, newCall(address, "1"))
				assert.NilError(t, err)
				assert.Equal(t, got, "one")
				got, err = sendAndRead(t, p, newCall(address, "2"))
				assert.NilError(t, err)
				assert.Equal(t, got, "its")
			})
		}
	}
}
