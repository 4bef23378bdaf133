// Package integration tests hyssophaven as real processes: entry instances and
// stand-ins for the outside systems, connected through toxiproxy. Each test
// injects faults and then compares the responses that callers received with the
// counts and ledgers of the stand-ins. The package contains only tests, and they
// require Linux.
package integration
