package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the sheet's memory of a machine, bodyBytes the operator's body-bytes, and chatGap the time between two requests at the sheet's rate
	// of driver-chat.
	memoryMB  = 284
	bodyBytes = 4194304
	chatGap   = time.Second * 10 / 229
	// fronts is the number of machines, and gone how many of them are lost for good at lossAt.
	fronts, gone = 8, 6
	lossAt       = 6 * time.Second
	// playedFor is the length of the traffic.
	playedFor = 50 * time.Second
	// ownEnds is the number of ends on a machine that the rule counts.
	ownEnds = 3
)

// bodiesAtOnce plays rule Fault: some machines are lost for good while requesters send bodies as long as the operator's
// limit. TROUBLE=0 loses no machine, TROUBLE=short loses them while bodies are of 40 KB.
func bodiesAtOnce(s *site, trouble string) (int, error) {
	s.putConfig()
	var engines []*engine
	for n := range 12 {
		stage := "decode"
		if n < 7 {
			stage = "prefill"
		}
		e, err := s.startEngine(stage, 89, 40*time.Millisecond)
		if err != nil {
			return 0, err
		}
		engines = append(engines, e)
	}
	var machines []*machine
	for range fronts {
		g, err := s.newGateway()
		if err != nil {
			return 0, err
		}
		if err := g.run(); err != nil {
			return 0, err
		}
		machines = append(machines, &machine{process: g})
	}
	if err := s.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, m := range machines {
		m.in.Store(true)
		watching.Go(func() { m.watch(stop) })
		watching.Go(func() { m.ask(stop) })
	}
	body := bytes.Repeat([]byte("p"), bodyBytes)
	if trouble == "short" {
		body = body[:40000]
	}
	var results sync.Map
	var open sync.WaitGroup
	sent := 0
	begin := time.Now()
	for lost := trouble == "0"; time.Since(begin) < playedFor; {
		if !lost && time.Since(begin) > lossAt {
			lost = true
			for _, m := range machines[:gone] {
				m.lose()
			}
		}
		time.Sleep(chatGap)
		m := choose(machines)
		n := sent
		sent++
		open.Go(func() {
			a := s.send(m.process, request{
				id: fmt.Sprintf("chat-%d", n), path: "/chat/2f", deadline: 15 * time.Second, body: body,
				header: map[string]string{wire.Model: "m", wire.Tokens: "220,89", wire.Prefix: fmt.Sprintf("5c1e07a2:79,%08x:141", 0x100+n)},
			})
			s.note("%s from %s", a, m.name)
			results.Store(n, a)
		})
	}
	open.Wait()
	close(stop)
	watching.Wait()
	return judge(s, machines, engines, &results), nil
}

// judge counts the ends of the processes and the requests that were lost with them.
func judge(s *site, machines []*machine, engines []*engine, results *sync.Map) int {
	whole, refused, cut := 0, 0, 0
	results.Range(func(_, value any) bool {
		switch a := value.(answer); {
		case a.complete && a.status == 200:
			whole++
		case a.complete:
			refused++
		default:
			cut++
		}
		return true
	})
	var left int64
	for _, e := range engines {
		left += e.broken.Load()
	}
	s.note("answered whole: %d; refused: %d; no connection or cut: %d; streams at the engines whose sender left: %d", whole, refused, cut, left)
	ended := 0
	for _, m := range machines {
		s.note("%s: most memory %.0f MB, ended over its memory %d times", m.name, m.most, m.ends)
		if m.ends >= ownEnds {
			ended++
		}
	}
	s.note("machines on which the process ended three times or more by itself: %d of %d", ended, len(machines))
	if ended >= max(2, len(machines)/10) {
		return broken
	}
	return held
}

// machine is a gateway whose memory the platform watches.
type machine struct {
	*process
	// in is set while new connections are passed to the machine.
	in, lost atomic.Bool
	most     float64
	ends     int
}

// lose takes the machine away for good.
func (m *machine) lose() {
	m.site.note("%s is lost for good", m.name)
	m.lost.Store(true)
	m.in.Store(false)
	m.kill()
}

// choose returns a machine for a new connection: one of those that are in, or any if none is.
func choose(machines []*machine) *machine {
	var in []*machine
	for _, m := range machines {
		if m.in.Load() {
			in = append(in, m)
		}
	}
	if len(in) == 0 {
		in = machines[gone:]
	}
	return in[rand.IntN(len(in))]
}

// ask asks every second whether the machine is ready; one that misses twice is out until it answers again.
func (m *machine) ask(stop chan struct{}) {
	for missed := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		if m.lost.Load() {
			return
		}
		if missed++; m.isReady() {
			missed = 0
		}
		m.in.Store(missed < 2)
	}
}

// watch kills the process if it is over its memory, as the platform does, and starts it again a second later.
func (m *machine) watch(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if m.lost.Load() {
			return
		}
		resident := residentMB(m.cmd.Process.Pid)
		m.most = max(m.most, resident)
		if resident <= memoryMB {
			continue
		}
		m.ends++
		m.site.note("%s holds %.0f MB, the platform ends it", m.name, resident)
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		<-m.exited
		time.Sleep(time.Second)
		if err := m.run(); err != nil {
			m.site.note("%s could not be started again: %v", m.name, err)
			return
		}
	}
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1000
		}
	}
	return 0
}
