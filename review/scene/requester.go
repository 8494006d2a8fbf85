package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a requester saw of one request.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	// complete is set if the whole answer came. err is why not.
	complete bool
	err      error
	took     time.Duration
}

// String implements fmt.Stringer.
func (a answer) String() string {
	text := fmt.Sprintf("request %s: status %d, %d bytes, complete: %v, after %d ms", a.id, a.status, len(a.body), a.complete, a.took.Milliseconds())
	if a.err != nil {
		text += ", " + a.err.Error()
	}
	return text
}

// request is one request of a requester.
type request struct {
	id, path string
	header   map[string]string
	body     []byte
	deadline time.Duration
}

// send sends a request on a new connection to a machine and reads its answer.
func (s *site) send(g *process, r request) answer {
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		return answer{id: r.id, err: err}
	}
	defer conn.Close()
	return exchange(conn, bufio.NewReader(conn), r)
}

// exchange sends a request on a connection and reads its answer.
func exchange(conn net.Conn, reader *bufio.Reader, r request) (a answer) {
	start := time.Now()
	a.id = r.id
	defer func() { a.took = time.Since(start) }()
	_ = conn.SetDeadline(start.Add(r.deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %d\r\nContent-Length: %d\r\n", r.path, host, r.id, wire.Deadline, r.deadline.Milliseconds(), len(r.body))
	for name, value := range r.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	head.WriteString("\r\n")
	if _, a.err = conn.Write(append([]byte(head.String()), r.body...)); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.complete = a.err == nil
	return a
}

// sendChat sends a driver-chat request.
func (s *site) sendChat(g *process, n int) answer {
	return s.send(g, request{
		id: fmt.Sprintf("chat-%d", n), path: "/chat/2f", deadline: 15 * time.Second, body: []byte("may a container stand here?"),
		header: map[string]string{wire.Model: "m", wire.Tokens: "220,89", wire.Prefix: fmt.Sprintf("5c1e07a2:79,%08x:141", 0x100+n)},
	})
}
