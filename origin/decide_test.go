package origin

import "testing"

// The software of a stream without a record is inferred only if no second version can have begun it.
func TestInfer(t *testing.T) {
	one := view{versions: []uint32{1}, covered: true, current: true}
	stale := view{versions: []uint32{1}, covered: true}
	started := view{versions: []uint32{1}, current: true}
	knowsOne := Answer{Versions: []uint32{1}, Covered: true, Current: true}
	knowsTwo := Answer{Versions: []uint32{1, 2}, Covered: true, Current: true}
	stalePeer := Answer{Versions: []uint32{1}, Covered: true}
	startedPeer := Answer{Versions: []uint32{1}, Current: true}
	for _, tc := range []struct {
		name          string
		own           view
		answers       []Answer
		asked, others int
		want          inference
	}{
		{"alone", one, nil, 0, 0, inferred},
		{"alone, without the store", stale, nil, 0, 0, inferred},
		{"alone, just started", started, nil, 0, 0, notCovered},
		{"the others agree", one, []Answer{knowsOne, knowsOne}, 2, 2, inferred},
		{"another VM knows of a second version", one, []Answer{knowsOne, knowsTwo}, 2, 2, notOneVersion},
		{"no endpoint is known", view{covered: true, current: true}, nil, 0, 0, notOneVersion},
		{"just started, the others agree", started, []Answer{startedPeer, knowsOne}, 2, 2, inferred},
		{"all have just started", started, []Answer{startedPeer, startedPeer}, 2, 2, notCovered},
		{"the only other VM does not answer", one, nil, 1, 1, inferred},
		{"none of several VMs answers", one, nil, 3, 3, notCurrent},
		{"none of several VMs is presumed alive", one, nil, 0, 3, notCurrent},
		{"cut off from the store, others are not", stale, []Answer{knowsOne}, 3, 3, inferred},
		{"the store is away for all", stale, []Answer{stalePeer, stalePeer}, 2, 2, inferred},
		{"the store is away, one VM does not answer", stale, []Answer{stalePeer}, 2, 2, notCurrent},
		{"the store is away, the other VM is down", stale, nil, 0, 1, notCurrent},
		{"the store is away, one of two others is down", stale, []Answer{stalePeer}, 1, 2, inferred},
		{"the store is away, as is half of the VMs", stale, []Answer{stalePeer}, 1, 3, notCurrent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			software, got := infer(tc.own, tc.answers, tc.asked, tc.others)
			if got != tc.want || (software == 1) != (tc.want == inferred) {
				t.Errorf("got %d, %s, want %s", software, got, tc.want)
			}
		})
	}
}
