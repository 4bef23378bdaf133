package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["failure-without-end"] = failureWithoutEnd }

// failureWithoutEnd has one replica in trouble: it answers a stream with a failure whose body
// does not end until the caller closes. The client may get that failure broken off, or a
// failure of the instance, or the whole answer of the sound replica; never an answer that looks
// complete although the answer that it began with was not, nor the bytes of two runs in one.
func failureWithoutEnd(w *world) int {
	w.store.put("op", "config", config(1))
	sick := w.addReplica(1, engineService, "kul-a", 64, models, "m0")
	sound := w.addReplica(2, engineService, "kul-b", 64, models, "m0")
	for _, r := range []*replica{sick, sound} {
		r.register()
	}
	const filler = "no capacity in pool 7, see the operators' page; "
	if w.trouble {
		sick.answer = func(a http.ResponseWriter, q *http.Request) bool {
			a.Header().Set("X-Hyssophaven-Server-Seal", q.Header.Get("X-Hyssophaven-Attempt-Id")+"."+sick.id)
			a.Header().Set("Content-Type", "text/plain")
			a.WriteHeader(http.StatusInternalServerError)
			line := []byte(strings.Repeat(filler, 64) + "\n")
			sent := 0
			for {
				n, err := a.Write(line)
				sent += n
				if err != nil {
					w.record.add("%s: the caller has closed after %d bytes of the body", sick.id, sent)
					return true
				}
			}
		}
	}
	e := w.addEdge("kul-a")
	if e.start() != nil || !e.awaitReady(10*time.Second) {
		return cannotRun
	}
	time.Sleep(time.Second)
	status, served, met := held, 0, 0
	for range 20 {
		a := call(w, e.front, request{id: newID(), method: "POST", host: host, path: chatPath, model: "m0", body: strings.Repeat("x", 2900), budget: 15 * time.Second})
		switch {
		case a.status == http.StatusOK && a.complete:
			served++
		case strings.Contains(a.header.Get("X-Hyssophaven-Server-Seal"), sick.id):
			met++
			if a.complete {
				w.record.add("BROKEN: an answer with status %d and the seal of %s looks complete, although that replica's answer never ended; it ends with %q", a.status, sick.id, a.tail[max(0, len(a.tail)-300):])
				status = broken
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.record.add("%d of 20 streams were served, %d answers came from %s", served, met, sick.id)
	if served == 0 || w.trouble && met == 0 {
		return cannotRun
	}
	return status
}
