package loadshare

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/duties/usage/usagepb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// goldenAccounts is a Usage with fixed accounts.
type goldenAccounts []*usagepb.Account

func (a goldenAccounts) Due(bool) []*usagepb.Account { return a }
func (a goldenAccounts) Take(*usagepb.Account)       {}

// goldenWork returns work at n endpoints.
func goldenWork(n uint32) []*sharepb.Work {
	var list []*sharepb.Work
	for i := range n {
		list = append(list, &sharepb.Work{Endpoint: 0xe0000000 + i, PrefillTokens: 4000 + i, Runs: 3 + i, KvTokens: 90000 + i, PrefillMegaPairs: 11 + i})
	}
	return list
}

var (
	goldenPlaced   = []*sharepb.Placed{{Endpoint: 0xe0000001, Part: []uint32{0xa1, 0xb2}, Tokens: []uint32{512, 70}}, {Endpoint: 0xe0000000, Part: []uint32{0xc3}, Tokens: []uint32{33}}}
	goldenCrashes  = []*sharepb.Crash{{Id: 0x1122334455667788, Suspects: []*sharepb.Suspect{{Key: []byte("0123456789abcdef"), Streaming: true, Origin: 77}, {Key: []byte("fedcba9876543210"), Origin: 78}}}}
	goldenCleared  = [][]byte{[]byte("0011223344556677"), []byte("7766554433221100")}
	goldenSignals  = []*sharepb.EndpointSignal{{Endpoint: 0x99aabbccddeeff00, Version: 6, Limited: true, LimitMilli: 2500}, {Endpoint: 0x99aabbccddeeff01, Draining: true}}
	goldenParts    = []*sharepb.Crash{{Id: 0x1122334455667789, Parts: [][]byte{[]byte("aaaabbbbccccdddd"), []byte("ddddccccbbbbaaaa")}, Suspects: []*sharepb.Suspect{{Key: []byte("0123456789abcdef"), Origin: 77, Parts: []uint32{1, 0}}}}}
	goldenAnswered = []*sharepb.AnsweredParts{{Parts: [][]byte{[]byte("aaaabbbbccccdddd")}, Occasion: 0x1122334455667789}}
	goldenUsage    = goldenAccounts{{Vm: "vm-1", Zone: "zone-a", Boot: 0xb007, Window: 480001, Organisation: []uint64{0xabc, 0xdef}, Count: []uint32{7, 300}, Sealed: 480000, SilentMs: 40}}
	goldenEcho     = &sharepb.Echo{Boot: 0xb008, Stamp: 987654}
	goldenReport   = Report{Work: goldenWork(2), Placed: goldenPlaced, Changing: []uint32{0xe0000001}, Refusing: []uint32{0xe0000005, 0xe0000006}}
	goldenZoneWork = goldenWork(maxWorkEntries + 1)
)

