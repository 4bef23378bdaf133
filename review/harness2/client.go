package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// channel is a consumer's connection to an instance.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

// open connects to an address. A receive buffer of 0 bytes means the usual one.
func open(address string, receiveBuffer int) (*channel, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	c, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, reader: bufio.NewReaderSize(c, 512)}, nil
}

// send sends a request without a body.
func (c *channel) send(method, path, id string, patience time.Duration) error {
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\nX-Hyssophaven-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, id, patience.Milliseconds())
	return err
}

// head reads the head of the answer.
func (c *channel) head(method string) (*http.Response, error) {
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// askModel sends a request for a model and returns the status of the answer.
func askModel(c *channel, id, model string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(c, "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Hyssophaven-Attempt-Id: %s\r\nX-Hyssophaven-Deadline-Ms: 3000\r\nX-Hyssophaven-Model: %s\r\nX-Hyssophaven-Token-Count: 200,10\r\nContent-Length: 0\r\n\r\n", id, model)
	if err != nil {
		return 0, err
	}
	resp, err := c.head("POST")
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.Close {
		return resp.StatusCode, io.EOF
	}
	return resp.StatusCode, nil
}
