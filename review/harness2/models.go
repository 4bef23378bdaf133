package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["models"] = models }

const (
	modelNodes = 2
	// modelConsumers is the number of consumers of each instance. Each waits for modelPause
	// between two requests.
	modelConsumers = 12
	modelPause     = 5 * time.Millisecond
	modelTime      = 100 * time.Second
	// nameBytes is the length of the names of models that no replica holds. A head with one
	// stays below max-header-bytes.
	nameBytes = 15_000
)

// models lets consumers ask for models that do not exist, each request for another one.
// Without the disruption, they ask for a model that exists.
func models(d *deployment) bool {
	s := startStore(d.host + "1")
	s.configure(config(7))
	for i := range modelReplicas {
		startReplica(s, fmt.Sprintf("%s%d", d.host, 20+i), fmt.Sprintf("i-%d", i), "llm", "kul-a", 0, 5, 2*time.Millisecond)
	}
	var nodes []*node
	for i := range modelNodes {
		nodes = append(nodes, startNode(d.dir, d.program, fmt.Sprintf("%s%d", d.host, 11+i), fmt.Sprintf("edge-kul-a-%d", i+1), "kul-a", s))
	}
	time.Sleep(4 * time.Second) // contact-ms
	var sent, refused, served atomic.Int64
	end := time.Now().Add(modelTime)
	for i, n := range nodes {
		for j := range modelConsumers {
			go func() {
				for request := 0; time.Now().Before(end); {
					c, err := open(n.front, 0)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					for ; err == nil && time.Now().Before(end); request++ {
						model := "m1"
						if d.trouble {
							model = fmt.Sprintf("x%d.%d.%d.%s", i, j, request, strings.Repeat("x", nameBytes))
						}
						var status int
						sent.Add(1)
						if status, err = askModel(c, fmt.Sprintf("%04x%04x%08x", i, j, request), model); err == nil && status == 200 {
							served.Add(1)
						} else if err == nil {
							refused.Add(1)
						}
						time.Sleep(modelPause)
					}
					_ = c.Close()
				}
			}()
		}
	}
	broken := watchForFault(nodes, end, func() string {
		return fmt.Sprintf("%d requests sent, %d served, %d refused", sent.Load(), served.Load(), refused.Load())
	})
	for _, n := range nodes {
		n.stop()
	}
	return broken
}
