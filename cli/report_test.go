package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/burn/burncodec"
)

// Guards against a report command that ignores its flags or environment
// variables, or prints the wrong format.
func TestReportBurn(t *testing.T) {
	is := is.New(t)
	data, err := burncodec.EncodeReport(burn.NewTotal().Report(time.Now(), burn.DefaultObjective), burncodec.Coverage{Complete: true})
	is.NoErr(err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Authorization"), "Bearer secret")
		_, _ = w.Write(data)
	}))
	defer server.Close()
	run := func(args ...string) (string, int) {
		var out, stderr bytes.Buffer
		code := Run(t.Context(), append([]string{"hyssophaven", "report", "burn"}, args...), &out, &stderr)
		return out.String(), code
	}
	_, code := run("--operator", server.URL)
	is.True(code != ExitOK) // fails because no token is given
	t.Setenv("HYSSOPHAVEN_OPERATOR", server.URL)
	t.Setenv("HYSSOPHAVEN_TOKEN", "secret")
	text, code := run()
	is.Equal(code, ExitOK)
	is.True(strings.Contains(text, "objective 99%"))
	text, code = run("--json")
	is.Equal(code, ExitOK)
	is.True(json.Valid([]byte(text)))
	path := filepath.Join(t.TempDir(), "burn.html")
	text, code = run("--html", path)
	is.Equal(code, ExitOK)
	is.Equal(text, "")
	page, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(bytes.Contains(page, []byte("</html>")))
}
