package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// failureAfterRun plays rule REFUSED: a runner fails a part of the requests that it ran, with a 503 that doesn't say
// that the request was not executed. TROUBLE=0 fails none, TROUBLE=500 fails them with 500 instead.
func failureAfterRun(s *site, trouble string) (int, error) {
	s.putConfig()
	var runners []*runner
	for n := range 3 {
		var served atomic.Int64
		grey := n == 0 && trouble != "0"
		status := http.StatusServiceUnavailable
		if trouble == "500" {
			status = http.StatusInternalServerError
		}
		r, err := s.startOwnRunner(app, "hal-noord", nil, func(w http.ResponseWriter, req *http.Request, ran func()) {
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			ran()
			time.Sleep(15 * time.Millisecond)
			w.Header().Set(wire.Seal, "seal."+req.Header.Get("Request-Id"))
			if grey && served.Add(1)%20 < 9 { // 0.45 of its requests
				w.WriteHeader(status)
				_, _ = io.WriteString(w, "the booking was written, its confirmation failed\n")
				return
			}
			_, _ = fmt.Fprintf(w, "booked %s", body)
		})
		if err != nil {
			return 0, err
		}
		runners = append(runners, r)
	}
	g, err := s.newGateway()
	if err != nil {
		return 0, err
	}
	if err := g.run(); err != nil {
		return 0, err
	}
	if err := s.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	const bookings = 300
	refusedYetRan := 0
	for n := range bookings {
		a := s.send(g, request{id: fmt.Sprintf("confirm-%d", n), path: "/confirm/2f", deadline: 600 * time.Millisecond, body: []byte("slot 7")})
		times := ran(a.id, runners)
		s.note("%s, ran %d times", a, times)
		if (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421) && times > 0 {
			refusedYetRan++
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.note("non-repeatable requests that got 429, 503, 408 or 421 and have run: %d of %d", refusedYetRan, bookings)
	if refusedYetRan > 0 {
		return broken, nil
	}
	return held, nil
}
