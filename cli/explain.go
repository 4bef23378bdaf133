package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

// maxLogLineBytes limits the length of a log line that explain can read.
const maxLogLineBytes = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print what the logs of edge instances say of a request, in order",
		ArgsUsage: "REQUEST-ID [LOG-FILE ...] (standard input without a file)",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return usageErrorf("explain needs the id of a request")
			}
			logs, err := readLogs(c.Args().Slice()[1:], os.Stdin)
			if err != nil {
				return err
			}
			return explain(c.Root().Writer, c.Args().First(), logs)
		},
	}
}

func readLogs(files []string, stdin io.Reader) ([]string, error) {
	if len(files) == 0 {
		return readLines(stdin)
	}
	var lines []string
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		fileLines, err := readLines(f)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}

func readLines(r io.Reader) ([]string, error) {
	var lines []string
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, scanner.Err()
}

var (
	logTimePattern    = regexp.MustCompile(`time=(\S+)`)
	logReplicaPattern = regexp.MustCompile(`replica=([^\s"]+)`)
)

// explain prints the log lines of a request and the lines about the replicas that
// received it, sorted by time. It omits the "request ended" lines of other requests,
// and lines about these replicas that name an adapter whose id starts with "a".
func explain(w io.Writer, id string, lines []string) error {
	replicas := make(map[string]bool)
	requestLines := 0
	for _, line := range lines {
		if strings.Contains(line, "request="+id+" ") {
			requestLines++
			for _, m := range logReplicaPattern.FindAllStringSubmatch(line, -1) {
				replicas[m[1]] = true
			}
		}
	}
	if requestLines == 0 {
		return fmt.Errorf("no line on request %s: it was answered in time by its first replica and not sampled, or the logs are not those of its instance", id)
	}
	var selected []string
	for _, line := range lines {
		m := logReplicaPattern.FindStringSubmatch(line)
		concernsReplica := m != nil && replicas[m[1]] && !strings.Contains(line, `msg="request ended"`) && !strings.Contains(line, "adapter=a")
		if strings.Contains(line, "request="+id+" ") || concernsReplica {
			selected = append(selected, line)
		}
	}
	slices.SortStableFunc(selected, func(a, b string) int { return strings.Compare(logTime(a), logTime(b)) })
	for _, line := range selected {
		line = strings.ReplaceAll(line, "; replica=", "\n    then replica=")
		line = strings.Replace(line, ` sends="replica=`, "\n    sent to replica=", 1)
		if _, err := fmt.Fprintln(w, strings.ReplaceAll(line, `\"`, `"`)); err != nil {
			return err
		}
	}
	return nil
}

func logTime(line string) string {
	if m := logTimePattern.FindStringSubmatch(line); m != nil {
		return m[1]
	}
	return ""
}
