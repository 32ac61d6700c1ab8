package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// stream writes a stream of events that has neither a length nor chunks. It reports whether all was written.
func stream(c net.Conn, id string, events int, pause time.Duration) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id)
	for i := 1; i <= events && err == nil; i++ {
		time.Sleep(pause)
		_, err = fmt.Fprintf(c, "id: %d\ndata: %032d\n\n", i, i)
	}
	return err == nil
}

// consumer keeps one channel.
type consumer struct {
	address string
	c       net.Conn
	in      *bufio.Reader
}

func (k *consumer) close() {
	if k.c != nil {
		_ = k.c.Close()
		k.c = nil
	}
}

// stream sends a request of a stream and reads its answer.
func (k *consumer) stream(id, path string) (status, events int, err error) {
	if k.c == nil {
		if k.c, err = net.DialTimeout("tcp", k.address, time.Second); err != nil {
			k.c = nil
			time.Sleep(200 * time.Millisecond)
			return 0, 0, err
		}
		k.in = bufio.NewReader(k.c)
	}
	defer func() {
		if err != nil {
			k.close()
		}
	}()
	body := `{"prompt":"Fault code 41 on the topper"}`
	_ = k.c.SetDeadline(time.Now().Add(13 * time.Second))
	_, err = fmt.Fprintf(k.c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Count: 700,384\r\nX-Prompt-Prefix: 5c1e07a2:119,%x:79,%x:502\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, host, id, 0x910000+rand.IntN(266), rand.Uint32(), key, len(body), body)
	if err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			events++
		}
		if err == io.EOF {
			if resp.Close {
				k.close()
			}
			if resp.StatusCode == 503 {
				time.Sleep(300 * time.Millisecond)
			}
			return resp.StatusCode, events, nil
		}
		if err != nil {
			return resp.StatusCode, events, err
		}
	}
}
