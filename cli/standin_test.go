package cli

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a stand-in that does not print its address, does not serve on
// it, or does not exit when its context is cancelled.
func TestStandinsServeUntilTheirContextEnds(t *testing.T) {
	for name, path := range map[string]string{"platform": "/listing", "engine": "/state", "service": "/ledger"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			r, w := io.Pipe()
			code := make(chan int, 1)
			go func() { code <- Run(ctx, []string{"hyssophaven", "standin", name}, w, io.Discard) }()
			line, err := bufio.NewReader(r).ReadString('\n')
			is.NoErr(err)
			address, ok := strings.CutPrefix(strings.TrimSpace(line), name+" listening on ")
			is.True(ok)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
			is.NoErr(err)
			res, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			is.Equal(res.StatusCode, http.StatusOK)
			cancel()
			is.Equal(<-code, ExitOK)
		})
	}
}
