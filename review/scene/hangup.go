package main

import (
	"syscall"
	"time"

	"github.com/springweir/springweir/platform/standin"
)

// hangupWhileStopping plays rule LOST: a machine gets SIGTERM and, while it finishes its requests, SIGHUP.
// TROUBLE=0 sends neither signal, TROUBLE=term only SIGTERM, TROUBLE=hup only SIGHUP.
func hangupWhileStopping(s *site, trouble string) (int, error) {
	s.putConfig()
	for range 2 {
		if _, err := s.startRunner(standin.EndpointOptions{Service: llm, Zone: "hal-noord", Stage: "decode", Events: 89, WorkDuration: 40 * time.Millisecond}); err != nil {
			return 0, err
		}
	}
	for range 2 {
		g, err := s.newGateway()
		if err != nil {
			return 0, err
		}
		if err := g.run(); err != nil {
			return 0, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	target := s.gateways[0]
	results := make(chan answer)
	const chats = 6
	for n := range chats {
		go func() { results <- s.sendChat(target, n) }()
	}
	time.Sleep(500 * time.Millisecond)
	if trouble != "0" && trouble != "hup" {
		target.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Second)
	if trouble != "0" && trouble != "term" {
		target.signal(syscall.SIGHUP)
	}
	lost := 0
	for range chats {
		a := <-results
		s.note("%s", a)
		if !a.complete {
			lost++
		}
	}
	for _, r := range s.runners {
		for _, run := range r.Runs() {
			s.note("runner %s began to run %s at %.3f s, completed it: %v", r.ID, run.ID, run.StartedAt.Sub(s.start).Seconds(), run.Complete)
		}
	}
	s.note("requests that a process had read and passed on, and that ended without a complete answer: %d of %d", lost, chats)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