// goldenDatagrams has an Exchange send each kind of datagram to a socket, and returns what arrives.
func goldenDatagrams(t *testing.T) [][]byte {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	peer := Peer{Name: "vm-2", Zone: "zone-b", Address: socket.LocalAddr().(*net.UDPAddr).AddrPort()}
	x := New(Config{
		VM: "vm-1", Zone: "zone-a", Capacity: 16, Address: "10.0.0.1:7400", Usage: goldenUsage,
		Confirmation: func() (uint64, time.Duration, bool) { return 4711, 250 * time.Millisecond, true },
	})
	now := clock.Now()
	x.boot, x.sequence, x.echoes.base = 0xb007, 100, now.Add(-1500*time.Millisecond)
	x.echoes.pending[peer.Name] = goldenEcho
	x.SetPeers([]Peer{peer})
	x.sendMessage(socket, message{report: goldenReport, scope: scopeVM, to: []Peer{peer}})
	x.Broadcast(Announcement{Crashes: goldenCrashes, Cleared: goldenCleared, Signals: goldenSignals})
	x.sendAnnouncements(socket)
	x.sendUsage(socket)
	x.Leave()
	x.region.unresponsiveAt, x.region.unresponsiveInZone, x.region.unresponsiveAll = now, []uint32{0x51}, []uint32{0x51, 0x52}
	x.sendMessage(socket, message{report: Report{Work: goldenZoneWork}, scope: scopeZone, to: []Peer{peer}})
	x.sendMessage(socket, message{scope: scopeRegion, to: []Peer{peer}})
	x.PublishStreams(StreamRecord{Stream: 0x1122334455667788, Software: 0xe1}, StreamRecord{Stream: 0x99aabbccddeeff00, Software: 0xe2}, StreamRecord{Stream: 3, Software: 0xe1})
	x.sendMessage(socket, message{scope: scopeVM, to: []Peer{peer}})
	x.outbox = newOutbox()
	x.Broadcast(Announcement{Crashes: goldenParts, Answered: goldenAnswered})
	x.sendAnnouncements(socket)
	var list [][]byte
	buf := make([]byte, 64<<10)
	for range goldenFiles {
		n, _, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, bytes.Clone(buf[:n]))
	}
	return list
}

// goldenFiles names the files of the datagrams in the order in which they are sent.
var goldenFiles = []string{"work", "announcement", "usage", "zone-sum-0", "zone-sum-1", "region-sum", "streams", "parts"}

// goldenLoads returns the contents of the datagrams in the same order.
func goldenLoads() []*sharepb.Load {
	list := []*sharepb.Load{
		{Work: goldenReport.Work, Segments: 1, Placed: goldenPlaced, Changing: goldenReport.Changing, Refusing: goldenReport.Refusing},
		{NoWork: true, Crashes: goldenCrashes, Cleared: goldenCleared, Signals: goldenSignals},
		{NoWork: true, Accounts: goldenUsage},
		{ZoneSum: true, Segments: 2, Silent: []uint32{0x51}},
		{ZoneSum: true, Segments: 2, Silent: []uint32{0x51}, Segment: 1},
		{RegionSum: true, Segments: 1, Silent: []uint32{0x51, 0x52}},
		{Segments: 1, Streams: []*sharepb.Streams{{Software: 0xe1, Stream: []uint64{0x1122334455667788, 3}}, {Software: 0xe2, Stream: []uint64{0x99aabbccddeeff00}}}},
		{NoWork: true, Crashes: goldenParts, Answered: goldenAnswered},
	}
	for i, load := range list {
		load.Vm, load.Zone, load.Address, load.Boot, load.Sequence = "vm-1", "zone-a", "10.0.0.1:7400", 0xb007, 101+uint64(i)
		load.Strength, load.Leaving = 16, i >= 3
	}
	list[0].Echoes = []*sharepb.Echo{goldenEcho}
	for _, i := range []int{0, 3, 5, 6} {
		list[i].Stamp, list[i].Confirmation = 1500000, &sharepb.Confirmation{Version: 4711, AgeMs: 251}
	}
	for _, w := range goldenZoneWork {
		segment := list[3+w.Endpoint%2]
		segment.Work = append(segment.Work, w)
	}
	return list
}

// TestGoldenDatagrams fails if a VM of another build no longer understands the datagrams, because a
// field has another number, type or meaning.
func TestGoldenDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads := goldenLoads()
		for i, data := range goldenDatagrams(t) {
			golden, err := os.ReadFile(filepath.Join("testdata", goldenFiles[i]+".golden"))
			if err != nil {
				t.Fatal(err)
			}
			load := new(sharepb.Load)
			if err := proto.Unmarshal(golden, load); err != nil || !proto.Equal(load, loads[i]) {
				t.Errorf("%s: the golden datagram decodes to\n%v (%v), want\n%v", goldenFiles[i], load, err, loads[i])
			}
			if !bytes.Equal(data, golden) {
				t.Errorf("%s: sent\n%x, want\n%x", goldenFiles[i], data, golden)
			}
		}
	})
}
