package integration

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// emptyParts sends a whole head inside the limits of the config, whose list of prompt parts
// has thousands of empty ones, and a body in chunks that stops before its end.
func emptyParts(c net.Conn) {
	sendParts(c, strings.Repeat(",", 15<<10))
	_, _ = io.WriteString(c, "5\r\nhello\r\n")
}

// shortParts is emptyParts with parts of the shortest form that names tokens.
func shortParts(c net.Conn) {
	sendParts(c, strings.Repeat("a:1,", 15<<10/4))
	_, _ = io.WriteString(c, "5\r\nhello\r\n")
}

// partsOverLimit sends a whole head over the limit of the config, as large as the server reads.
func partsOverLimit(c net.Conn) { sendParts(c, strings.Repeat(",", 60<<10)) }

func sendParts(c net.Conn, parts string) {
	writeHead(c, "POST /chat/x")
	_, _ = fmt.Fprintf(c, "X-Hyssophaven-Model: m1\r\nX-Hyssophaven-Token-Count: 100,10\r\nX-Hyssophaven-Prompt-Prefix: %s\r\nTransfer-Encoding: chunked\r\n\r\n", parts)
}
