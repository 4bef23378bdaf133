// Package integration holds the tests that run hyssophaven as processes: entry
// instances and stand-ins of the outside systems, with toxiproxy on every
// connection between them. Each test causes failures and then compares what
// callers were told with the counts and ledgers of the stand-ins. The package
// has no code besides its tests, which need Linux.
package integration
