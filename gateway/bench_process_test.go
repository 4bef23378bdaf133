package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime/pprof"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/engine/enginehttp"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/table"
)

// Environment variables of the benchmarks. With benchEngineEnv, the test binary
// serves a gateway for the engine at the given address, so that its CPU time and
// memory are measured apart from those of the callers and the engine.
// benchProfileEnv names the file for its CPU profile. With benchCopyEnv, the process
// only copies bytes between callers and engine, which measures the cost of the
// sockets.
const (
	benchEngineEnv  = "HYSSOPHAVEN_BENCH_ENGINE"
	benchProfileEnv = "HYSSOPHAVEN_BENCH_PROFILE"
	benchCopyEnv    = "HYSSOPHAVEN_BENCH_COPY"
)

func TestMain(m *testing.M) {
	if address := os.Getenv(benchEngineEnv); address != "" {
		if err := serveBenchGateway(address); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveBenchGateway prints the gateway's address and then, for each line of input,
// the CPU time and memory in use. It returns at the end of the input.
func serveBenchGateway(address string) error {
	if name := os.Getenv(benchProfileEnv); name != "" {
		f, err := os.Create(name)
		if err != nil {
			return err
		}
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	start := startBenchGateway
	if os.Getenv(benchCopyEnv) != "" {
		start = startByteCopier
	}
	own, err := start(address)
	if err != nil {
		return err
	}
	fmt.Println(own)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		fmt.Println(int64(processorTime()), memoryInUse())
	}
	return nil
}

func startBenchGateway(address string) (net.Addr, error) {
	client := enginehttp.NewClient(address, enginehttp.Options{})
	g, err := New(Config{
		Address: "127.0.0.1:0", Table: &fakeStore{}, Objects: &fakeStore{},
		EngineClient: func(fleet.Endpoint) engine.Client { return client },
	})
	if err != nil {
		return nil, err
	}
	k, err := kernel.New()
	if err != nil {
		return nil, err
	}
	rows := append([]table.Row{{Name: "slots", Kind: table.KindWork, Base: "base", Rank: fleet.Urgent, Weight: 1}}, testTable...)
	k.Register(&instantControl{snap: control.Snapshot{Table: table.NewSnapshot(1, rows), Ready: true}})
	k.Register(g)
	if err := k.Start(context.Background()); err != nil {
		return nil, err
	}
	return g.Addr(), nil
}

// startByteCopier copies bytes between each caller's connection and a connection to
// the engine. The wrapper types prevent io.Copy from splicing inside the operating
// system's kernel.
func startByteCopier(address string) (net.Addr, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", address)
			if err != nil {
				_ = caller.Close()
				continue
			}
			for _, pair := range [][2]net.Conn{{caller, to}, {to, caller}} {
				go func() {
					_, _ = io.Copy(struct{ io.Writer }{pair[0]}, struct{ io.Reader }{pair[1]})
					_ = pair[0].Close()
				}()
			}
		}
	}()
	return l.Addr(), nil
}

// benchProcess is a gateway in a separate process. Its engine stand-in runs in this
// process.
type benchProcess struct {
	b              *testing.B
	gatewayAddress string
	engineAddress  string
	in             *os.File
	out            *bufio.Scanner
}

// startBenchProcess starts a gateway on two cores. Its engine answers with a
// gatedStream of n chunks.
func startBenchProcess(b *testing.B, n int, gate <-chan struct{}, env ...string) *benchProcess {
	b.Helper()
	backend := &fakeEngine{generate: func(ctx context.Context, r engine.GenerateRequest) (engine.Stream, error) {
		return &gatedStream{request: r, chunks: n, gate: gate, ctx: ctx}, nil
	}}
	server := httptest.NewServer(enginehttp.NewHandler(backend, ""))
	p := &benchProcess{b: b, engineAddress: server.Listener.Addr().String()}
	command := exec.Command(os.Args[0], "-test.run=^$")
	command.Env = append(append(os.Environ(), benchEngineEnv+"="+p.engineAddress, "GOMAXPROCS=2"), env...)
	command.Stderr = os.Stderr
	input, in, err := os.Pipe()
	if err != nil {
		b.Fatal(err)
	}
	command.Stdin, p.in = input, in
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	_ = input.Close()
	p.out = bufio.NewScanner(output)
	b.Cleanup(func() {
		_ = in.Close()
		_ = command.Wait()
		server.CloseClientConnections()
		server.Close()
	})
	if !p.out.Scan() {
		b.Fatal("the gateway process printed no address")
	}
	p.gatewayAddress = p.out.Text()
	return p
}

// usage returns the CPU time that the gateway has used and its memory in use.
func (p *benchProcess) usage() (cpu time.Duration, memory int64) {
	p.b.Helper()
	if _, err := fmt.Fprintln(p.in); err != nil || !p.out.Scan() {
		p.b.Fatal("the gateway process exited during the benchmark")
	}
	if _, err := fmt.Sscan(p.out.Text(), (*int64)(&cpu), &memory); err != nil {
		p.b.Fatal(err)
	}
	return cpu, memory
}
